package engine

import (
	"context"
	"sync"
)

// queue hands out slots and pieces of memory, high priority first and in order
// of arrival within a priority. The head of the queue waits until there is room
// for it; nothing overtakes it.
type queue struct {
	mu      sync.Mutex
	slots   int
	pieces  int
	running int
	used    int
	waiting []*ticket
}

// ticket is one wait for a slot and pieces.
type ticket struct {
	priority int
	pieces   int
	granted  chan struct{}
	slotHeld bool
	holding  bool
}

// newQueue returns a queue for the given numbers of slots and pieces.
func newQueue(slots, pieces int) *queue {
	return &queue{slots: slots, pieces: pieces}
}

// acquire waits for a slot and pieces. On an error nothing is held.
func (q *queue) acquire(ctx context.Context, priority, pieces int) (*ticket, error) {
	t := &ticket{priority: priority, pieces: pieces, granted: make(chan struct{})}
	q.mu.Lock()
	q.insert(t)
	q.grant()
	q.mu.Unlock()
	select {
	case <-t.granted:
		return t, nil
	case <-ctx.Done():
		q.release(t)
		return nil, ctx.Err()
	}
}

// insert puts a ticket behind all of the same or a higher priority.
func (q *queue) insert(t *ticket) {
	at := len(q.waiting)
	for at > 0 && q.waiting[at-1].priority < t.priority {
		at--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = t
}

// grant gives slots and pieces to the head of the queue while there is room.
func (q *queue) grant() {
	for len(q.waiting) > 0 {
		t := q.waiting[0]
		if q.running >= q.slots || q.used+t.pieces > q.pieces {
			return
		}
		q.waiting = q.waiting[1:]
		q.running++
		q.used += t.pieces
		t.holding = true
		t.slotHeld = true
		close(t.granted)
	}
}

// releaseSlot gives back the slot of t, but keeps its pieces.
func (q *queue) releaseSlot(t *ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropSlot(t)
	q.grant()
}

// dropSlot gives back the slot of t. The caller holds the lock.
func (q *queue) dropSlot(t *ticket) {
	if t.slotHeld {
		t.slotHeld = false
		q.running--
	}
}

// release gives back all that t holds, or ends its wait.
func (q *queue) release(t *ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropSlot(t)
	if t.holding {
		t.holding = false
		q.used -= t.pieces
	}
	for i, candidate := range q.waiting {
		if candidate == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	q.grant()
}

// state returns the numbers of running and waiting requests and of used pieces.
func (q *queue) state() (running, waiting, used int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting), q.used
}
