package forward

import (
	"sync"
	"time"

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

// reserveQueue holds the requests of one service that wait for a reservation. Requests
// that can still meet their time objective come before late ones, and among either the
// cheaper ones come first.
type reserveQueue struct {
	mu          sync.Mutex
	waiters     map[*waiter]struct{}
	lastRefusal time.Time
}

// waiter is a request in a queue.
type waiter struct {
	cost      float64   // Reserved memory times reserved output length, a measure of memory and time.
	reserveBy time.Time // The request is late from this time on.
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

// mayReserve reports whether a request may ask the engines for a reservation now.
func (q *reserveQueue) mayReserve(w *waiter, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	late := !now.Before(w.reserveBy)
	if late && now.Sub(q.lastRefusal) < lateRefusalPause {
		return false
	}
	ahead := 0
	for other := range q.waiters {
		otherLate := !now.Before(other.reserveBy)
		if other != w && (otherLate == late && other.cost < w.cost || late && !otherLate) {
			ahead++
		}
	}
	return ahead < concurrentReservers
}
