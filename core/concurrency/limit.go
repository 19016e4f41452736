package concurrency

import (
	"slices"
	"time"

	"monsoonfork/core/ident"
)

const (
	// decreaseFactor is applied to the limit of an engine that has refused a request.
	decreaseFactor = 0.5
	// increaseStep is added to the limit with each answered request.
	increaseStep = 0.05
	// minLimit is the lowest limit: an instance among many sends a request to an engine only now and
	// then, but must notice that the engine has room again.
	minLimit = 1.0 / 16
	// forgetTime is how long after its last refusal an engine has a limit.
	forgetTime = 10 * time.Second
	// maxRest bounds the time without a request after each one under a limit below 1.
	maxRest = 250 * time.Millisecond
	// initialDuration is taken for the duration of a request until one was answered.
	initialDuration = 25 * time.Millisecond
	// leastUrgentInterval is how often the turn is that of the least urgent waiting requests.
	leastUrgentInterval = 8
	// durationWeight is the weight of the newest duration in the average.
	durationWeight = 0.1
)

// engineLimit is what this instance knows of one engine.
type engineLimit struct {
	open      int
	limit     float64 // How many requests may be open on average; 0 if no limit was learned.
	reducedAt time.Time
	refusedAt time.Time // Last refusal.
	restUntil time.Time // No request until then.
}

// expire drops the limit if the engine has not refused a request for forgetTime.
func (e *engineLimit) expire(now time.Time) {
	if e.limit > 0 && now.Sub(e.refusedAt) > forgetTime {
		e.limit, e.restUntil = 0, time.Time{}
	}
}

// slots returns how many requests may be open at the same time.
func (e *engineLimit) slots() int { return max(1, int(e.limit)) }

// admits reports whether the engine may get a request now.
func (e *engineLimit) admits(now time.Time) bool {
	return e.limit == 0 || !now.Before(e.restUntil) && e.open < e.slots()
}

// wait estimates the time until the engine may get a request, if a request takes the given time.
func (e *engineLimit) wait(now time.Time, duration time.Duration) time.Duration {
	switch {
	case now.Before(e.restUntil):
		return e.restUntil.Sub(now)
	case e.open >= e.slots():
		return duration
	}
	return 0
}

// reduce records that the engine has refused a request which began at a time. Requests that began
// before the last reduction tell nothing about the present limit.
func (e *engineLimit) reduce(began, now time.Time) {
	e.refusedAt = now
	if e.limit > 0 && began.Before(e.reducedAt) {
		return
	}
	used := float64(e.open)
	if e.limit > 0 {
		used = min(used, e.limit)
	}
	e.limit, e.reducedAt = max(minLimit, decreaseFactor*used), now
}

// end records the end of a request. Under a limit below 1 the engine then gets no request for so long
// that the limit holds on average.
func (e *engineLimit) end(o Outcome, began, now time.Time, duration time.Duration) {
	if o == Full {
		e.reduce(began, now)
	}
	e.open--
	if o == Answered && e.limit > 0 {
		e.limit += increaseStep
	}
	if e.limit > 0 && e.limit < 1 {
		e.restUntil = now.Add(min(maxRest, time.Duration(float64(duration)*(1/e.limit-1))))
	}
}

// serviceLimits is what this instance knows of the engines of one service.
type serviceLimits struct {
	engines  map[ident.EndpointID]*engineLimit // Those with a limit or an open request.
	duration time.Duration                     // Average duration of answered requests.
	waiters  []*waiter                         // The most urgent first, and of equal ones the oldest.
	turns    int                               // Requests that have waited and then got an engine.
	changed  chan struct{}                     // Closed when a waiter may have something to do.
}

// newServiceLimits returns the limits of a service without refusals.
func newServiceLimits() *serviceLimits {
	return &serviceLimits{engines: make(map[ident.EndpointID]*engineLimit), duration: initialDuration, changed: make(chan struct{})}
}

// notify wakes the waiters.
func (s *serviceLimits) notify() {
	if len(s.waiters) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// insert adds a waiter behind those that are at least as urgent.
func (s *serviceLimits) insert(w *waiter) {
	at := 0
	for at < len(s.waiters) && s.waiters[at].Priority <= w.Priority {
		at++
	}
	s.waiters = slices.Insert(s.waiters, at, w)
	s.notify() // Those behind it wait longer now.
}

// ahead estimates how many requests get an engine before a waiter: those that are more urgent, or as
// urgent and older. Each leastUrgentInterval-th turn is that of the least urgent, so that they don't
// starve.
func (s *serviceLimits) ahead(w *waiter) int {
	at := slices.Index(s.waiters, w)
	least := s.waiters[len(s.waiters)-1].Priority
	toLeast := leastUrgentInterval - 1 - s.turns%leastUrgentInterval
	if w.Priority != least {
		if toLeast == 0 {
			return at + 1
		}
		return at
	}
	first := slices.IndexFunc(s.waiters, func(other *waiter) bool { return other.Priority == least })
	return min(at, (at-first)*leastUrgentInterval+toLeast)
}

// admits reports whether an engine may get a request now.
func (s *serviceLimits) admits(id ident.EndpointID, now time.Time) bool {
	e := s.engines[id]
	if e == nil {
		return true
	}
	e.expire(now)
	return e.admits(now)
}

// begin records that an engine gets a request.
func (s *serviceLimits) begin(id ident.EndpointID) {
	if s.engines[id] == nil {
		s.engines[id] = &engineLimit{}
	}
	s.engines[id].open++
}

// waits estimates the time until the next request may begin, and the time between two of them, by the
// engines that have a limit.
func (s *serviceLimits) waits(now time.Time) (next, spacing time.Duration) {
	next = maxRest
	total := 0.0
	for _, e := range s.engines {
		if e.limit > 0 {
			total += e.limit
			next = min(next, e.wait(now, s.duration))
		}
	}
	if total == 0 {
		return 0, 0
	}
	return next, time.Duration(float64(s.duration) / total)
}

// forgetIdle drops the engines without a limit and without an open request.
func (s *serviceLimits) forgetIdle(now time.Time) {
	for id, e := range s.engines {
		if e.expire(now); e.limit == 0 && e.open == 0 {
			delete(s.engines, id)
		}
	}
}
