package request

import (
	"slices"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/placement"
	"monsoonfork/core/text"
)

const (
	// minStageTimeout is the shortest timeout of a stage (prefill, or transfer
	// of the KV cache) at an engine.
	minStageTimeout = 2 * time.Second
	// stageTimeoutFactor is the ratio of a stage's timeout to its estimated
	// duration.
	stageTimeoutFactor = 4
	// interTokenTimeout is the longest allowed time between two tokens.
	interTokenTimeout = 2 * time.Second
)

// attempt is one attempt to run a completion on a prefill and a decode engine.
type attempt struct {
	*completion
	placed     *PlacedAttempt
	log        log.Logger
	startIndex int  // Number of tokens delivered by earlier attempts.
	isLast     bool // No other attempt can follow, so that a silent engine is waited for.

	prefillSent bool
	decodeSent  bool
}

// runAttempt runs an attempt on its reserved engines. When it returns, either
// the engines hold no memory for the attempt, or an abort is in progress. isLast says that
// no other attempt can follow.
func (r *completion) runAttempt(placed *PlacedAttempt, isLast bool) (CompletionResult, error) {
	a := &attempt{
		completion: r,
		placed:     placed,
		log:        log.With(r.session.log, "attempt", placed.ID, "prefill", string(placed.Prefill.Name), "decode", string(placed.Decode.Name)),
		startIndex: len(r.delivered),
		isLast:     isLast,
	}
	table := &r.session.pipeline.attempts
	table.add(placed.ID)
	result := placement.Cancelled // Also if runPhases panics.
	complete := false
	defer func() {
		if !complete {
			a.abort()
		}
		if a.prefillSent || a.decodeSent {
			a.session.markSent() // Also if the call has panicked.
		}
		// After this the reaper of any instance may abort what the engines still
		// hold for the attempt.
		table.remove(placed.ID)
		placed.Close(placement.Outcome{Result: result, OutputTokens: ident.Tokens(len(r.delivered) - a.startIndex)})
	}()
	finished, result, err := a.runPhases()
	complete = err == nil
	return finished, err
}

// runPhases runs prefill and decode.
func (a *attempt) runPhases() (CompletionResult, placement.Result, error) {
	pipeline := a.session.pipeline
	prefilled, err := a.prefill()
	if err != nil {
		return CompletionResult{}, a.recordFailure(err, a.placed.Prefill, placement.PrefillFailed), err
	}
	pipeline.counters.prefillTokens.Inc(int64(prefilled.PromptTokens))
	a.placed.PrefillDone()
	finish, err := a.decode(prefilled)
	if len(a.delivered) == a.startIndex {
		pipeline.counters.wastedTokens.Inc(int64(prefilled.PromptTokens))
	}
	if err != nil && len(a.delivered) == a.startIndex {
		result := a.recordFailure(err, a.placed.Decode, placement.TransferFailed)
		if result == placement.TransferFailed {
			a.recordTransferFailure()
		}
		return CompletionResult{}, result, err
	}
	if err != nil {
		return CompletionResult{}, a.recordFailure(err, a.placed.Decode, placement.DecodeFailed), err
	}
	if missing := a.remainingTokens(); finish.Reason == "length" && missing > 0 {
		err := fault.New(fault.AnswerBroken, "the engine ended the answer %d tokens before the token limit", missing)
		return CompletionResult{}, a.recordFailure(err, a.placed.Decode, placement.DecodeFailed), err
	}
	return a.finished(finish.Reason), placement.Completed, nil
}

// recordFailure excludes the engine e from later attempts if err is a failure of
// the engine, and returns the result of the attempt. The result is Cancelled if
// the request was cancelled or err has another cause.
func (a *attempt) recordFailure(err error, e text.Engine, result placement.Result) placement.Result {
	if a.session.ctx.Err() != nil {
		return placement.Cancelled
	}
	if !isEndpointFailure(fault.From(err)) {
		return placement.Cancelled
	}
	a.avoidedEngines = append(a.avoidedEngines, e.Name)
	return result
}

// recordTransferFailure records a failed transfer of the KV cache. Either engine
// may be the cause: after the second failed transfer from the same prefill
// engine, later attempts avoid that engine instead of the decode engines.
func (a *attempt) recordTransferFailure() {
	from := a.placed.Prefill.Name
	if a.failedTransfers == nil {
		a.failedTransfers = make(map[ident.EndpointID][]ident.EndpointID)
	}
	a.failedTransfers[from] = append(a.failedTransfers[from], a.placed.Decode.Name)
	failed := a.failedTransfers[from]
	if len(failed) < 2 {
		return
	}
	a.avoidedEngines = slices.DeleteFunc(a.avoidedEngines, func(id ident.EndpointID) bool { return slices.Contains(failed, id) })
	a.avoidedEngines = append(a.avoidedEngines, from)
}

// prefill runs the prompt, and the tokens delivered so far, on the prefill engine.
func (a *attempt) prefill() (engineapi.PrefillResult, error) {
	a.prefillSent = true // Until the call has returned, it may have been sent.
	prefilled, err := a.session.pipeline.Prefill(a.session.ctx, a.placed.Prefill.Address, engineapi.PrefillCall{
		Attempt:      a.placed.ID,
		Model:        a.Model,
		Prompt:       a.Prompt,
		ContinueFrom: a.delivered,
		Priority:     a.session.Route.Priority,
		Limits:       endpoint.Limits{ResponseDeadline: a.stageDeadline(a.estimatedPrefillTime())},
	})
	a.prefillSent = a.markIfSent(err)
	if err == nil {
		a.countedPromptTokens = prefilled.PromptTokens
	}
	return prefilled, err
}

// decode generates the remaining tokens on the decode engine and delivers them to
// the caller.
func (a *attempt) decode(prefilled engineapi.PrefillResult) (engineapi.Finish, error) {
	a.decodeSent = true // Until the call has returned, it may have been sent.
	next := a.startIndex
	finish, err := a.session.pipeline.Decode(a.session.ctx, a.placed.Decode.Address, engineapi.DecodeCall{
		Attempt:      a.placed.ID,
		Model:        a.Model,
		Prompt:       a.Prompt,
		MaxTokens:    a.remainingTokens(),
		ContinueFrom: a.delivered[:a.startIndex:a.startIndex],
		Priority:     a.session.Route.Priority,
		Transfer:     prefilled.Transfer,
		Limits: endpoint.Limits{
			FirstByteDeadline: a.stageDeadline(a.estimatedTransferTime()),
			ReadTimeout:       a.readTimeout(),
			ResponseDeadline:  a.session.Deadline,
		},
	}, func(d engineapi.Delta) error {
		index := next
		next += len(d.IDs)
		return a.deliver(index, d)
	})
	a.decodeSent = a.markIfSent(err)
	return finish, err
}

// markIfSent reports whether a call that returned err may have reached its
// engine, and if so marks the request as sent.
func (a *attempt) markIfSent(err error) bool {
	if err != nil && fault.From(err).Ran == fault.NotRun {
		return false
	}
	a.session.markSent()
	return true
}

// abort aborts the attempt, in the background, at each engine that may hold memory
// for it.
func (a *attempt) abort() {
	pipeline := a.session.pipeline
	if a.prefillSent {
		pipeline.abort(a.log, a.placed.Prefill, a.placed.ID)
	}
	if a.decodeSent {
		pipeline.abort(a.log, a.placed.Decode, a.placed.ID)
	}
}

// readTimeout returns the longest allowed time between two tokens; 0 means no limit.
func (a *attempt) readTimeout() time.Duration {
	if a.isLast {
		return 0
	}
	return interTokenTimeout
}

// stageDeadline returns the deadline of a stage with the estimated duration d. It
// is never after the deadline of the request.
func (a *attempt) stageDeadline(d time.Duration) time.Time {
	if a.isLast {
		return a.session.Deadline
	}
	deadline := a.session.pipeline.now().Add(max(minStageTimeout, stageTimeoutFactor*d))
	if deadline.After(a.session.Deadline) {
		return a.session.Deadline
	}
	return deadline
}

// estimatedPrefillTime estimates the duration of the prefill.
func (a *attempt) estimatedPrefillTime() time.Duration {
	rate := a.placed.Prefill.PrefillRate
	if rate <= 0 {
		return time.Until(a.session.Deadline)
	}
	tokens := float64(a.maxPromptTokens) + float64(len(a.delivered))
	return time.Duration(tokens / rate * float64(time.Second))
}

// estimatedTransferTime estimates the duration of the KV cache transfer over the
// slower of the two engines' links.
func (a *attempt) estimatedTransferTime() time.Duration {
	link := slowerLink(a.placed.Prefill.LinkBandwidth, a.placed.Decode.LinkBandwidth)
	if link <= 0 {
		return 0
	}
	size := float64(a.maxPromptTokens+ident.Tokens(len(a.delivered))) * float64(a.model.BytesPerKVToken)
	return time.Duration(size / float64(link) * float64(time.Second))
}

// slowerLink returns the lower of two link bandwidths. A bandwidth of 0 is unknown; the
// other one is returned.
func slowerLink(x, y ident.Bytes) ident.Bytes {
	if x <= 0 || (y > 0 && y < x) {
		return y
	}
	return x
}
