// Package control is the part that all stand-ins share: an HTTP server whose
// connections and answers can be made to fail on command, and a control server
// that takes the commands and gives out records.
package control

import "fmt"

//go:generate stringer -type=Kind -output=kind_string.go

// Kind is a kind of fault that a stand-in can be told to show.
type Kind int

// The fault kinds.
const (
	Refuse            Kind = iota // Every connection, open or new, is reset.
	Hang                          // Every connection, open or new, swallows what it gets and never answers.
	FreezeConnections             // Connections open now swallow everything for good; new ones work.
	Delay                         // A request starts DelayMS later.
	FailBefore                    // The connection is cut before the request runs.
	FailDuring                    // The connection is cut DelayMS after the request began to run; the run goes on.
	DropAnswer                    // The request runs to its end, then the connection is cut without an answer.
	LateAnswer                    // The request runs to its end; its answer comes whole, DelayMS later.
	NeverAnswer                   // The request doesn't run, and gets no answer.
	Slow                          // All work takes Factor times as long.
	StallStream                   // A token stream stops for good after AfterTokens tokens.
	CutStream                     // A token stream's connection is cut after AfterTokens tokens.
	StallTransfer                 // A transfer of KV cache does not progress while the fault lasts.
	CrossAnswer                   // An answer carries the id and the tokens of another request.
	StallWatches                  // Long polls see no change while the fault lasts.
	RateLimit                     // Calls above PerSecond are answered with 429.
	ListLag                       // The list shows changes DelayMS late.
	kindCount                     // Number of kinds; keep last.
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

// onConnections reports whether the fault concerns whole connections.
func (k Kind) onConnections() bool {
	return k == Refuse || k == Hang || k == FreezeConnections
}
