package load

import (
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/lab/workload"
)

// Result records one request and all its attempts.
type Result struct {
	Number       int                  `json:"Number"`
	Kind         workload.Kind        `json:"Kind"`
	Organisation ident.OrganisationID `json:"Organisation"`
	Reference    string               `json:"Reference,omitempty"`
	PromptHash   string               `json:"PromptHash,omitempty"`
	PromptTokens int                  `json:"PromptTokens,omitempty"`
	MaxTokens    int                  `json:"MaxTokens,omitempty"`
	Stream       bool                 `json:"Stream,omitempty"`
	Attempts     []Attempt            `json:"Attempts"`
	Started      time.Time            `json:"Started"`
	Latency      time.Duration        `json:"Took"`
}

// Attempt records one attempt to have a request answered. A call that must be
// executed at most once is retried under the same Idempotency-Key while its
// outcome is unknown.
type Attempt struct {
	Target          string          `json:"Target"`
	RequestID       string          `json:"RequestID"` // Value of the X-Request-Id header of the answer.
	Started         time.Time       `json:"Started"`
	Status          int             `json:"Status"` // HTTP status; 0 if there was no answer.
	Outcome         Outcome         `json:"Outcome"`
	ErrorType       string          `json:"ErrorType,omitempty"`
	Detail          string          `json:"Detail,omitempty"`
	Tokens          int             `json:"Tokens,omitempty"`
	FirstToken      time.Duration   `json:"FirstToken,omitempty"` // Time from the start of the attempt to the first token.
	InterTokenTimes []time.Duration `json:"-"`                    // Times between successive tokens of a streamed answer.
	Latency         time.Duration   `json:"Took"`
	RetryAfter      time.Duration   `json:"RetryAfter,omitempty"` // Value of the Retry-After header of the answer.
}

// Last returns the last attempt.
func (r *Result) Last() *Attempt { return &r.Attempts[len(r.Attempts)-1] }

// Outcome returns the outcome of the request, which is that of its last attempt.
func (r *Result) Outcome() Outcome { return r.Last().Outcome }

// AllNotRun reports whether every attempt has the outcome NotRun. In that case
// the request must not have been executed by any engine or service.
func (r *Result) AllNotRun() bool {
	for _, a := range r.Attempts {
		if a.Outcome != NotRun {
			return false
		}
	}
	return true
}

// Targets are the latency targets of a completion.
type Targets struct {
	FirstToken time.Duration
	InterToken time.Duration // 95th percentile of the times between tokens.
}

// DefaultTargets returns the latency targets that monsoonfork is specified for.
func DefaultTargets() Targets {
	return Targets{FirstToken: 450 * time.Millisecond, InterToken: 33 * time.Millisecond}
}

// WithinTargets reports whether a completion was answered completely and
// correctly within both targets. An answer that is not streamed is within the
// targets if it takes at most the time that a streamed answer within the targets
// may take in total.
func (r *Result) WithinTargets(targets Targets) bool {
	a := r.Last()
	if a.Outcome != Complete {
		return false
	}
	if !r.Stream {
		return a.Latency <= targets.FirstToken+time.Duration(r.MaxTokens)*targets.InterToken
	}
	return a.FirstToken <= targets.FirstToken && Percentile(a.InterTokenTimes, 95) <= targets.InterToken
}
