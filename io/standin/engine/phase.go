package engine

// Phase is the processing phase of a request.
type Phase int

//go:generate stringer -type=Phase,Role,Ending -linecomment -output=phase_string.go

// The phases. AwaitingPull is the phase of a prefill request whose result waits to be
// pulled by a decode engine.
const (
	Waiting      Phase = iota // waiting
	Prefill                   // prefill
	AwaitingPull              // kept
	Transfer                  // transfer
	Decode                    // decode
	Ended                     // ended
)

// MarshalText implements encoding.TextMarshaler.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Phase) UnmarshalText(text []byte) error {
	return decodeEnum(p, Waiting, Ended, text)
}

// Role says whether an engine serves prefill or decode requests.
type Role int

// The roles of an engine.
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

// Ending is the outcome of a request.
type Ending int

// The outcomes. InProgress means that the request has not ended, Expired that its
// prefill result was not pulled in time.
const (
	InProgress Ending = iota // open
	Finished                 // finished
	Aborted                  // aborted
	Expired                  // expired
	Failed                   // failed
)

// MarshalText implements encoding.TextMarshaler.
func (e Ending) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (e *Ending) UnmarshalText(text []byte) error {
	return decodeEnum(e, InProgress, Failed, text)
}
