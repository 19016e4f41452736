package forward

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// pauseReservations has an engine answer reservations only at a given time, as an engine that
// pauses; it makes them when they arrive. Reservations have the id of their engine.
func (h *harness) pauseReservations(id ident.EndpointID, until time.Time) {
	h.router.Calls.Reserve = func(ctx context.Context, e engines.Entry, _ ident.Tokens, _, _ time.Time) (string, error) {
		if e.ID != id {
			return string(e.ID), nil
		}
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		select {
		case <-timer.C:
			return string(e.ID), nil
		case <-ctx.Done():
			return "", fault.From(context.Cause(ctx)).WithRan(fault.MayHaveRun)
		}
	}
}

// waitForRelease waits until a reservation is released, and reports whether it was.
func (h *harness) waitForRelease(id string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		h.mu.Lock()
		released := slices.Contains(h.released, id)
		h.mu.Unlock()
		if released {
			return true
		}
	}
	return false
}

// preferEngine makes an engine the first to be asked, by load at the other one.
func (h *harness) preferEngine(id ident.EndpointID) {
	for _, e := range h.table.All() {
		if e.Service == "model" && e.ID != id {
			e.BeginRequest(1000)
		}
	}
}

// TestLateReservationIsReleased has a decode engine pause while it is asked for a
// reservation. The reservation is used by nobody, and must not occupy the engine's memory
// until it expires; also if the caller has left meanwhile.
func TestLateReservationIsReleased(t *testing.T) {
	t.Parallel()
	for name, callerLeaves := range map[string]bool{"another engine is used": false, "caller leaves": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.preferEngine("d1")
			h.pauseReservations("d1", time.Now().Add(2*time.Second))
			h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, "id: 1\ndata: a\n\n") }
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			if callerLeaves {
				time.AfterFunc(reserveCallTimeout/2, func() { cancel(fault.New(fault.CallerGone, "gone")) })
			}
			got := h.serveContext(ctx, "stream")
			if !callerLeaves && (got.err != nil || h.sent[0].Engine.ID != "d2") {
				t.Errorf("%v, calls %v; want an answer of d2", got.err, h.sent)
			}
			if !h.waitForRelease("d1", 3*time.Second) {
				t.Error("the reservation was not released")
			}
		})
	}
}

// serveStreamsUntil serves streams one after another until an engine has been called after
// the end of its silence, or the limit has passed since then. It returns the time that it took.
func (h *harness) serveStreamsUntil(called func() bool, silenceEnds time.Time, limit time.Duration) time.Duration {
	for time.Since(silenceEnds) < limit {
		if got := h.serve("stream"); got.err != nil {
			h.t.Error(got.err)
		}
		if time.Now().After(silenceEnds) && called() {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(silenceEnds)
}

// TestDecodeEngineIsUsedAfterItsSilence has a decode engine pause for a second and continue. It
// must not be left out for longer than it was silent.
func TestDecodeEngineIsUsedAfterItsSilence(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.preferEngine("d1")
	const silent = time.Second
	silenceEnds := time.Now().Add(silent)
	h.pauseReservations("d1", silenceEnds)
	h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, "id: 1\ndata: a\n\n") }
	calledAgain := func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.sent[len(h.sent)-1].Engine.ID == "d1"
	}
	if took := h.serveStreamsUntil(calledAgain, silenceEnds, 5*time.Second); took > silent {
		t.Errorf("left out for %v after a silence of %v", took, silent)
	}
}

// TestPrefillEngineIsUsedAfterItsSilence has a prefill engine pause and continue, for a time after
// which its calls have timed out or not. It must not be left out for longer than it was silent.
func TestPrefillEngineIsUsedAfterItsSilence(t *testing.T) {
	t.Parallel()
	for _, silent := range []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(silent.String(), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			silenceEnds := time.Now().Add(silent)
			var calledAgain atomic.Bool
			h.router.Calls.Prefill = func(ctx context.Context, c Call) (string, error) {
				if c.Engine.ID != "f1" || time.Now().After(silenceEnds) {
					calledAgain.Store(calledAgain.Load() || c.Engine.ID == "f1")
					return "handle", nil
				}
				timer := time.NewTimer(time.Until(silenceEnds))
				defer timer.Stop()
				select {
				case <-timer.C:
					return "handle", nil
				case <-ctx.Done():
					return "", fault.From(context.Cause(ctx)).WithRan(fault.MayHaveRun)
				}
			}
			h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, "id: 1\ndata: a\n\n") }
			if took := h.serveStreamsUntil(calledAgain.Load, silenceEnds, 5*time.Second); took > silent+200*time.Millisecond {
				t.Errorf("left out for %v after a silence of %v", took, silent)
			}
		})
	}
}

// TestDeadPrefillEngineIsTriedSeldom has a prefill engine never answer. After its first calls
// have timed out it must get single calls with growing pauses, as each delays a request.
func TestDeadPrefillEngineIsTriedSeldom(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	began := time.Now()
	firstTimeout := began.Add(prefillTimeoutSlack + 100*time.Millisecond)
	var trials atomic.Int64
	h.router.Calls.Prefill = func(ctx context.Context, c Call) (string, error) {
		if c.Engine.ID != "f1" {
			return "handle", nil
		}
		if time.Now().After(firstTimeout) {
			trials.Add(1)
		}
		<-ctx.Done()
		return "", fault.From(context.Cause(ctx)).WithRan(fault.MayHaveRun)
	}
	h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, "id: 1\ndata: a\n\n") }
	var callers sync.WaitGroup
	for time.Since(began) < 4*time.Second {
		callers.Go(func() { h.serve("stream") })
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	// Silent for 0.5 s at the first timeout, then tried after 1 s, 3 s and 7 s at the earliest.
	if n := trials.Load(); n < 1 || n > 2 {
		t.Errorf("%d calls after the first timeout, want 1 or 2", n)
	}
}

// TestSilentPlainEngineGetsFewCalls has an engine of a plain service fall silent, for a while
// or for good. Requests that may run only once are lost there, so that it must get single
// calls with growing pauses; and it must be called again after its silence.
func TestSilentPlainEngineGetsFewCalls(t *testing.T) {
	t.Parallel()
	for _, silent := range []time.Duration{1500 * time.Millisecond, time.Minute} {
		t.Run(silent.String(), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			began := time.Now()
			silenceEnds := began.Add(silent)
			var during, after atomic.Int64
			h.send = func(_ int, c Call, sink Sink) error {
				if c.Engine.ID == "p1" && time.Now().Before(silenceEnds) {
					during.Add(1)
					time.Sleep(time.Until(silenceEnds))
				} else if c.Engine.ID == "p1" {
					after.Add(1)
				}
				return sendAnswer(sink, 200, "ok")
			}
			var callers sync.WaitGroup
			for time.Since(began) < min(2*silent+500*time.Millisecond, 5*time.Second) {
				callers.Go(func() { h.serve("once") })
				time.Sleep(20 * time.Millisecond)
			}
			callers.Wait()
			// Each call ends after a second; the pauses after the calls last 1, 3 and 4 s.
			if n := during.Load(); n > 3 {
				t.Errorf("%d calls during the silence, want at most 3", n)
			}
			if silent < time.Minute && after.Load() == 0 {
				t.Error("not called after the silence")
			}
		})
	}
}

// TestSilentDecodeEngineGetsFewCalls guards against requests that all ask a silent engine for
// reservations again and again while the other engines are full: each call stays open.
func TestSilentDecodeEngineGetsFewCalls(t *testing.T) {
	t.Parallel()
	const concurrent, length = 10, 1500 * time.Millisecond
	h := newHarness(t)
	h.router.Admit = func(*catalog.Organisation, ident.Tokens, int) Admission { // The harness counts for one caller only.
		return Admission{Granted: true, Refund: func() {}}
	}
	var calls atomic.Int64
	h.router.Calls.Reserve = func(ctx context.Context, e engines.Entry, _ ident.Tokens, _, _ time.Time) (string, error) {
		if e.ID != "d1" {
			return "", fault.New(fault.EndpointRefused, "full")
		}
		calls.Add(1)
		<-ctx.Done()
		return "", fault.From(ctx.Err()).WithRan(fault.MayHaveRun)
	}
	var callers sync.WaitGroup
	for began := time.Now(); time.Since(began) < length; {
		for range concurrent {
			callers.Go(func() { _ = h.serve("stream") })
		}
		callers.Wait()
	}
	if n := calls.Load(); n > concurrent {
		t.Errorf("%d calls, want at most the %d that began before the silence was noticed", n, concurrent)
	}
}
