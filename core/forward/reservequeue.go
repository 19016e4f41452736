package forward

import (
	"sync"
	"time"

	"monsoonfork/core/admission"
	"monsoonfork/core/ident"
)

const (
	// concurrentReservers is how many requests of a service may ask for reservations at the
	// same time.
	concurrentReservers = 3
	// lateRefusalPause is how long no request of the service may have been refused before a
	// late request, which can't meet its time objective any more, may ask.
	lateRefusalPause = 300 * time.Millisecond
)

// reserveQueues holds the requests that wait for a reservation, by service.
type reserveQueues struct {
	mu     sync.Mutex
	queues map[ident.ServiceID]*reserveQueue
}

// reserveQueue holds the requests of one service that wait for a reservation. More urgent
// requests come first, then those that can still meet their time objective, and among equal
// ones the cheaper ones.
type reserveQueue struct {
	mu          sync.Mutex
	waiters     map[*waiter]struct{}
	lastRefusal time.Time
	history     admission.History
}

// waiter is a request in a queue.
type waiter struct {
	cost      float64   // Reserved memory times reserved output length, a measure of memory and time.
	reserveBy time.Time // The request is late from this time on.
	class     admission.Class
	lostPlace bool // The request has lost its place, and counts as being as urgent as any other.
	large     bool // The request is large for its class.
	open      bool // Waiting more urgent requests do not hold back the current attempt.
}

// isMoreUrgent reports whether a request is more urgent than another one.
func (w *waiter) isMoreUrgent(other *waiter) bool {
	return !w.lostPlace && !other.lostPlace && w.class < other.class
}

// enqueue adds a request to the queue of its service and returns the queue.
func (r *reserveQueues) enqueue(s ident.ServiceID, w *waiter) *reserveQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queues == nil {
		r.queues = make(map[ident.ServiceID]*reserveQueue)
	}
	queue := r.queues[s]
	if queue == nil {
		queue = &reserveQueue{waiters: make(map[*waiter]struct{})}
		r.queues[s] = queue
	}
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.waiters[w] = struct{}{}
	return queue
}

// remove removes a request.
func (q *reserveQueue) remove(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiters, w)
}

// recordRefusal records that a request was refused by the engines.
func (q *reserveQueue) recordRefusal(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastRefusal = now
}

// recordArrival records that a request has arrived.
func (q *reserveQueue) recordArrival(w *waiter, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.large = q.history.RecordArrival(w.class, w.cost, now)
}

// recordOutcome records whether a request has got a reservation.
func (q *reserveQueue) recordOutcome(w *waiter, served bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.history.RecordOutcome(w.class, w.large, served, now)
}

// present returns the classes of the requests that have arrived lately.
func (q *reserveQueue) present(now time.Time) admission.ClassSet {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.history.Present(now)
}

// isStarved reports whether requests of the class of a request are served much less often than
// all, or whether that holds for the large ones of its class, and it is one of them.
func (q *reserveQueue) isStarved(w *waiter, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !w.lostPlace && (q.history.IsStarved(w.class, now) || q.isLargeStarved(w, now))
}

// isLargeStarved reports whether a request is one of the large ones of its class, and these are
// served much less often than the class. If all requests have one class, large ones are not
// preferred. The caller holds mu.
func (q *reserveQueue) isLargeStarved(w *waiter, now time.Time) bool {
	return w.large && q.history.Present(now).HasOtherThan(w.class) && q.history.AreLargeStarved(w.class, now)
}

// mayReserve reports whether a request may ask the engines for a reservation now. Late requests
// wait while others are refused, unless less urgent ones would get the memory meanwhile.
func (q *reserveQueue) mayReserve(w *waiter, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	present := q.history.Present(now)
	late := !now.Before(w.reserveBy)
	if late && now.Sub(q.lastRefusal) < lateRefusalPause && present.LessUrgentThan(w.class) == 0 {
		return false
	}
	ignoreCost := q.isLargeStarved(w, now)
	ahead := 0
	for other := range q.waiters {
		if other != w && other.isAheadOf(w, ignoreCost, now) {
			ahead++
		}
	}
	return ahead < concurrentReservers
}

// isAheadOf reports whether a request comes before another one. With ignoreCost, a lower cost
// does not put it first.
func (w *waiter) isAheadOf(other *waiter, ignoreCost bool, now time.Time) bool {
	if other.isMoreUrgent(w) {
		return false
	}
	if w.isMoreUrgent(other) {
		return !other.open
	}
	late, otherLate := !now.Before(w.reserveBy), !now.Before(other.reserveBy)
	if late != otherLate {
		return otherLate
	}
	return !ignoreCost && w.cost < other.cost
}
