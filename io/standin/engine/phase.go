package engine

// Phase is the processing phase of a request.
type Phase int

//go:generate stringer -type=Phase,Role,Outcome -linecomment -output=phase_string.go

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

// Outcome is the outcome of a request.
type Outcome int

// The outcomes. InProgress means that the request has not ended, Expired that its
// prefill result was not pulled in time.
const (
	InProgress Outcome = iota // open
	Finished                  // finished
	Aborted                   // aborted
	Expired                   // expired
	Failed                    // failed
)

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outcome) UnmarshalText(text []byte) error {
	return decodeEnum(o, InProgress, Failed, text)
}
