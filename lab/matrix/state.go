package matrix

import (
	"strings"

	"monsoonfork/platform/standin"
)

//go:generate stringer -type=State -output=state_string.go
//go:generate stringer -type=Kind -output=kind_string.go

// State is what has happened to a request when an event begins.
type State int

// The states.
const (
	Accepted         State = iota // The connection is accepted; nothing was sent.
	HeadHalfRead                  // Half of the head was sent.
	BodyHalfRead                  // The head and half of the body were sent.
	ChunksHalfRead                // The head and half of a body in chunks were sent.
	NotHandled                    // Sent whole, behind a request on the same connection that an engine holds.
	WaitingForRate                // Waits for tokens of its organisation's rate.
	WaitingForMemory              // No engine has memory for it.
	Hedged                        // Two engines run it; neither has answered.
	Prefilling                    // An engine reads its prompt.
	AtEngine                      // An engine was called for the answer and has sent nothing.
	AtEngineClosing               // The same; the request is the last one of its connection.
	FirstPartWritten              // The caller has the first part of the answer.
	MidStream                     // The caller has half of the stream.
	Unacknowledged                // The engine has answered, and the caller does not read.
	KeptIdle                      // The connection is open after an earlier request.

	stateCount
)

// Kind is the kind of a request's route.
type Kind int

// The kinds.
const (
	Safe       Kind = iota // A plain call that may run more than once.
	Unsafe                 // A plain call that may run once.
	Resumable              // A stream that another engine may resume.
	OnceStream             // A stream that may run once.

	kindCount
)

// isStream reports whether requests of the kind are streams of a model service.
func (k Kind) isStream() bool { return k == Resumable || k == OnceStream }

// maxRuns returns how many engines may run a request of the kind.
func (k Kind) maxRuns() int {
	if k == Safe || k == Resumable {
		return 2
	}
	return 1
}

// Row is a row of the matrix: a request of a kind in a state.
type Row struct {
	State State
	Kind  Kind
}

// String returns the row's name.
func (r Row) String() string { return r.State.String() + "/" + r.Kind.String() }

// id returns the id of the row's request.
func (r Row) id() string {
	id := strings.ToLower(r.State.String() + "-" + r.Kind.String())
	if r.State == Unacknowledged || r.State == FirstPartWritten && !r.Kind.isStream() {
		return id + standin.LongSuffix
	}
	return id
}

// unreachable returns why a request of the kind can't be in the state, or "".
func (r Row) unreachable() string {
	switch {
	case r.State == WaitingForRate:
		return "the rate of an organisation is granted or refused at once"
	case r.State == WaitingForMemory && !r.Kind.isStream():
		return "plain calls need no memory of engines"
	case r.State == Hedged && r.Kind != Safe:
		return "only safe plain calls are hedged"
	case r.State == Prefilling && !r.Kind.isStream():
		return "plain calls have no prompt"
	case r.State == MidStream && !r.Kind.isStream():
		return "a plain answer is no stream; see FirstPartWritten"
	default:
		return ""
	}
}

// Rows returns the rows that can be reached.
func Rows() []Row {
	var rows []Row
	for s := range stateCount {
		for k := range kindCount {
			if r := (Row{s, k}); r.unreachable() == "" {
				rows = append(rows, r)
			}
		}
	}
	return rows
}

// holdPoint returns the point at which engines hold the row's request, if they do.
func (r Row) holdPoint() (p standin.Point, held bool) {
	switch r.State {
	case Hedged, AtEngine, AtEngineClosing:
		return standin.BeforeAnswer, true
	case Prefilling:
		return standin.AtPrefill, true
	case FirstPartWritten:
		return standin.AfterFirstPart, true
	case MidStream:
		return standin.AtHalf, true
	default:
		return 0, false
	}
}

// sentWhole reports whether the request is sent whole before the event.
func (r Row) sentWhole() bool {
	switch r.State {
	case Accepted, HeadHalfRead, BodyHalfRead, ChunksHalfRead, KeptIdle:
		return false
	default:
		return true
	}
}
