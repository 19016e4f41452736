package load

import (
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/lab/workload"
)

// Result is what became of one request.
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
	Took         time.Duration        `json:"Took"`
}

// Attempt is one call of a request. A caller repeats a call that may not run
// twice, under the same Idempotency-Key, when its outcome is not known.
type Attempt struct {
	Target     string          `json:"Target"`
	RequestID  string          `json:"RequestID"` // As the answer names it.
	Started    time.Time       `json:"Started"`
	Status     int             `json:"Status"` // 0 without an answer.
	Outcome    Outcome         `json:"Outcome"`
	ErrorType  string          `json:"ErrorType,omitempty"`
	Detail     string          `json:"Detail,omitempty"`
	Tokens     int             `json:"Tokens,omitempty"`
	FirstToken time.Duration   `json:"FirstToken,omitempty"` // From the start of the attempt.
	Gaps       []time.Duration `json:"-"`                    // Between tokens of a streamed answer.
	Took       time.Duration   `json:"Took"`
	RetryAfter time.Duration   `json:"RetryAfter,omitempty"` // As the answer asks for.
}

// Last returns the last attempt.
func (r *Result) Last() *Attempt { return &r.Attempts[len(r.Attempts)-1] }

// Outcome returns how the request ended: as its last attempt did.
func (r *Result) Outcome() Outcome { return r.Last().Outcome }

// SaidNotRun reports whether every attempt was answered as not run, so that
// the request must not have run at all.
func (r *Result) SaidNotRun() bool {
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
	Gap        time.Duration // Between tokens, for 95 in 100.
}

// DefaultTargets returns the targets that the product states.
func DefaultTargets() Targets {
	return Targets{FirstToken: 450 * time.Millisecond, Gap: 33 * time.Millisecond}
}

// Good reports whether a completion was answered whole within both targets. An
// answer that does not stream is good when it comes as fast as a good stream
// would have ended.
func (r *Result) Good(targets Targets) bool {
	a := r.Last()
	if a.Outcome != Whole {
		return false
	}
	if !r.Stream {
		return a.Took <= targets.FirstToken+time.Duration(r.MaxTokens)*targets.Gap
	}
	return a.FirstToken <= targets.FirstToken && Percentile(a.Gaps, 95) <= targets.Gap
}
