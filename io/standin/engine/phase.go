package engine

// Phase is what a request is in.
type Phase int

//go:generate stringer -type=Phase,Role,Ending -linecomment -output=phase_string.go

// The phases.
const (
	Waiting  Phase = iota // waiting
	Prefill               // prefill
	Kept                  // kept
	Transfer              // transfer
	Decode                // decode
	Ended                 // ended
)

// MarshalText implements encoding.TextMarshaler.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Phase) UnmarshalText(text []byte) error {
	return decodeEnum(p, Waiting, Ended, text)
}

// Role says which phase of requests an engine serves.
type Role int

// The roles.
const (
	PrefillRole Role = iota // prefill
	DecodeRole              // decode
)

// MarshalText implements encoding.TextMarshaler.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Role) UnmarshalText(text []byte) error {
	return decodeEnum(r, PrefillRole, DecodeRole, text)
}

// Ending says how a request ended.
type Ending int

// The endings.
const (
	Open     Ending = iota // open
	Finished               // finished
	Aborted                // aborted
	Expired                // expired
	Failed                 // failed
)

// MarshalText implements encoding.TextMarshaler.
func (e Ending) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (e *Ending) UnmarshalText(text []byte) error {
	return decodeEnum(e, Open, Failed, text)
}
