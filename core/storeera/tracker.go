package storeera

import (
	"context"
	"sync"

	"monsoonfork/core/fault"
)

// Tracker holds the newest era of the store that this instance knows. The zero value knows none.
// It is safe for concurrent use. Its function fields are set before the first call.
type Tracker struct {
	// OnRise is called when a later era replaces a known one, before Observe returns for any
	// answer of the later era. It must not call the Tracker. May be nil.
	OnRise func(previous, era int64)
	// OnDecrease is called for the first of successive observations of an earlier era. It must
	// not call the Tracker. May be nil.
	OnDecrease func(known, era int64)

	mu        sync.Mutex
	known     bool
	current   int64
	decreased bool          // The last observation was of an earlier era.
	ended     chan struct{} // Closed when current ends; nil until it is asked for.
}

// closed is a channel that is closed.
var closed = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Observe records the era of an answer. It returns an error of kind StoreUnavailable if the era is
// earlier than the known one; the answer must not be used then.
func (t *Tracker) Observe(era int64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && era < t.current {
		if !t.decreased && t.OnDecrease != nil {
			t.OnDecrease(t.current, era)
		}
		t.decreased = true
		return fault.New(fault.StoreUnavailable, "the answer is of era %d of the store, earlier than %d", era, t.current)
	}
	t.decreased = false
	t.advance(era)
	return nil
}

// maxErasAhead bounds how far the era of another instance's copy may be ahead of the known one. Eras
// rise one by one, so a larger difference is a corrupt message, after which all answers of the store
// would be taken for late ones.
const maxErasAhead = 64

// ObserveCopy records the era of an ordered revision that another instance's copy of the store's
// contents has. It returns false if the copy is of an earlier era than the known one, or too far
// ahead of it; it must not be used then.
func (t *Tracker) ObserveCopy(ordered int64) bool {
	era, _ := Split(ordered)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && era-t.current > maxErasAhead {
		return false
	}
	if era > t.current {
		t.advance(era)
	}
	return era == t.current
}

// advance records an era that is not earlier than the current one. The caller must hold mu.
func (t *Tracker) advance(era int64) {
	if t.known && era > t.current && t.OnRise != nil {
		t.OnRise(t.current, era)
	}
	if era > t.current && t.ended != nil {
		close(t.ended)
		t.ended = nil
	}
	t.known, t.current = true, era
}

// Current returns the newest known era, 0 if none is known.
func (t *Tracker) Current() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Ended returns a channel that is closed once a later era than the given one is known.
func (t *Tracker) Ended(era int64) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current > era {
		return closed
	}
	if t.ended == nil {
		t.ended = make(chan struct{})
	}
	return t.ended
}

// While returns a context that also ends once a later era than the given one is known.
func (t *Tracker) While(ctx context.Context, era int64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	ended := t.Ended(era)
	go func() {
		select {
		case <-ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
