package forward

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
)

// TestAtMostOnceIsNotResumed has an engine fall silent on a route whose requests may run only
// once and which is marked as resumable. The request must not be sent to a second engine.
func TestAtMostOnceIsNotResumed(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	route, _ := h.router.Catalog().Route("h", "/resume/x")
	route.Kind = catalog.AtMostOnce
	h.send = func(_ int, c Call, sink Sink) error { return sendStream(c, sink, silentAfter, silence) }
	checkComplete(t, h.serve("resume"))
	if len(h.sent) != 1 {
		t.Errorf("%d calls of an at-most-once route, want 1", len(h.sent))
	}
}

// TestStalledStreamSurvivesRefusedReplacement has the engine that replaces a silent one refuse
// the stream, with a retry budget of one call. The answer must not be aborted.
func TestStalledStreamSurvivesRefusedReplacement(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	h.router.retrySettings = RetryBudgetSettings{RetryMinimum: 1.5, RetryWindow: time.Minute}
	h.send = func(n int, c Call, sink Sink) error {
		if n == 2 {
			return errRefused.WithRan(fault.NotRun)
		}
		return sendStream(c, sink, silentAfter, silence+time.Second)
	}
	checkComplete(t, h.serve("resume"))
}

// TestStalledStreamWaitsForMemoryAfterRefusedReplacement guards against a stream that may have
// run and gets 502 with most of its time left: the engine that replaces a silent one refuses the
// stream, and no engine has memory for a moment then. It must wait whether or not it has begun.
func TestStalledStreamWaitsForMemoryAfterRefusedReplacement(t *testing.T) {
	t.Parallel()
	const noMemory = 300 * time.Millisecond
	for _, pauseAfter := range []int{0, silentAfter} {
		h := newStallHarness(t, 2)
		var memoryAt atomic.Pointer[time.Time]
		h.reserve = func(engines.Entry) (string, error) {
			if at := memoryAt.Load(); at != nil && time.Now().Before(*at) {
				return "", errRefused
			}
			return "reservation", nil
		}
		h.send = func(n int, c Call, sink Sink) error {
			if n == 2 {
				at := time.Now().Add(noMemory)
				memoryAt.Store(&at)
				return errRefused.WithRan(fault.NotRun)
			}
			if n > 2 {
				return sendStream(c, sink, -1, 0)
			}
			return sendStream(c, sink, pauseAfter, silence+time.Second)
		}
		checkComplete(t, h.serve("resume"))
	}
}

// TestStreamThatLostItsPlaceWaitsForMemory guards against a stream that is refused with most of
// its time left and without asking any engine again: its engine refuses it after the time in
// which a first place is looked for, as after a suspension of the process, and no engine has
// memory for a moment then.
func TestStreamThatLostItsPlaceWaitsForMemory(t *testing.T) {
	t.Parallel()
	const noMemory = 300 * time.Millisecond
	h := newStallHarness(t, 2)
	var memoryAt atomic.Pointer[time.Time]
	h.reserve = func(engines.Entry) (string, error) {
		if at := memoryAt.Load(); at != nil && time.Now().Before(*at) {
			return "", errRefused
		}
		return "reservation", nil
	}
	h.send = func(n int, c Call, sink Sink) error {
		if n > 1 {
			return sendStream(c, sink, -1, 0)
		}
		time.Sleep(minStallTimeout)
		at := time.Now().Add(noMemory)
		memoryAt.Store(&at)
		return errRefused.WithRan(fault.NotRun)
	}
	checkComplete(t, h.serve("resume"))
}

// TestStalledStreamSurvivesUnreachableReplacement has the engine that replaces a silent one be
// unreachable, with no third engine. The answer must not be aborted.
func TestStalledStreamSurvivesUnreachableReplacement(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	h.send = func(n int, c Call, sink Sink) error {
		if n == 2 {
			return errCannotConnect
		}
		return sendStream(c, sink, silentAfter, silence+time.Second)
	}
	checkComplete(t, h.serve("resume"))
}

// TestLocalPrefillIsNoStall has the decode engine prefill a long prompt, for as long as is
// estimated. The call must not be replaced.
func TestLocalPrefillIsNoStall(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	for _, e := range h.table.ServiceEngines("model") {
		if e.CurrentStage() == engines.Prefill {
			e.MarkFull(0, time.Now().Add(time.Minute))
		}
	}
	h.send = func(_ int, c Call, sink Sink) error {
		if c.Source.Handle != "" {
			t.Error("not a local prefill")
		}
		return sendStream(c, sink, 0, 2500*time.Millisecond)
	}
	// 25,000 tokens at half of 20 tokens per millisecond take 2.5 s.
	got := h.serveRequest(context.Background(), "resume", func(q *Request) { q.PromptTokens = 25_000 })
	checkComplete(t, got)
	if len(h.sent) != 1 {
		t.Errorf("%d calls, want 1", len(h.sent))
	}
}
