package forward

import (
	"sync/atomic"
	"testing"
	"time"

	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
)

// TestEngineFailureIsForwardedWithoutRetry guards against an engine's own error answer that is
// replaced by an error of the router, since the retry for which it was dropped can't be made:
// the retry budget is used up, no engine grants a reservation, or none can be reached.
func TestEngineFailureIsForwardedWithoutRetry(t *testing.T) {
	for name, obstruct := range map[string]func(*harness){
		"budget": func(h *harness) { h.router.retrySettings = RetryBudgetSettings{RetryWindow: time.Minute} },
		"reservation": func(h *harness) {
			granted := false
			h.reserve = func(engines.Entry) (string, error) {
				if granted {
					return "", errRefused
				}
				granted = true
				return "reservation", nil
			}
		},
		"unreachable": func(*harness) {},
	} {
		h := newHarness(t)
		obstruct(h)
		h.send = func(n int, _ Call, sink Sink) error {
			if n == 1 {
				return sendAnswer(sink, 500, "own ", "error")
			}
			return errCannotConnect
		}
		got := h.serve("resume")
		if got.err != nil || got.aborted || got.status != 500 || got.body.String() != "own error" {
			t.Errorf("%s: error %v, status %d, %q; want the engine's own answer", name, got.err, got.status, got.body.String())
		}
		if h.refunds != 0 {
			t.Errorf("%s: the tokens of a request that may have run were refunded", name)
		}
	}
}

// TestFailureWithoutEndDoesNotDelayRetry guards against a retry that waits for the end of the
// error answer before it.
func TestFailureWithoutEndDoesNotDelayRetry(t *testing.T) {
	h := newHarness(t)
	h.send = func(n int, _ Call, sink Sink) error {
		if n == 1 {
			if err := sendAnswer(sink, 500, "begun"); err != nil {
				return err
			}
			time.Sleep(time.Hour)
		}
		return sendAnswer(sink, 200, eventText(1))
	}
	started := time.Now()
	got := h.serve("resume")
	if got.err != nil || got.body.String() != eventText(1) {
		t.Errorf("%v, %q; want the answer of the other engine", got.err, got.body.String())
	}
	if took := time.Since(started); took > 4*failedAnswerTime {
		t.Errorf("answered after %v, want about %v", took, failedAnswerTime)
	}
}

// TestEngineThatFailsOnceOnlyStreamsIsAvoided guards against a decode engine whose server
// errors count as successes if the stream must not run twice: its memory stays free, so that
// it got more and more streams, and all of them failed.
func TestEngineThatFailsOnceOnlyStreamsIsAvoided(t *testing.T) {
	const streams = 12
	h := newHarness(t)
	var failing ident.EndpointID
	h.send = func(n int, c Call, sink Sink) error {
		if n == 1 {
			failing = c.Engine.ID
		}
		if c.Engine.ID == failing {
			return sendAnswer(sink, 500, "own error")
		}
		return sendAnswer(sink, 200, eventText(1))
	}
	if got := h.serve("stream"); got.err != nil || got.status != 500 {
		t.Fatalf("error %v, status %d; want the engine's own answer", got.err, got.status)
	}
	if d := h.router.durations.estimate("model", 1_000_000, time.Now()); d != 0 {
		t.Errorf("a stream that failed counts in the average duration: %v for 1,000,000 tokens", d)
	}
	failed := 0
	for range streams {
		if got := h.serve("stream"); got.status == 500 {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d of the %d next streams went to the engine that had failed, although another one was free", failed, streams)
	}
}

// TestSlowEngineFailureIsForwardedWithoutRetry guards against an engine's own error answer that
// is given up when it takes its time, before it is certain that another engine can be tried.
func TestSlowEngineFailureIsForwardedWithoutRetry(t *testing.T) {
	t.Parallel()
	for name, obstruct := range map[string]func(*harness){
		"budget": func(h *harness) { h.router.retrySettings = RetryBudgetSettings{RetryWindow: time.Minute} },
		"reservation": func(h *harness) {
			var granted atomic.Bool
			h.reserve = func(engines.Entry) (string, error) {
				if granted.Swap(true) {
					return "", errRefused
				}
				return "reservation", nil
			}
		},
	} {
		for _, kind := range []catalog.Kind{catalog.Stream, catalog.Idempotent} {
			h := newStallHarness(t, 2)
			route, _ := h.router.Catalog().Route("h", "/resume/x")
			route.Kind = kind
			obstruct(h)
			h.send = func(_ int, _ Call, sink Sink) error {
				if err := sendAnswer(sink, 500, "own "); err != nil {
					return err
				}
				time.Sleep(4 * failedAnswerTime)
				return sink.OnData([]byte("error"))
			}
			got := h.serve("resume")
			if got.err != nil || got.aborted || got.status != 500 || got.body.String() != "own error" {
				t.Errorf("%s, kind %v: error %v, status %d, %q; want the engine's own answer", name, kind, got.err, got.status, got.body.String())
			}
			if len(h.sent) != 1 {
				t.Errorf("%s, kind %v: %d calls, want 1", name, kind, len(h.sent))
			}
		}
	}
}

// TestGivenUpFailureHoldsNothing guards against a failing engine that gets a second call, or a
// reservation or a part of the retry budget that is kept, after its answer without an end was
// given up for another engine.
func TestGivenUpFailureHoldsNothing(t *testing.T) {
	t.Parallel()
	for _, kind := range []catalog.Kind{catalog.Stream, catalog.Idempotent} {
		h := newStallHarness(t, 2)
		route, _ := h.router.Catalog().Route("h", "/resume/x")
		route.Kind = kind
		h.send = func(n int, _ Call, sink Sink) error {
			if n > 1 {
				return sendAnswer(sink, 200, eventText(1))
			}
			for err := sendAnswer(sink, 500); err == nil; err = sink.OnData([]byte("more")) {
				time.Sleep(failedAnswerTime / 10)
			}
			return errBroken
		}
		started := time.Now()
		if got := h.serve("resume"); got.err != nil || got.body.String() != eventText(1) {
			t.Errorf("kind %v: %v, %q; want the answer of the other engine", kind, got.err, got.body.String())
		}
		if took := time.Since(started); took > 4*failedAnswerTime {
			t.Errorf("kind %v: answered after %v, want about %v", kind, took, failedAnswerTime)
		}
		if len(h.sent) != 2 || h.sent[0].Engine.ID == h.sent[1].Engine.ID {
			t.Errorf("kind %v: calls %+v, want one at each engine", kind, h.sent)
		}
		h.checkNothingHeld(nil)
	}
}
