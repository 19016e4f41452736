package engine

import (
	"context"
	"sync"
)

// resourceQueue allocates slots and memory pieces, in order of priority and, within a
// priority, of arrival. Only the head of the queue is served: requests behind it wait
// even if enough is free for them.
type resourceQueue struct {
	mu         sync.Mutex
	slots      int
	pieces     int
	running    int
	usedPieces int
	waiting    []*allocation
}

// allocation is a slot and a number of pieces that are waited for or allocated.
type allocation struct {
	priority  int
	pieces    int
	granted   chan struct{}
	hasSlot   bool
	hasPieces bool
}

// newResourceQueue returns a queue with the given numbers of free slots and pieces.
func newResourceQueue(slots, pieces int) *resourceQueue {
	return &resourceQueue{slots: slots, pieces: pieces}
}

// acquire waits for a slot and pieces. If it returns an error, nothing is allocated.
func (q *resourceQueue) acquire(ctx context.Context, priority, pieces int) (*allocation, error) {
	a := &allocation{priority: priority, pieces: pieces, granted: make(chan struct{})}
	q.mu.Lock()
	q.insert(a)
	q.grant()
	q.mu.Unlock()
	select {
	case <-a.granted:
		return a, nil
	case <-ctx.Done():
		q.release(a)
		return nil, ctx.Err()
	}
}

// insert adds an allocation to the queue behind all of the same or a higher priority.
// The caller holds the lock.
func (q *resourceQueue) insert(a *allocation) {
	position := len(q.waiting)
	for position > 0 && q.waiting[position-1].priority < a.priority {
		position--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[position+1:], q.waiting[position:])
	q.waiting[position] = a
}

// grant allocates slots and pieces to the head of the queue as long as they suffice.
// The caller holds the lock.
func (q *resourceQueue) grant() {
	for len(q.waiting) > 0 {
		a := q.waiting[0]
		if q.running >= q.slots || q.usedPieces+a.pieces > q.pieces {
			return
		}
		q.waiting = q.waiting[1:]
		q.running++
		q.usedPieces += a.pieces
		a.hasPieces = true
		a.hasSlot = true
		close(a.granted)
	}
}

// releaseSlot frees the slot of a but not its pieces.
func (q *resourceQueue) releaseSlot(a *allocation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropSlot(a)
	q.grant()
}

// dropSlot frees the slot of a, if it has one. The caller holds the lock.
func (q *resourceQueue) dropSlot(a *allocation) {
	if a.hasSlot {
		a.hasSlot = false
		q.running--
	}
}

// release frees the slot and pieces of a, or removes a from the queue.
func (q *resourceQueue) release(a *allocation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropSlot(a)
	if a.hasPieces {
		a.hasPieces = false
		q.usedPieces -= a.pieces
	}
	for i, candidate := range q.waiting {
		if candidate == a {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	q.grant()
}

// usage returns the numbers of running and waiting requests and of used pieces.
func (q *resourceQueue) usage() (running, waiting, used int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting), q.usedPieces
}
