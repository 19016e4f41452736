// Package fault defines the errors that leave a process: a closed list of kinds, the
// HTTP answer for each kind, and whether the request may have run.
package fault

//go:generate stringer -type=Kind,Ran -output=fault_string.go

// Kind is the class of an error. The list is closed: every error that reaches
// a caller or an operator has one of these kinds.
type Kind int

// The error kinds.
const (
	Internal         Kind = iota // A violated invariant or an unexpected state.
	BadRequest                   // Malformed request line, header or body.
	RequestTooLarge              // Body or headers above the limit.
	RequestTimeout               // The caller sent its request too slowly.
	UnknownRoute                 // No route for this path and method.
	UnknownModel                 // The model is not served.
	Unauthenticated              // API key missing, unknown or withdrawn.
	Forbidden                    // API key valid, but its organisation may not use this route.
	KeyWithdrawn                 // The API key was withdrawn while the request ran.
	RateExceeded                 // The organisation has exceeded its rate and burst.
	Overloaded                   // Refused before it ran: capacity does not allow an answer within the targets.
	PromptHeld                   // A part of the prompt has crashed engines, and is kept from them for a time.
	NoEndpoint                   // No endpoint is available.
	EndpointFailed               // The endpoint failed after the request may have reached it.
	EndpointTimeout              // The endpoint did not answer in time.
	EndpointRefused              // The endpoint refused the request without running it.
	AnswerBroken                 // The answer broke off and could not be completed.
	CallInProgress               // A call with the same Idempotency-Key is running.
	CallMismatch                 // The Idempotency-Key was used for a different request.
	OutcomeUnknown               // A call with this Idempotency-Key ran or may have run; its outcome is not known.
	AnswerNotKept                // A call with this Idempotency-Key ran before, but its answer was too long to store.
	StoreUnavailable             // The platform's key-value service does not answer.
	RevisionConflict             // Another edit has changed the configuration text since the expected revision.
	BadText                      // The configuration text has errors.
	BadSettings                  // The settings file of a process has errors.
	PeerUnavailable              // Another instance does not answer.
	NotHolder                    // The instance does not hold the lease or the role that the operation needs.
	ShuttingDown                 // The instance is stopping.
	CallerGone                   // The caller closed its connection.
	DeadlineExceeded             // The deadline of the request has passed.
	NotFound                     // The named object does not exist.
	kindCount                    // Number of kinds; keep last.
)

// Ran tells whether a request has run on an endpoint, so that the caller can decide
// whether a retry may run it twice.
type Ran int

// The values of Ran.
const (
	NotRun     Ran = iota // It has not run: no byte of it reached an endpoint that could run it, or the endpoint refused it.
	MayHaveRun            // It reached an endpoint or may have, and its outcome is not known.
	DidRun                // It has run.
)

// Response is the HTTP answer that a caller gets for an error kind.
type Response struct {
	Status     int    // HTTP status code.
	Type       string // Machine-readable type in the error body, in the style of the completion API.
	Ran        Ran    // Default of the kind; an error may carry a more exact value.
	RetryAfter bool   // Whether the answer has a Retry-After header.
}

// Kinds returns all kinds, in the order of their constants.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := Internal; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}
