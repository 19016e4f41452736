package load

// Outcome says how a request ended for its caller.
type Outcome int

//go:generate stringer -type=Outcome -output=outcome_string.go

// The outcomes.
const (
	Whole      Outcome = iota // Answered whole and right.
	NotRun                    // Refused; the answer says that it did not run.
	MayHaveRun                // Failed; the answer says that it may have run.
	Ran                       // Failed; the answer says that it ran.
	Broken                    // The answer broke off, and does not look complete.
	NoAnswer                  // The connection ended without an answer.
	Left                      // The caller left before the end.
	Wrong                     // The answer looks complete but is not the right one.
	outcomeCount
)

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// Outcomes returns all outcomes, in order.
func Outcomes() []Outcome {
	outcomes := make([]Outcome, 0, outcomeCount)
	for o := Whole; o < outcomeCount; o++ {
		outcomes = append(outcomes, o)
	}
	return outcomes
}
