package placement

import (
	"context"
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// Parameters of the outbox.
const (
	outboxBatchDelay    = 3 * time.Millisecond // Events of this period are sent in one call.
	outboxRetryInterval = 100 * time.Millisecond
	outboxTimeout       = time.Second
	outboxBatchSize     = 1000
	outboxCapacity      = 50_000
)

// dispatcherKey identifies a dispatcher.
type dispatcherKey struct {
	domain ident.DomainID
	model  ident.ModelID
}

// ownerKey returns the key for which the instance that runs the dispatcher is
// chosen by rendezvous hashing.
func (k dispatcherKey) ownerKey() string { return "Placement/" + string(k.model) }

// outbox sends events to one dispatcher in order, and repeats them until they are
// acknowledged.
type outbox struct {
	key  dispatcherKey
	send func(ctx context.Context, key dispatcherKey, events []*Event) error

	mu     sync.Mutex
	events []*Event
	wake   chan struct{}
}

// newOutbox returns an empty outbox.
func newOutbox(key dispatcherKey, send func(context.Context, dispatcherKey, []*Event) error) *outbox {
	return &outbox{key: key, send: send, wake: make(chan struct{}, 1)}
}

// enqueue queues an event. If the outbox is full, the oldest event is dropped; the
// dispatcher later finds its lease as a stale one.
func (o *outbox) enqueue(e *Event) {
	o.mu.Lock()
	if len(o.events) >= outboxCapacity {
		o.events = o.events[1:]
	}
	o.events = append(o.events, e)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// pending returns the number of events that are not acknowledged.
func (o *outbox) pending() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.events)
}

// run sends queued events until ctx ends.
func (o *outbox) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		}
		if !sleep(ctx, outboxBatchDelay) {
			return
		}
		for o.pending() > 0 {
			if o.flush(ctx) != nil && !sleep(ctx, outboxRetryInterval) {
				return
			}
		}
	}
}

// flush sends one batch. Events stay queued until they are acknowledged.
func (o *outbox) flush(ctx context.Context) error {
	o.mu.Lock()
	batch := append([]*Event(nil), o.events[:min(len(o.events), outboxBatchSize)]...)
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, outboxTimeout)
	defer cancel()
	if err := o.send(ctx, o.key, batch); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events = dropSent(o.events, batch)
	return nil
}

// dropSent removes the events of batch from the front of events. Some of them may
// have been dropped already because the outbox was full.
func dropSent(events, batch []*Event) []*Event {
	sent := make(map[*Event]bool, len(batch))
	for _, e := range batch {
		sent[e] = true
	}
	for len(events) > 0 && sent[events[0]] {
		events = events[1:]
	}
	return events
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
