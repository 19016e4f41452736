// Package concurrency learns from the refusals of engines how many requests this instance may have
// open at each engine of a plain service, and orders the requests that wait for one.
package concurrency

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

const (
	// retrySpread limits a random addition to the Retry-After of refused requests, so that they do not
	// return together.
	retrySpread = 300 * time.Millisecond
	// minWait is the shortest time between two looks at the engines by one request.
	minWait = time.Millisecond
)

// Outcome is how a request at an engine ended.
type Outcome int

// The outcomes.
const (
	Other    Outcome = iota // The outcome tells nothing about the engine's limit.
	Answered                // The engine has run the request.
	Full                    // The engine has refused the request as it is at its limit.
)

// Limiter holds the limits of the engines of all plain services. It is safe for concurrent use.
type Limiter struct {
	now func() time.Time

	mu       sync.Mutex
	services map[ident.ServiceID]*serviceLimits
}

// New returns a limiter without limits.
func New(now func() time.Time) *Limiter {
	return &Limiter{now: now, services: make(map[ident.ServiceID]*serviceLimits)}
}

// Request is a request that needs an engine.
type Request struct {
	Service  ident.ServiceID
	Priority int // 0 is the most urgent.
	Deadline time.Time
	// Pick returns the best engine that admits accepts. It calls admits only for engines to which the
	// request may be sent. It must not call the Limiter.
	Pick func(admits func(ident.EndpointID) bool) (id ident.EndpointID, ok bool)
}

// waiter is a request that waits for its turn.
type waiter struct {
	Request
	service *serviceLimits
}

// Slot is the permission to send one request to an engine.
type Slot struct {
	Engine ident.EndpointID

	limiter *Limiter
	service *serviceLimits
	began   time.Time
}

// Acquire waits until an engine may get the request and no more urgent one waits. The slot is nil if
// there is no engine that the request may be sent to. The error has kind NoEndpoint if the request
// can't be run before its deadline; it is returned as soon as that is expected.
func (l *Limiter) Acquire(ctx context.Context, r Request) (*Slot, error) {
	slot, w := l.begin(r)
	if w == nil {
		return slot, nil
	}
	defer l.leave(w)
	for {
		step := l.step(w)
		if step.done {
			return step.slot, step.err
		}
		timer := time.NewTimer(max(step.wait, minWait))
		select {
		case <-step.changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil, fault.From(context.Cause(ctx)).WithRan(fault.NotRun)
		}
	}
}

// TryAcquire is Acquire for a request that does not wait. The slot is nil if no engine may get it now.
func (l *Limiter) TryAcquire(r Request) *Slot {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot, _ := l.take(l.service(r.Service), r)
	return slot
}

// service returns the limits of a service. The caller must hold mu.
func (l *Limiter) service(id ident.ServiceID) *serviceLimits {
	if l.services[id] == nil {
		l.services[id] = newServiceLimits()
	}
	return l.services[id]
}

// begin takes an engine for a request if no other one waits. If there is none since all are at their
// limit, or if others wait, the request begins to wait.
func (l *Limiter) begin(r Request) (*Slot, *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.service(r.Service)
	if len(s.waiters) == 0 {
		if slot, limited := l.take(s, r); slot != nil || !limited {
			return slot, nil
		}
	}
	w := &waiter{Request: r, service: s}
	s.insert(w)
	return nil, w
}

// leave removes a request from those that wait.
func (l *Limiter) leave(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(w.service.waiters, w); i >= 0 {
		w.service.waiters = slices.Delete(w.service.waiters, i, i+1)
	}
	w.service.notify()
}

// step is what a waiting request does next.
type step struct {
	done    bool
	slot    *Slot
	err     error
	wait    time.Duration
	changed <-chan struct{}
}

// step takes an engine if it is the request's turn and one may get it, and otherwise decides whether
// the request can still be run in time.
func (l *Limiter) step(w *waiter) step {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := w.service
	ahead := s.ahead(w)
	if ahead == 0 {
		if slot, limited := l.take(s, w.Request); slot != nil || !limited {
			s.turns++
			return step{done: true, slot: slot}
		}
	}
	now := l.now()
	next, spacing := s.waits(now)
	begin := now.Add(next + time.Duration(ahead)*spacing)
	if begin.Add(s.duration).After(w.Deadline) {
		err := fault.New(fault.NoEndpoint, "the engines of service %s are at their limit, and %d requests wait before this one", w.Service, ahead)
		return step{done: true, err: err.WithRetryAfter(begin.Add(rand.N(retrySpread)))}
	}
	return step{wait: next, changed: s.changed}
}

// take takes an engine for a request, if one may get it, and reports whether only its limit kept an
// engine from getting it. The caller must hold mu.
func (l *Limiter) take(s *serviceLimits, r Request) (slot *Slot, limited bool) {
	now := l.now()
	id, ok := r.Pick(func(id ident.EndpointID) bool {
		admitted := s.admits(id, now)
		limited = limited || !admitted
		return admitted
	})
	if !ok {
		return nil, limited
	}
	s.begin(id)
	return &Slot{Engine: id, limiter: l, service: s, began: now}, false
}

// End records the end of the request. It returns the limit of the engine if the engine had none before
// the request was refused, and otherwise 0. It must be called once.
func (s *Slot) End(o Outcome) (newLimit float64) {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if o == Answered {
		s.service.duration += time.Duration(durationWeight * float64(now.Sub(s.began)-s.service.duration))
	}
	e := s.service.engines[s.Engine]
	limitedBefore := e.limit > 0
	e.end(o, s.began, now, s.service.duration)
	s.service.forgetIdle(now)
	s.service.notify()
	if limitedBefore {
		return 0
	}
	return e.limit
}
