package forward

import (
	"context"
	"slices"
	"testing"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
)

// servePanicking sends a request whose handling panics, which must be its outcome.
func (h *harness) servePanicking(name string) {
	h.t.Helper()
	if got := h.serve(name); !fault.Is(got.err, fault.Internal) {
		h.t.Errorf("%v, want an internal error", got.err)
	}
	h.checkContained(1)
}

// checkNothingHeld checks that the router holds no part of the retry budget, that no engine
// has a load, and that the given reservations were released.
func (h *harness) checkNothingHeld(granted []string) {
	h.t.Helper()
	if held := h.router.retryBudget.window("model").heldCalls; held != 0 {
		h.t.Errorf("%d extra calls are held, want none", held)
	}
	for _, e := range h.table.All() {
		if load := e.Load(); load != (engines.Load{}) {
			h.t.Errorf("engine %s has the load %+v, want none", e.ID, load)
		}
	}
	for _, id := range granted {
		if !h.waitForRelease(id, 3*time.Second) {
			h.t.Errorf("reservation %s was not released", id)
		}
	}
}

// grantAll makes every engine grant reservations whose id is that of the engine, and returns
// a function that returns the engines that have granted one.
func (h *harness) grantAll() func() []string {
	var granted []string
	h.reserve = func(e engines.Entry) (string, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		granted = append(granted, string(e.ID))
		return string(e.ID), nil
	}
	return func() []string {
		h.mu.Lock()
		defer h.mu.Unlock()
		return slices.Clone(granted)
	}
}

// TestPanicReleasesReplacement guards against the loss of a part of the retry budget and of a
// reservation by a panic in a call whose stream stalls.
func TestPanicReleasesReplacement(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	granted := h.grantAll()
	h.router.Calls.Send = func(ctx context.Context, _ Call, _ Sink) error {
		<-ctx.Done() // The stall monitor cancels the call for a replacement.
		panic("odd answer")
	}
	h.servePanicking("resume")
	if got := granted(); len(got) != 2 {
		t.Errorf("reservations at %v, want two", got)
	}
	h.checkNothingHeld(granted())
}

// TestPanicEndsStallMonitor guards against a stall monitor that continues, and reserves memory,
// after a panic in the call that it monitors.
func TestPanicEndsStallMonitor(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	granted := h.grantAll()
	inReserve := make(chan struct{})
	leaveReserve := make(chan struct{})
	grant := h.reserve
	h.reserve = func(e engines.Entry) (string, error) {
		if len(granted()) == 1 {
			close(inReserve)
			<-leaveReserve
		}
		return grant(e)
	}
	h.router.Calls.Send = func(context.Context, Call, Sink) error {
		<-inReserve
		defer close(leaveReserve)
		panic("odd answer")
	}
	h.servePanicking("resume")
	for deadline := time.Now().Add(5 * time.Second); len(granted()) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the call for the replacement has not ended")
		}
	}
	h.checkNothingHeld(granted())
}

// TestPanicInPrefillReleasesReservation guards against a reservation that is kept after a
// panic in the prefill.
func TestPanicInPrefillReleasesReservation(t *testing.T) {
	h := newHarness(t)
	granted := h.grantAll()
	h.prefill = func(int, Call) (string, error) { panic("odd answer") }
	h.servePanicking("resume")
	h.checkNothingHeld(granted())
}

// TestPanicInReserveEndsLoad guards against an engine that stays loaded in the statistics
// after a panic in the call for a reservation.
func TestPanicInReserveEndsLoad(t *testing.T) {
	h := newHarness(t)
	h.reserve = func(engines.Entry) (string, error) { panic("odd answer") }
	h.servePanicking("resume")
	h.checkNothingHeld(nil)
}
