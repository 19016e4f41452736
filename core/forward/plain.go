package forward

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membudget"
)

const (
	// hedgeObjectiveShare is the fraction of the route's time objective after which a
	// request of an idempotent route is also sent to a second engine.
	hedgeObjectiveShare = 0.6
	// minHedgeDelay is the shortest delay before the second call.
	minHedgeDelay = 40 * time.Millisecond
	// refusedRetryAfter is the Retry-After of a request that no engine has accepted.
	refusedRetryAfter = 150 * time.Millisecond
	// maxRefusedCalls limits the retries after calls that engines have not run.
	maxRefusedCalls = 3
	// maxPlainRuns limits the engines that may run one request, whatever its route allows.
	maxPlainRuns = 8
	// maxBufferedAnswer is how many bytes of an answer are buffered before anything is sent
	// to the caller. A buffered answer that breaks off can be replaced by that of another
	// engine.
	maxBufferedAnswer = 256 << 10
	// maxScarceError is how many bytes of a server error are buffered while memory is scarce.
	// It is no more than what a request that is read or handled needs anyway.
	maxScarceError = 4 << 10
)

// callResult is the result of a call to one engine.
type callResult struct {
	engine    *engines.Engine
	head      Head
	body      []byte
	forwarded bool      // The answer was sent to the caller as it arrived, without buffering.
	heardAt   time.Time // When the last part of the answer arrived; when the call was sent if none did.
	err       error
}

// failed reports whether the call failed: it had an error or a server error status.
func (r callResult) failed() bool { return r.err != nil || r.head.Status >= 500 }

// isNotRun reports whether it is certain that the engine has not run the request.
func (r callResult) isNotRun() bool { return r.err != nil && fault.From(r.err).Ran == fault.NotRun }

// servePlain serves the request by the engines of a plain service, with retries and a hedge.
func (j *job) servePlain(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &plainCalls{job: j, ctx: ctx, results: make(chan callResult, maxRefusedCalls+maxPlainRuns+1), buffered: j.router.Memory.Open(j.router.now()), full: make(map[ident.EndpointID]bool)}
	defer p.buffered.Close()
	ended := false
	defer func() {
		if !ended { // A panic: the calls must not continue without the handler.
			cancel()
			p.drain()
		}
	}()
	err := p.serve()
	ended = true
	return err
}

// serve makes the calls and sends the answer.
func (p *plainCalls) serve() error {
	j, ctx := p.job, p.ctx
	if !p.callNextEngine() {
		return p.notStartedError()
	}
	hedge := time.NewTimer(p.hedgeDelay())
	defer hedge.Stop()
	for p.pending > 0 {
		select {
		case res := <-p.results:
			p.pending--
			if !p.isRelevant(res) || !res.failed() && !p.claimAnswer(res.engine) {
				continue
			}
			if res.forwarded || !res.failed() {
				j.logFields = append(j.logFields, "engine", res.engine.ID)
				return j.sendAnswer(res)
			}
			if p.recordFailure(res); p.mayRetry(res) {
				p.callNextEngine()
			}
		case <-hedge.C:
			if j.route.Kind == catalog.Idempotent && p.mayRunAgain() && p.callNextEngine() {
				j.router.counters.hedges.Inc(1)
			}
		case <-ctx.Done():
			p.drain()
			return j.interruptedError(ctx)
		}
	}
	return p.finish()
}

// isRelevant reports whether a result may still be used. Once an engine's answer is chosen,
// only the result of that engine is.
func (p *plainCalls) isRelevant(res callResult) bool {
	forwardedEngine := p.forwardedEngine.Load()
	return forwardedEngine == nil || forwardedEngine == res.engine
}

// claimAnswer makes an engine the one whose answer the caller gets. It returns false if the
// answer of another engine is being forwarded already.
func (p *plainCalls) claimAnswer(e *engines.Engine) bool {
	return p.forwardedEngine.CompareAndSwap(nil, e) || p.forwardedEngine.Load() == e
}

// drain waits for the open calls of a request that has ended, so that none of them can
// still write to the caller.
func (p *plainCalls) drain() {
	for ; p.pending > 0; p.pending-- {
		<-p.results
	}
}

// plainCalls holds the calls of one request to the engines of a plain service.
type plainCalls struct {
	*job
	ctx             context.Context
	results         chan callResult
	buffered        *membudget.Holder              // Memory of the answers that are buffered.
	pending         int                            // Number of open calls.
	notRunCalls     int                            // Number of calls that engines have certainly not run.
	answer          *callResult                    // The last answer with a server error; the answer to the caller is job.answer.
	lastErr         error                          // The last error; one of a call that may have run goes before others.
	forwardedEngine atomic.Pointer[engines.Engine] // The engine whose answer the caller gets; nil while none is chosen.
	full            map[ident.EndpointID]bool      // Engines that have refused the request as they were at their limit.
	limitErr        error                          // Why the engines' limits did not allow a call in time; nil if they did.
}

// possibleRuns returns how many engines may have run the request.
func (p *plainCalls) possibleRuns() int { return p.callCount - p.notRunCalls }

// mayRunAgain reports whether a further engine may run the request, if it is repeatable.
func (p *plainCalls) mayRunAgain() bool {
	return p.possibleRuns() < min(p.route.MaxEngines, maxPlainRuns)
}

// hedgeDelay returns the delay after which a second call is made in parallel to the first.
func (p *plainCalls) hedgeDelay() time.Duration {
	objective := time.Duration(p.route.TargetLatencyMS) * time.Millisecond
	return max(minHedgeDelay, time.Duration(hedgeObjectiveShare*float64(objective)))
}

// callNextEngine starts a call to the next engine, if there is one and the retry budget
// allows it. It reports whether it did.
func (p *plainCalls) callNextEngine() bool {
	isExtra := p.callCount > 0
	if p.forwardedEngine.Load() != nil || isExtra && !p.router.holdExtraCall(p.service.Name) {
		return false
	}
	e, slot := p.takeEngine()
	if slot == nil {
		if isExtra {
			p.router.returnExtraCall(p.service.Name)
		}
		return false
	}
	if isExtra {
		p.router.useExtraCall(p.service.Name)
	}
	p.tried[e.ID], p.lastEngine = true, e.ID
	p.callCount++
	call := p.newCall(e)
	p.pending++
	go func() {
		res := p.callEngine(p.ctx, e, call)
		p.endSlot(slot, res)
		p.results <- res
	}()
	return true
}

// recordFailure records the answer or the error of a failed call.
func (p *plainCalls) recordFailure(res callResult) {
	if res.isNotRun() {
		p.notRunCalls++
	}
	if errors.Is(res.err, ErrEngineFull) {
		p.full[res.engine.ID] = true
	}
	if res.err == nil {
		p.answer = &res
		return
	}
	if p.lastErr == nil || fault.From(p.lastErr).Ran == fault.NotRun || !res.isNotRun() {
		p.lastErr = res.err
	}
	_ = level.Info(p.log).Log("msg", event.EngineFailed, "engine", res.engine.ID, "kind", fault.KindOf(res.err), "ran", fault.From(res.err).Ran, "err", res.err)
}

// mayRetry reports whether another engine may be called after a failed call.
func (p *plainCalls) mayRetry(res callResult) bool {
	if p.ctx.Err() != nil || res.forwarded {
		return false
	}
	if res.isNotRun() {
		return p.notRunCalls <= maxRefusedCalls
	}
	return p.route.Kind == catalog.Idempotent && p.mayRunAgain()
}

// finish ends a request whose calls have all failed: with the last answer of an engine if
// there is one, otherwise with an error.
func (p *plainCalls) finish() error {
	if p.answer != nil {
		return p.sendAnswer(*p.answer)
	}
	if p.limitErr != nil && p.possibleRuns() == 0 {
		return p.limitErr
	}
	return p.noEngineError(p.lastErr)
}

// callEngine calls one engine and buffers its answer. An answer of more than maxBufferedAnswer
// bytes, or one for which no memory is free, is forwarded without buffering. An engine that has
// not begun to answer after the hedge delay is silent until it does.
func (p *plainCalls) callEngine(ctx context.Context, e *engines.Engine, call Call) callResult {
	sent := p.router.now()
	res := callResult{engine: e, heardAt: sent}
	e.BeginTrial(sent)
	end := e.BeginRequest(0)
	defer end()
	silenceTimer := time.AfterFunc(p.hedgeDelay(), func() { e.RecordNoAnswer(sent, p.router.now()) })
	defer silenceTimer.Stop()
	sink := Sink{
		OnHead: func(h Head) error {
			silenceTimer.Stop()
			res.head, res.heardAt = h, p.router.now()
			e.RecordAnswer(res.heardAt)
			return nil
		},
		OnData: func(data []byte) error {
			res.heardAt = p.router.now()
			e.RecordAnswer(res.heardAt)
			if res.forwarded || !p.mayBuffer(&res, len(data)) {
				return p.forwardChunk(&res, data)
			}
			res.body = append(res.body, data...)
			return nil
		},
	}
	if err := p.boundary().Run("plain call", func() { res.err = p.router.Calls.Send(ctx, call, sink) }); err != nil {
		res.err = err
	}
	if ctx.Err() == nil {
		p.recordEngineOutcome(e, res)
	} else if now := p.router.now(); res.heardAt.Equal(sent) && now.Sub(sent) >= p.hedgeDelay() {
		e.RecordNoAnswer(sent, now)
	}
	return res
}

// mayBuffer reports whether n bytes more of an answer may be buffered, and counts them. Buffering
// leaves the rest of the memory to what can't do without; a short server error is buffered in any
// case, as the answer of another engine may replace it.
func (p *plainCalls) mayBuffer(res *callResult, n int) bool {
	size := len(res.body) + n
	if size > maxBufferedAnswer {
		return false
	}
	if !p.router.Memory.IsScarce() && p.buffered.Reserve(membudget.Bytes(n)) {
		return true
	}
	return res.head.Status >= http.StatusInternalServerError && size <= maxScarceError && p.buffered.Add(membudget.Bytes(n))
}

// forwardChunk sends a chunk of an answer that can't be buffered to the caller,
// after the head and the data buffered so far. Only one call of a request may do so.
func (p *plainCalls) forwardChunk(res *callResult, data []byte) error {
	if !res.forwarded {
		if !p.forwardedEngine.CompareAndSwap(nil, res.engine) {
			return fault.New(fault.AnswerBroken, "another engine's answer is already being forwarded")
		}
		res.forwarded = true
		p.sendHead(res.head)
		if err := p.job.answer.Write(res.body); err != nil {
			return err
		}
		p.buffered.Release(membudget.Bytes(len(res.body)))
		res.body = nil
	}
	return p.job.answer.Write(data)
}

// recordEngineOutcome records the result of a call in the statistics of its engine.
func (j *job) recordEngineOutcome(e *engines.Engine, res callResult) {
	now := j.router.now()
	switch f := fault.From(res.err); {
	case res.err == nil && res.head.Status < 500:
		e.RecordSuccess(now)
	case res.err == nil:
		e.RecordFailure(now)
	case f.Kind == fault.EndpointRefused:
		e.RecordFailure(now)
	case f.Kind == fault.EndpointFailed, f.Kind == fault.EndpointTimeout, f.Kind == fault.AnswerBroken:
		j.recordNoResponse(e, res.heardAt, f)
	}
}

// recordNoResponse records the error of a call without a complete response, from which the
// last part arrived at the given time: that the engine is silent, or else that it has failed.
func (j *job) recordNoResponse(e *engines.Engine, heardAt time.Time, err error) {
	now := j.router.now()
	if !fault.Is(err, fault.EndpointTimeout) || !e.RecordNoAnswer(heardAt, now) {
		e.RecordIncompleteResponse(now)
	}
}

// sendHead sends the head of an answer to the caller.
func (j *job) sendHead(h Head) {
	j.headSent, j.headSentAt, j.status = true, j.router.now(), h.Status
	j.router.counters.firstByte.UpdateSince(j.Received)
	j.answer.WriteHeader(h.Status, h.Header, h.Length)
}

// sendAnswer sends a complete answer to the caller, unless it was forwarded already.
func (j *job) sendAnswer(res callResult) error {
	if res.forwarded {
		return res.err
	}
	res.head.Length = int64(len(res.body))
	j.sendHead(res.head)
	if len(res.body) == 0 {
		return nil
	}
	return j.answer.Write(res.body)
}

// noEngineError returns the error of a request that no engine has answered.
func (j *job) noEngineError(last error) error {
	retry := j.refusedRetryAt()
	if last == nil {
		return fault.New(fault.NoEndpoint, "service %s has no usable engine", j.service.Name).WithRetryAfter(retry)
	}
	f := fault.From(last)
	if f.Ran == fault.NotRun {
		return fault.Wrap(last, fault.NoEndpoint, "no engine of service %s has accepted the request", j.service.Name).WithRetryAfter(retry)
	}
	return f
}

// interruptedError returns the error of a request whose caller left or whose deadline
// passed before an engine had answered.
func (j *job) interruptedError(ctx context.Context) error {
	ran := fault.MayHaveRun
	if j.callCount == 0 {
		ran = fault.NotRun
	}
	return fault.From(context.Cause(ctx)).WithRan(ran)
}
