package load

// Outcome is the result of a request or an attempt as its caller sees it.
type Outcome int

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcomes of a request. A line comment is the text that String returns.
const (
	// The answer is complete and correct.
	Complete Outcome = iota // Whole
	// An error answer says that the request was not executed, or no instance
	// accepted a connection.
	NotRun
	// An error answer says that the request may have been executed.
	MayHaveRun
	// An error answer says that the request was executed.
	Ran
	// The answer ended early and is recognisable as incomplete.
	Truncated // Broken
	// The attempt ended without an answer, for instance because the connection was
	// closed.
	NoAnswer
	// The caller closed the connection before the end of the answer.
	CallerDisconnected // Left
	// The answer looks complete but is incorrect, or an error answer is malformed
	// or contradicts itself.
	Incorrect // Wrong
	outcomeCount
)

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// Outcomes returns all outcomes in the order of their declaration.
func Outcomes() []Outcome {
	outcomes := make([]Outcome, 0, outcomeCount)
	for o := Complete; o < outcomeCount; o++ {
		outcomes = append(outcomes, o)
	}
	return outcomes
}
