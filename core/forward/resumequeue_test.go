package forward

import (
	"sync/atomic"
	"testing"
	"time"

	"monsoonfork/core/engines"
)

// TestStalledStreamAsksInTurn guards against a silent engine whose streams all ask the other
// engines for reservations past the requests that wait and are served before them.
func TestStalledStreamAsksInTurn(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	var waiting atomic.Bool
	h.reserve = func(engines.Entry) (string, error) {
		if waiting.Load() {
			t.Error("the stalled stream asked before its turn")
		}
		return "reservation", nil
	}
	h.send = func(n int, c Call, sink Sink) error {
		if n > 1 {
			return sendStream(c, sink, 0, 0)
		}
		waiting.Store(true)
		remove := h.addWaiters(concurrentReservers)
		time.AfterFunc(minStallTimeout+2*replacementInterval, func() { waiting.Store(false); remove() })
		return sendStream(c, sink, silentAfter, time.Minute)
	}
	checkComplete(t, h.serve("resume"))
	if len(h.sent) != 2 {
		t.Errorf("%d calls, want 2", len(h.sent))
	}
}

// addWaiters adds requests to the queue that are on time and cheaper than all others. It
// returns a function that removes them.
func (h *harness) addWaiters(n int) (remove func()) {
	var waiters []*waiter
	for range n {
		w := &waiter{reserveBy: time.Now().Add(time.Minute)}
		h.router.reserveQueues.enqueue("model", w)
		waiters = append(waiters, w)
	}
	return func() {
		for _, w := range waiters {
			h.router.reserveQueues.enqueue("model", w).remove(w)
		}
	}
}
