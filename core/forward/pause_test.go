package forward

import (
	"testing"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// pause makes engines ask for no calls for a time.
func (h *harness) pause(d time.Duration, ids ...ident.EndpointID) {
	now := time.Now()
	for _, e := range h.table.All() {
		for _, id := range ids {
			if e.ID == id {
				e.PauseUntil(now.Add(d), now)
			}
		}
	}
}

// checkRefusedUntil checks that a request was refused at once as not run, with a
// Retry-After at or a little after the earliest end of the pauses.
func checkRefusedUntil(t *testing.T, got *reply, started, end time.Time) {
	t.Helper()
	if took := time.Since(started); took > 200*time.Millisecond {
		t.Errorf("refused after %v, want at once", took)
	}
	f := fault.From(got.err)
	if got.err == nil || f.Ran != fault.NotRun || f.RetryAfter.Before(end) || f.RetryAfter.After(end.Add(time.Second)) {
		t.Errorf("error %v, retry %v after the end of the pause", got.err, f.RetryAfter.Sub(end))
	}
}

// Guards against calls of a plain service's engine that has asked for none, and against a
// wait until the deadline if all engines have.
func TestPausedPlainEngineIsNotCalled(t *testing.T) {
	h := newHarness(t)
	h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, "ok") }
	h.pause(3*time.Second, "p1")
	for range 5 {
		if got := h.serve("once"); got.err != nil {
			t.Fatal(got.err)
		}
	}
	for _, c := range h.sent {
		if c.Engine.ID == "p1" {
			t.Error("the engine that has asked for no calls was called")
		}
	}
	calls := len(h.sent)
	started := time.Now()
	h.pause(2*time.Second, "p2")
	checkRefusedUntil(t, h.serve("safe"), started, started.Add(2*time.Second))
	if len(h.sent) != calls {
		t.Error("an engine that has asked for no calls was called")
	}
}

// Guards against a wait for memory at decode engines that have all asked for no calls for
// longer than the request may wait.
func TestStreamIsRefusedWhileAllDecodeEnginesPause(t *testing.T) {
	h := newHarness(t)
	h.reserve = func(engines.Entry) (string, error) { t.Error("a reservation was requested"); return "", errRefused }
	started := time.Now()
	h.pause(4*time.Second, "d1", "d2")
	checkRefusedUntil(t, h.serve("stream"), started, started.Add(4*time.Second))
}

// Guards against a prefill, or a stream whose prompt was prefilled meanwhile, at an engine
// that has asked for no calls.
func TestPausedModelEngineGetsNoCall(t *testing.T) {
	h := newHarness(t)
	h.pause(3*time.Second, "f1")
	h.prefill = func(_ int, c Call) (string, error) {
		if c.Engine.ID == "f1" {
			t.Error("a prefill was sent to the engine that has asked for no calls")
		}
		h.pause(3*time.Second, "d1")
		return "handle", nil
	}
	h.send = func(_ int, c Call, sink Sink) error {
		if c.Engine.ID == "d1" {
			t.Error("a stream was sent to the engine that has asked for no calls")
		}
		return sendAnswer(sink, 200, "id: 1\ndata: 1\n\n")
	}
	for range 8 {
		if got := h.serve("stream"); got.err != nil {
			t.Error(got.err)
		}
		h.pause(0, "d1")
	}
}
