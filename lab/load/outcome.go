package load

// Outcome is the result of a request or an attempt as its caller sees it.
type Outcome int

//go:generate stringer -type=Outcome -output=outcome_string.go

// Outcomes of a request.
const (
	Whole      Outcome = iota // The answer is complete and correct.
	NotRun                    // An error answer says that the request was not executed, or no instance accepted a connection.
	MayHaveRun                // An error answer says that the request may have been executed.
	Ran                       // An error answer says that the request was executed.
	Broken                    // The answer ended early and is recognisable as incomplete.
	NoAnswer                  // The attempt ended without an answer, for instance because the connection was closed.
	Left                      // The caller closed the connection before the end of the answer.
	Wrong                     // The answer looks complete but is incorrect, or an error answer is malformed or contradicts itself.
	outcomeCount
)

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// Outcomes returns all outcomes in the order of their declaration.
func Outcomes() []Outcome {
	outcomes := make([]Outcome, 0, outcomeCount)
	for o := Whole; o < outcomeCount; o++ {
		outcomes = append(outcomes, o)
	}
	return outcomes
}
