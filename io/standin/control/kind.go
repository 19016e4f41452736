// Package control is the common base of the stand-ins, which simulate external
// servers in tests. It provides an HTTP server with fault injection, and a control
// server on a second address that injects faults and returns what was recorded.
package control

import "fmt"

//go:generate stringer -type=Kind -output=kind_string.go

// Kind is a kind of fault that can be injected into a stand-in.
type Kind int

// The fault kinds.
const (
	Refuse            Kind = iota // Resets every connection, open or new.
	Hang                          // Freezes every connection, open or new: received data is discarded, nothing is sent.
	FreezeConnections             // Freezes the connections open at injection for good; new connections work.
	Delay                         // Starts processing of a request after DelayMS.
	FailBefore                    // Closes the connection without processing the request.
	FailDuring                    // Closes the connection DelayMS after processing began; processing continues.
	DropAnswer                    // Processes the request, then closes the connection without a response.
	MalformHead                   // Processes the request, then sends the response with a malformed line in its head.
	LateAnswer                    // Processes the request, then sends the whole response after DelayMS.
	NeverAnswer                   // Does not process the request and sends no response; the connection stays open.
	Slow                          // Multiplies processing times by Factor.
	StallStream                   // Stops a token stream after AfterTokens tokens; the connection stays open.
	CutStream                     // Closes the connection of a token stream after AfterTokens tokens.
	StallTransfer                 // Halts a transfer of KV cache until the fault is cleared.
	CrossAnswer                   // Sends the id and tokens of another request in a response.
	StallWatches                  // Hides changes from long polls until the fault is cleared.
	RateLimit                     // Rejects requests above PerSecond with status 429.
	ListLag                       // Makes changes of the instance list visible after DelayMS.
	kindCount                     // Number of kinds; must stay last.
)

// MarshalText implements encoding.TextMarshaler.
func (k Kind) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Kind) UnmarshalText(text []byte) error {
	for candidate := Refuse; candidate < kindCount; candidate++ {
		if candidate.String() == string(text) {
			*k = candidate
			return nil
		}
	}
	return fmt.Errorf("unknown fault kind %q", text)
}

// affectsConnections reports whether the fault affects whole connections rather
// than single requests.
func (k Kind) affectsConnections() bool {
	return k == Refuse || k == Hang || k == FreezeConnections
}
