// Package fault holds the closed list of error kinds and the table that gives
// the answer for each kind.
package fault

//go:generate stringer -type=Kind,Ran -output=fault_string.go

// Kind is the class of an error. The list is closed: every error that reaches
// a caller or an operator has one of these kinds.
type Kind int

// The error kinds.
const (
	Internal         Kind = iota // An invariant or an unexpected state.
	BadRequest                   // Malformed request, header or body.
	RequestTooLarge              // Body or headers above the limit.
	RequestTimeout               // The caller sent its request too slowly.
	UnknownRoute                 // No route for this path and method.
	UnknownModel                 // The model is not served.
	Unauthenticated              // Key missing, unknown or withdrawn.
	Forbidden                    // Key valid, but its organisation may not use this route.
	KeyWithdrawn                 // The key was withdrawn while the request ran.
	RateExceeded                 // The organisation is above its rate and burst.
	Overloaded                   // Refused early: the targets cannot be met.
	NoEndpoint                   // No endpoint is available.
	EndpointFailed               // The endpoint failed after the request may have reached it.
	EndpointTimeout              // The endpoint did not answer in time.
	EndpointRefused              // The endpoint said that it did not run the request.
	AnswerBroken                 // The answer was cut and could not be completed.
	CallInProgress               // The same Idempotency-Key is running now.
	CallMismatch                 // The Idempotency-Key was used with another request.
	OutcomeUnknown               // The call ran or may have run; its outcome is not known.
	AnswerNotKept                // The call ran before; its answer was too long to keep.
	StoreUnavailable             // The platform's key-value service does not answer.
	RevisionConflict             // The text was changed by someone else meanwhile.
	BadText                      // The configuration text has errors.
	BadSettings                  // The settings of a process have errors.
	PeerUnavailable              // Another instance does not answer.
	NotHolder                    // The instance does not hold this role now.
	ShuttingDown                 // The instance is stopping.
	CallerGone                   // The caller closed its connection.
	DeadlineExceeded             // The deadline of the request has passed.
	NotFound                     // The named thing does not exist.
	kindCount                    // Number of kinds; keep last.
)

// Ran says whether the request may have run on an endpoint.
type Ran int

// The values of Ran.
const (
	NotRun     Ran = iota // No byte of it reached an endpoint that could run it.
	MayHaveRun            // It reached an endpoint, or may have.
	DidRun                // It ran.
)

// Answer is what a caller gets for an error kind.
type Answer struct {
	Status     int    // HTTP status code.
	Type       string // Machine-readable type, in the style of the completion API.
	Ran        Ran    // Default; an error may carry a stronger one.
	RetryAfter bool   // Whether a Retry-After header belongs to the answer.
}

// Kinds returns all kinds, in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := Internal; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}
