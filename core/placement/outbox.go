package placement

import (
	"context"
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// Settings of the outbox.
const (
	outboxDelay   = 3 * time.Millisecond // Events of this time go in one call.
	outboxRetry   = 100 * time.Millisecond
	outboxTimeout = time.Second
	outboxBatch   = 1000
	outboxLimit   = 50_000
)

// shardKey names a dispatcher.
type shardKey struct {
	domain ident.DomainID
	model  ident.ModelID
}

// owner returns the key by which the dispatcher's instance is chosen.
func (k shardKey) owner() string { return "Placement/" + string(k.model) }

// outbox sends the events of one dispatcher's leases in order, and repeats
// them until they are acknowledged.
type outbox struct {
	key  shardKey
	send func(ctx context.Context, key shardKey, events []*Event) error

	mu     sync.Mutex
	events []*Event
	wake   chan struct{}
}

// newOutbox returns an empty outbox.
func newOutbox(key shardKey, send func(context.Context, shardKey, []*Event) error) *outbox {
	return &outbox{key: key, send: send, wake: make(chan struct{}, 1)}
}

// put queues an event. When the outbox is full the oldest event goes: its
// lease is then found by the dispatcher's sweep.
func (o *outbox) put(e *Event) {
	o.mu.Lock()
	if len(o.events) >= outboxLimit {
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

// run sends until ctx ends.
func (o *outbox) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		}
		if !pause(ctx, outboxDelay) {
			return
		}
		for o.pending() > 0 {
			if o.flush(ctx) != nil && !pause(ctx, outboxRetry) {
				return
			}
		}
	}
}

// flush sends one batch. Unacknowledged events stay.
func (o *outbox) flush(ctx context.Context) error {
	o.mu.Lock()
	batch := append([]*Event(nil), o.events[:min(len(o.events), outboxBatch)]...)
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

// dropSent removes the events of batch from the front of events.
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

// pause waits for d. It returns false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
