package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

const (
	// reserveTries is how many engines are asked for room in one go.
	reserveTries = 4
	// reserveTime is how long a reservation is needed: prefill and its queue.
	reserveTime = 1500 * time.Millisecond
	// refusedFor is how long an engine that has no room is not asked again.
	refusedFor = 30 * time.Millisecond
	// askAgain is the pause before engines are asked again.
	askAgain = 30 * time.Millisecond
	// askCallTime bounds one request for room.
	askCallTime = 250 * time.Millisecond
	// prefillReserve is the part of the objective that is kept for the prefill.
	prefillReserve = 0.3
)

// room is a place for a stream at a decode engine.
type room struct {
	engine      *engines.Engine
	reservation string
	end         func() // Takes the place out of the engine's load.
}

// reserve waits for room at a decode engine.
func (j *job) reserve(ctx context.Context) (room, error) {
	r := j.router
	started := r.now()
	defer func() { r.counters.queued.UpdateSince(started) }()
	giveUp := j.giveUpAt()
	turn := r.waiting.join()
	defer turn.leave()
	for {
		found, ok := j.tryReserve(ctx)
		if ok {
			return found, nil
		}
		if ctx.Err() != nil {
			return room{}, fault.From(context.Cause(ctx)).WithRan(fault.NotRun)
		}
		now := r.now()
		if !now.Before(giveUp) {
			return room{}, fault.New(fault.Overloaded, "no decode engine has room").WithRetryAfter(now.Add(j.comeAgain()))
		}
		turn.wait(ctx, askAgain+time.Duration(rand.Int64N(int64(askAgain/2))))
	}
}

// giveUpAt returns until when a request waits for room.
func (j *job) giveUpAt() time.Time {
	objective := time.Duration(j.route.FirstAnswerMS) * time.Millisecond
	at := j.Received.Add(time.Duration((1 - prefillReserve) * float64(objective)))
	if at.After(j.deadline) {
		return j.deadline
	}
	return at
}

// comeAgain returns after which time a refused caller should come again.
func (j *job) comeAgain() time.Duration { return refusedRetry }

// tryReserve asks engines for room, the best first.
func (j *job) tryReserve(ctx context.Context) (room, bool) {
	r := j.router
	size := j.size()
	list := j.decodeCandidates(size)
	if len(list) > reserveTries {
		list = list[:reserveTries]
	}
	for _, e := range list {
		end := e.Begin(size)
		now := r.now()
		callCtx, cancel := context.WithTimeout(ctx, askCallTime)
		id, err := r.Calls.Reserve(callCtx, e.Entry, size, now.Add(reserveTime), now.Add(connectTime))
		cancel()
		if err == nil {
			return room{engine: e, reservation: id, end: end}, true
		}
		end()
		if ctx.Err() != nil {
			return room{}, false
		}
		now = r.now()
		if fault.Is(err, fault.EndpointRefused) {
			e.Refused(size, now.Add(refusedFor))
			continue
		}
		e.Silent(now)
	}
	return room{}, false
}

// size is the memory that the stream is likely to need at its decode engine.
func (j *job) size() ident.Tokens { return j.Prompt + j.output() }

// output is the likely length of the answer.
func (j *job) output() ident.Tokens {
	if j.Estimate == 0 {
		return j.MaxOutput
	}
	return min(j.MaxOutput, ident.Tokens(estimateFactor*float64(j.Estimate)))
}

// estimateFactor covers answers that are longer than their callers think.
const estimateFactor = 1.1

// waiting is the requests that wait for room, in the order of their arrival.
type waiting struct {
	mu    sync.Mutex
	count int
	wake  chan struct{} // Closed when a place was given back.
}

// turn is a request's place among those that wait.
type turn struct{ w *waiting }

// join enters a request.
func (w *waiting) join() turn {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wake == nil {
		w.wake = make(chan struct{})
	}
	w.count++
	return turn{w}
}

// leave takes a request out.
func (t turn) leave() {
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	t.w.count--
}

// wait returns after a pause, or when a place was given back.
func (t turn) wait(ctx context.Context, pause time.Duration) {
	t.w.mu.Lock()
	wake := t.w.wake
	t.w.mu.Unlock()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}
