package request

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/placement"
	"monsoonfork/core/text"
)

// CompletionRequest is a request to a model service.
type CompletionRequest struct {
	Model     ident.ModelID
	Prompt    engineapi.Prompt
	MaxTokens ident.Tokens
}

// CompletionResult describes a complete answer.
type CompletionResult struct {
	Reason           string // "stop" or "length".
	PromptTokens     ident.Tokens
	CompletionTokens ident.Tokens
}

// completion is the state of a running completion request, across its attempts.
type completion struct {
	CompletionRequest
	session             *Session
	model               *text.Model
	maxPromptTokens     ident.Tokens // Upper bound on the tokens of the prompt.
	onDelta             func(engineapi.Delta) error
	delivered           []int                                   // Token ids delivered to the caller.
	avoidedEngines      []ident.EndpointID                      // Engines that failed in earlier attempts; placement excludes them.
	countedPromptTokens ident.Tokens                            // Prompt tokens as counted by a prefill engine; 0 until one reported them.
	failedTransfers     map[ident.EndpointID][]ident.EndpointID // For each prefill engine, the decode engines to which a KV cache transfer failed.
}

// Complete runs a completion and calls onDelta once for each delta of the answer,
// in order. If it returns no error, the answer is complete. An error from onDelta
// ends the request.
func (s *Session) Complete(c CompletionRequest, onDelta func(engineapi.Delta) error) (CompletionResult, error) {
	run := &completion{CompletionRequest: c, session: s, onDelta: onDelta}
	if err := run.validate(); err != nil {
		return CompletionResult{}, s.requestError(err)
	}
	s.pipeline.retryBudget.deposit()
	settle, err := s.admit(run.maxPromptTokens + c.MaxTokens)
	if err != nil {
		return CompletionResult{}, s.requestError(err)
	}
	defer func() { settle(run.chargedTokens()) }()
	finished, err := run.runAttempts()
	if err != nil {
		return CompletionResult{}, s.requestError(err)
	}
	return finished, nil
}

// admit charges the cost to the organisation of the request. Requests without a
// key, on routes that need none, have no organisation and are not charged. settle
// takes the tokens used and returns the rest of the charge.
func (s *Session) admit(cost ident.Tokens) (settle func(ident.Tokens), err error) {
	if s.Identity.Organisation == "" || cost == 0 {
		return func(ident.Tokens) {}, nil
	}
	return s.pipeline.Admit(s.ctx, s.Identity.Organisation, cost)
}

// validate checks the request against the configuration and sets model and
// maxPromptTokens.
func (r *completion) validate() error {
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
	r.maxPromptTokens = r.Prompt.TokenUpperBound(model.MinBytesPerToken)
	if r.maxPromptTokens > model.MaxTokens || r.MaxTokens > model.MaxTokens-r.maxPromptTokens { // The sum may overflow.
		return fault.New(fault.RequestTooLarge, "the prompt has up to %d tokens, with max_tokens %d above the %d of model %s",
			r.maxPromptTokens, r.MaxTokens, model.MaxTokens, r.Model)
	}
	return nil
}

// runAttempts runs attempts until the answer is complete or no further attempt is
// allowed.
func (r *completion) runAttempts() (CompletionResult, error) {
	for number := 1; ; number++ {
		finished, err := r.placeAndRun(number)
		if err == nil {
			return finished, nil
		}
		if answer, ok := r.onlyEndMissing(); ok {
			return answer, nil
		}
		if !r.mayRetry(number, err) {
			return CompletionResult{}, err
		}
		r.session.pipeline.counters.retried.Inc(1)
		if len(r.delivered) > 0 {
			r.session.pipeline.counters.resumed.Inc(1)
		}
		_ = level.Info(r.session.log).Log("msg", event.AttemptFailed, "attempt", number, "delivered", len(r.delivered), "err", err)
	}
}

// onlyEndMissing reports whether the caller has all MaxTokens tokens, so that the
// failed attempt lost only the end marker of the stream. It then returns the
// complete answer.
func (r *completion) onlyEndMissing() (CompletionResult, bool) {
	if ident.Tokens(len(r.delivered)) < r.MaxTokens {
		return CompletionResult{}, false
	}
	return r.finished("length"), true
}

// finished returns the description of the answer so far with the finish reason. If
// no engine has counted the prompt, it reports the upper bound.
func (r *completion) finished(reason string) CompletionResult {
	prompt := r.countedPromptTokens
	if prompt == 0 {
		prompt = r.maxPromptTokens
	}
	return CompletionResult{Reason: reason, PromptTokens: prompt, CompletionTokens: ident.Tokens(len(r.delivered))}
}

// chargedTokens returns the tokens charged to the organisation after the request:
// none if nothing was sent to an engine, else the prompt once and the delivered
// tokens. Repeated prefills after a failure are not charged.
func (r *completion) chargedTokens() ident.Tokens {
	if !r.session.sent.Load() {
		return 0
	}
	f := r.finished("")
	return min(f.PromptTokens, r.maxPromptTokens) + f.CompletionTokens
}

// mayRetry reports whether another attempt is allowed after attempt number failed
// with err. If so, it withdraws one retry from the retry budget.
func (r *completion) mayRetry(number int, err error) bool {
	s := r.session
	if !isEndpointFailure(fault.From(err)) {
		return false
	}
	if number >= maxAttempts || s.ctx.Err() != nil || !s.pipeline.now().Before(s.Deadline) {
		return false
	}
	if !s.Route.Idempotent && s.sent.Load() {
		return false
	}
	if !s.pipeline.retryBudget.withdraw() {
		s.pipeline.counters.retryRefused.Inc(1)
		return false
	}
	return true
}

// placeAndRun reserves engines and runs one attempt on them.
func (r *completion) placeAndRun(number int) (CompletionResult, error) {
	s := r.session
	request := placement.Request{
		ID:           s.ID,
		Attempt:      number,
		Organisation: s.Identity.Organisation,
		Model:        r.Model,
		PromptTokens: r.maxPromptTokens + ident.Tokens(len(r.delivered)),
		MaxTokens:    r.remainingTokens(),
		PrefixHashes: r.Prompt.PrefixHashes(),
		Deadline:     s.Deadline,
		Priority:     s.Route.Priority,
		Avoid:        slices.Clone(r.avoidedEngines),
	}
	if len(r.delivered) == 0 && number == 1 {
		request.FirstTokenDeadline = s.Received.Add(time.Duration(s.Route.FirstTokenMS) * time.Millisecond)
	}
	placed, err := s.pipeline.Place(s.ctx, request)
	if fault.Is(err, fault.NoEndpoint) && len(request.Avoid) > 0 {
		// All usable engines failed in earlier attempts: allow them again
		// rather than fail the request.
		r.avoidedEngines, request.Avoid = nil, nil
		placed, err = s.pipeline.Place(s.ctx, request)
	}
	if err != nil {
		return CompletionResult{}, err
	}
	return r.runAttempt(placed, number >= maxAttempts)
}

// remainingTokens returns how many more tokens may be delivered.
func (r *completion) remainingTokens() ident.Tokens {
	return r.MaxTokens - ident.Tokens(len(r.delivered))
}

// deliver passes a delta to the caller. index is the position of its first token
// in the whole answer.
func (r *completion) deliver(index int, d engineapi.Delta) error {
	if !invariant.Check(r.session.log, "TokensConsecutive", index == len(r.delivered), "index", index, "delivered", len(r.delivered)) {
		return fault.New(fault.Internal, "received token index %d after %d delivered tokens", index, len(r.delivered))
	}
	if len(r.delivered) == 0 {
		r.session.pipeline.counters.firstToken.UpdateSince(r.session.Received)
	}
	r.delivered = append(r.delivered, d.IDs...)
	return r.onDelta(d)
}
