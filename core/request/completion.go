package request

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/placement"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
)

// Completion is a request to a model service.
type Completion struct {
	Model     ident.ModelID
	Prompt    engine.Prompt
	MaxTokens ident.Tokens
}

// Finished is the end of a whole answer.
type Finished struct {
	Reason           string // "stop" or "length".
	PromptTokens     ident.Tokens
	CompletionTokens ident.Tokens
}

// completion is a completion under way.
type completion struct {
	Completion
	session   *Session
	model     *text.Model
	bound     ident.Tokens // Most tokens that the prompt can have.
	onDelta   func(engine.Delta) error
	delivered []int                                   // Tokens that the caller has.
	avoid     []ident.EndpointID                      // Engines that failed in earlier attempts.
	prompt    ident.Tokens                            // As an engine counted it; 0 before.
	transfers map[ident.EndpointID][]ident.EndpointID // Failed transfers, from prefill to decode engines.
}

// Complete runs a completion and calls onDelta for each part of the answer, in
// order, none twice. Without an error the answer is whole. An error of onDelta
// ends the request.
func (s *Session) Complete(c Completion, onDelta func(engine.Delta) error) (Finished, error) {
	run := &completion{Completion: c, session: s, onDelta: onDelta}
	if err := run.check(); err != nil {
		return Finished{}, s.failure(err)
	}
	s.path.retries.earn()
	settle, err := s.admit(run.bound + c.MaxTokens)
	if err != nil {
		return Finished{}, s.failure(err)
	}
	finished, err := run.attempts()
	settle(run.used())
	if err != nil {
		return Finished{}, s.failure(err)
	}
	return finished, nil
}

// admit charges the organisation of the request. On a route that is open to
// all there is none to charge.
func (s *Session) admit(cost ident.Tokens) (settle func(ident.Tokens), err error) {
	if s.Identity.Organisation == "" || cost == 0 {
		return func(ident.Tokens) {}, nil
	}
	return s.path.Admit(s.ctx, s.Identity.Organisation, cost)
}

// check checks the request against the text, and sets model and bound.
func (r *completion) check() error {
	model, ok := r.session.snapshot.Text.Index().Model(r.Model)
	if !ok || !r.session.Service.Serves(r.Model) {
		return fault.New(fault.UnknownModel, "route %s does not serve model %q", r.session.Route.Name, r.Model)
	}
	if err := r.Prompt.Check(); err != nil {
		return err
	}
	if r.MaxTokens < 1 {
		return fault.New(fault.BadRequest, "max_tokens must be 1 or more")
	}
	r.model = model
	r.bound = r.Prompt.UpperTokens(model.MinBytesPerToken)
	if r.bound+r.MaxTokens > model.MaxTokens {
		return fault.New(fault.RequestTooLarge, "the prompt has up to %d tokens, with max_tokens %d above the %d of model %s",
			r.bound, r.MaxTokens, model.MaxTokens, r.Model)
	}
	return nil
}

// attempts tries until the answer is whole, or nothing more may be tried.
func (r *completion) attempts() (Finished, error) {
	for number := 1; ; number++ {
		finished, err := r.placeAndRun(number)
		if err == nil {
			return finished, nil
		}
		if done, ok := r.endWasLost(); ok {
			return done, nil
		}
		if !r.mayRetry(number, err) {
			return Finished{}, err
		}
		r.session.path.counters.retried.Inc(1)
		if len(r.delivered) > 0 {
			r.session.path.counters.resumed.Inc(1)
		}
		_ = level.Info(r.session.log).Log("msg", event.AttemptFailed, "attempt", number, "delivered", len(r.delivered), "err", err)
	}
}

// endWasLost reports whether the caller has every token that it asked for, so
// that only the engine's mark of the end is missing.
func (r *completion) endWasLost() (Finished, bool) {
	if ident.Tokens(len(r.delivered)) < r.MaxTokens {
		return Finished{}, false
	}
	return r.finished("length"), true
}

// finished returns the end of the answer.
func (r *completion) finished(reason string) Finished {
	prompt := r.prompt
	if prompt == 0 {
		prompt = r.bound
	}
	return Finished{Reason: reason, PromptTokens: prompt, CompletionTokens: ident.Tokens(len(r.delivered))}
}

// used returns what the organisation is charged in the end. A second prefill
// after a failure is not the organisation's.
func (r *completion) used() ident.Tokens {
	if !r.session.sent.Load() {
		return 0
	}
	f := r.finished("")
	return min(f.PromptTokens, r.bound) + f.CompletionTokens
}

// mayRetry reports whether another attempt may follow an error.
func (r *completion) mayRetry(number int, err error) bool {
	s := r.session
	if !endpointFault(fault.From(err)) {
		return false
	}
	if number >= maxAttempts || s.ctx.Err() != nil || !s.path.now().Before(s.Deadline) {
		return false
	}
	if !s.Route.Idempotent && s.sent.Load() {
		return false
	}
	if !s.path.retries.spend() {
		s.path.counters.retryRefused.Inc(1)
		return false
	}
	return true
}

// placeAndRun makes one attempt.
func (r *completion) placeAndRun(number int) (Finished, error) {
	s := r.session
	request := placement.Request{
		ID:           s.ID,
		Attempt:      number,
		Organisation: s.Identity.Organisation,
		Model:        r.Model,
		PromptTokens: r.bound + ident.Tokens(len(r.delivered)),
		MaxTokens:    r.rest(),
		PrefixHashes: r.Prompt.PrefixHashes(),
		Deadline:     s.Deadline,
		Priority:     s.Route.Priority,
		Avoid:        slices.Clone(r.avoid),
	}
	if len(r.delivered) == 0 && number == 1 {
		request.FirstTokenDeadline = s.Received.Add(time.Duration(s.Route.FirstTokenMS) * time.Millisecond)
	}
	placed, err := s.path.Place(s.ctx, request)
	if fault.Is(err, fault.NoEndpoint) && len(request.Avoid) > 0 {
		// An engine that failed once is better than none.
		r.avoid, request.Avoid = nil, nil
		placed, err = s.path.Place(s.ctx, request)
	}
	if err != nil {
		return Finished{}, err
	}
	return r.run(placed)
}

// rest returns how many tokens the caller may still get.
func (r *completion) rest() ident.Tokens {
	return r.MaxTokens - ident.Tokens(len(r.delivered))
}

// deliver gives the caller a part of the answer whose first token has the given
// index in the whole answer.
func (r *completion) deliver(index int, d engine.Delta) error {
	if !invariant.Check(r.session.log, "TokensConsecutive", index == len(r.delivered), "index", index, "delivered", len(r.delivered)) {
		return fault.New(fault.Internal, "token %d came after %d tokens", index, len(r.delivered))
	}
	if len(r.delivered) == 0 {
		r.session.path.counters.firstToken.UpdateSince(r.session.Received)
	}
	r.delivered = append(r.delivered, d.IDs...)
	return r.onDelta(d)
}
