package forward

import (
	"context"
	"sync/atomic"
	"testing"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
)

// checkContained checks how many panics were counted.
func (h *harness) checkContained(want int64) {
	h.t.Helper()
	if n := h.router.counters.containedPanics.Count(); n != want {
		h.t.Errorf("%d panics counted, want %d", n, want)
	}
}

// TestPanicInPlainCallEndsOnlyTheCall guards against a process that ends, with all requests in
// progress, because of an odd answer to a call. The request is repeated if it may be, and
// otherwise its caller learns that it may have run.
func TestPanicInPlainCallEndsOnlyTheCall(t *testing.T) {
	for route, wantCalls := range map[string]int64{"safe": 2, "once": 1} {
		h := newHarness(t)
		var calls atomic.Int64
		h.router.Calls.Send = func(_ context.Context, _ Call, sink Sink) error {
			if calls.Add(1) == 1 {
				panic("odd answer")
			}
			return sendAnswer(sink, 200, "A")
		}
		got := h.serve(route)
		if calls.Load() != wantCalls {
			t.Errorf("%s: %d calls, want %d", route, calls.Load(), wantCalls)
		}
		if route == "safe" && (got.err != nil || got.body.String() != "A") {
			t.Errorf("safe: %v, %q; want the answer of the other engine", got.err, got.body.String())
		}
		if route == "once" && (!fault.Is(got.err, fault.Internal) || fault.From(got.err).Ran != fault.MayHaveRun) {
			t.Errorf("once: %v, want an internal error that says that the request may have run", got.err)
		}
		h.checkContained(1)
	}
}

// TestPanicInForwardedAnswerAbortsIt guards against an answer that looks complete, or is
// followed by another, after a panic in the call that forwards it.
func TestPanicInForwardedAnswerAbortsIt(t *testing.T) {
	h := newHarness(t)
	h.router.Calls.Send = func(_ context.Context, _ Call, sink Sink) error {
		_ = sendAnswer(sink, 200, string(make([]byte, maxBufferedAnswer+1)))
		panic("odd answer")
	}
	if got := h.serve("safe"); !got.aborted || got.body.Len() != maxBufferedAnswer+1 {
		t.Errorf("aborted %v, %d bytes; want an aborted answer of %d bytes", got.aborted, got.body.Len(), maxBufferedAnswer+1)
	}
	h.checkContained(1)
}

// TestPanicInStallMonitorKeepsStream guards against a process that ends because of an odd
// answer to a call for the reservation of a replacement. The stalled stream must continue.
func TestPanicInStallMonitorKeepsStream(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	var reservations atomic.Int64
	h.reserve = func(engines.Entry) (string, error) {
		if reservations.Add(1) > 1 {
			panic("odd answer")
		}
		return "reservation", nil
	}
	h.send = func(_ int, c Call, sink Sink) error { return sendStream(c, sink, silentAfter, silence) }
	checkComplete(t, h.serve("resume"))
	h.checkNothingHeld(nil)
	h.checkContained(1)
}

// TestPanicInHandlerIsItsOutcome guards against a request that is missing in the log and in
// the counters, since its handler has panicked.
func TestPanicInHandlerIsItsOutcome(t *testing.T) {
	h := newHarness(t)
	h.reserve = func(engines.Entry) (string, error) { panic("odd answer") }
	got := h.serve("resume")
	if !fault.Is(got.err, fault.Internal) || fault.From(got.err).Ran != fault.MayHaveRun {
		t.Errorf("%v, want an internal error that says that the request may have run", got.err)
	}
	if n := h.router.counters.failed.Count(); n != 1 {
		t.Errorf("%d failed requests counted, want 1", n)
	}
	h.checkContained(1)
}
