package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
)

const (
	// hedgeFactor is the part of the objective after which a call that may be
	// repeated goes to a second engine too.
	hedgeFactor = 0.6
	// minHedge is the shortest time before a second call.
	minHedge = 40 * time.Millisecond
	// refusedRetry is when a caller should come again whom no engine took.
	refusedRetry = 150 * time.Millisecond
	// maxRefusals bounds the engines that are asked after others have refused.
	maxRefusals = 3
	// heldBytes is how much of an answer is held back, so that one that breaks
	// can still be replaced by that of another engine.
	heldBytes = 256 << 10
)

// result is what came of a call to one engine.
type result struct {
	engine *engines.Engine
	head   Head
	body   []byte
	passed bool // The answer was passed on as it came.
	err    error
}

// failed reports whether another engine might do better.
func (r result) failed() bool { return r.err != nil || r.head.Status >= 500 }

// notRun reports whether the engine has not run the request for sure.
func (r result) notRun() bool { return r.err != nil && fault.From(r.err).Ran == fault.NotRun }

// plain sends the request to an engine of a plain service.
func (j *job) plain(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &plainRun{job: j, ctx: ctx, results: make(chan result, maxRefusals+j.route.Attempts+1)}
	if !p.launch() {
		return j.noEngine(nil)
	}
	hedge := time.NewTimer(p.hedgeAfter())
	defer hedge.Stop()
	for p.pending > 0 {
		select {
		case res := <-p.results:
			p.pending--
			if !p.counts(res) {
				continue
			}
			if res.passed || !res.failed() {
				j.way = append(j.way, "engine", res.engine.ID)
				return j.give(res)
			}
			if p.take(res); p.mayFollow(res) {
				p.launch()
			}
		case <-hedge.C:
			if j.route.Kind == catalog.Safe && p.runs() < j.route.Attempts && p.launch() {
				j.router.counters.hedged.Inc(1)
			}
		case <-ctx.Done():
			p.drain()
			return j.interrupted(ctx)
		}
	}
	return p.conclude()
}

// counts reports whether a result is still of use: once an answer is passed on as
// it comes, no other is.
func (p *plainRun) counts(res result) bool {
	passing := p.passing.Load()
	return passing == nil || passing == res.engine
}

// drain waits for the calls of a request that has ended, so that none of them
// writes to the caller any more.
func (p *plainRun) drain() {
	for ; p.pending > 0; p.pending-- {
		<-p.results
	}
}

// plainRun is the calls of one request to a plain service.
type plainRun struct {
	*job
	ctx     context.Context
	results chan result
	pending int
	notRun  int     // Calls that engines have refused.
	answer  *result // The best of those that failed.
	lastErr error
	passing atomic.Pointer[engines.Engine] // Whose answer is passed on as it comes.
}

// runs returns how many engines may have run the request.
func (p *plainRun) runs() int { return p.calls - p.notRun }

// hedgeAfter returns when a second call goes out beside the first.
func (p *plainRun) hedgeAfter() time.Duration {
	objective := time.Duration(p.route.FirstAnswerMS) * time.Millisecond
	return max(minHedge, time.Duration(hedgeFactor*float64(objective)))
}

// launch calls the next engine, if there is one and the budget allows it.
func (p *plainRun) launch() bool {
	e := p.choosePlain()
	if e == nil || p.passing.Load() != nil || (p.calls > 0 && !p.router.mayRepeat(p.service.Name)) {
		return false
	}
	p.tried[e.ID], p.last = true, e.ID
	p.calls++
	p.pending++
	call := p.call(e)
	go func() { p.results <- p.callOne(p.ctx, e, call) }()
	return true
}

// take keeps what a failed call has left.
func (p *plainRun) take(res result) {
	if res.notRun() {
		p.notRun++
	}
	if res.err == nil {
		p.answer = &res
		return
	}
	p.lastErr = res.err
	_ = level.Info(p.log).Log("msg", event.EngineFailed, "engine", res.engine.ID, "kind", fault.KindOf(res.err), "ran", fault.From(res.err).Ran, "err", res.err)
}

// mayFollow reports whether another engine may be called after a failed call.
func (p *plainRun) mayFollow(res result) bool {
	if p.ctx.Err() != nil || res.passed {
		return false
	}
	if res.notRun() {
		return p.notRun <= maxRefusals
	}
	return p.route.Kind == catalog.Safe && p.runs() < p.route.Attempts
}

// conclude ends a request of which no call went well.
func (p *plainRun) conclude() error {
	if p.answer != nil {
		return p.give(*p.answer)
	}
	return p.noEngine(p.lastErr)
}

// callOne calls one engine and holds its answer, unless it is too large.
func (p *plainRun) callOne(ctx context.Context, e *engines.Engine, call Call) result {
	res := result{engine: e}
	end := e.Begin(0)
	defer end()
	err := p.router.Calls.Send(ctx, call, Sink{
		OnHead: func(h Head) error { res.head = h; return nil },
		OnPiece: func(piece []byte) error {
			if len(res.body)+len(piece) > heldBytes || res.passed {
				return p.passOn(&res, piece)
			}
			res.body = append(res.body, piece...)
			return nil
		},
	})
	res.err = err
	if ctx.Err() == nil {
		p.judge(e, res)
	}
	return res
}

// passOn gives an answer to the caller that is too large to be held. Only one call
// of a request may do so.
func (p *plainRun) passOn(res *result, piece []byte) error {
	if !res.passed {
		if !p.passing.CompareAndSwap(nil, res.engine) {
			return fault.New(fault.AnswerBroken, "another engine's answer is passed on")
		}
		res.passed = true
		p.begin(res.head)
		if err := p.job.answer.Write(res.body); err != nil {
			return err
		}
		res.body = nil
	}
	return p.job.answer.Write(piece)
}

// judge notes what a call says about its engine.
func (j *job) judge(e *engines.Engine, res result) {
	now := j.router.now()
	switch f := fault.From(res.err); {
	case res.err == nil && res.head.Status < 500:
		e.Succeeded(now)
	case res.err == nil:
		e.Failed(now)
	case f.Kind == fault.EndpointRefused:
		e.Failed(now)
	case f.Kind == fault.EndpointFailed, f.Kind == fault.EndpointTimeout, f.Kind == fault.AnswerBroken:
		e.Silent(now)
	}
}

// begin gives the head of an answer to the caller.
func (j *job) begin(h Head) {
	j.begun, j.first, j.head = true, j.router.now(), h.Status
	j.router.counters.first.UpdateSince(j.Received)
	j.answer.Begin(h.Status, h.Header, h.Length)
}

// give gives a whole answer to the caller.
func (j *job) give(res result) error {
	if res.passed {
		return res.err
	}
	res.head.Length = int64(len(res.body))
	j.begin(res.head)
	if len(res.body) == 0 {
		return nil
	}
	return j.answer.Write(res.body)
}

// noEngine returns the error of a request that no engine has answered.
func (j *job) noEngine(last error) error {
	retry := j.router.now().Add(refusedRetry)
	if last == nil {
		return fault.New(fault.NoEndpoint, "service %s has no engine in use", j.service.Name).WithRetryAfter(retry)
	}
	f := fault.From(last)
	if f.Ran == fault.NotRun {
		return fault.Wrap(last, fault.NoEndpoint, "no engine of service %s takes the request", j.service.Name).WithRetryAfter(retry)
	}
	return f
}

// interrupted returns the error of a request whose caller left or whose time
// has passed while it was at an engine.
func (j *job) interrupted(ctx context.Context) error {
	ran := fault.MayHaveRun
	if j.calls == 0 {
		ran = fault.NotRun
	}
	return fault.From(context.Cause(ctx)).WithRan(ran)
}
