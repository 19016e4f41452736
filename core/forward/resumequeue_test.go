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

// TestBrokenStreamIsNotLate guards against an answer that is aborted although an engine has
// free memory: its caller still waits, but the time objective for its first event has passed,
// and requests that have missed theirs do not ask while others are refused.
func TestBrokenStreamIsNotLate(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	others := h.router.reserveQueues.enqueue("model", &waiter{cost: 1e12, reserveBy: time.Now().Add(time.Minute)})
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(lateRefusalPause / 10):
				others.recordRefusal(time.Now())
			}
		}
	}()
	h.send = func(n int, c Call, sink Sink) error {
		if n > 1 {
			return sendStream(c, sink, 0, 0)
		}
		_ = sendAnswer(sink, 200, eventText(1))
		time.Sleep(400 * time.Millisecond) // Longer than the objective of the route.
		return errBroken
	}
	checkComplete(t, h.serve("resume"))
}
