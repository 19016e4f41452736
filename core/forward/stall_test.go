package forward

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
)

const (
	// silence is the length of the silence of a simulated engine that then continues. It is
	// longer than minStallTimeout.
	silence = minStallTimeout + 300*time.Millisecond
	// streamEvents is the number of events of a simulated stream.
	streamEvents = 4
	// silentAfter is the event after which a simulated engine is silent.
	silentAfter = 2
)

// newStallHarness returns a harness whose resumable route allows the given number of
// engines and has a timeout of several times the silence.
func newStallHarness(t testing.TB, maxEngines int) *harness {
	t.Helper()
	h := newHarness(t)
	route, _ := h.router.Catalog().Route("h", "/resume/x")
	route.TimeoutMS = 10_000
	route.MaxEngines = maxEngines
	return h
}

// eventText returns event n of a simulated stream.
func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n) }

// wholeStream returns the text of a complete simulated stream.
func wholeStream() string {
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		b.WriteString(eventText(n))
	}
	return b.String()
}

// sendStream sends the events after the last event of the call, and is silent for a while
// after one of them; 0 stands for the time before the head.
func sendStream(c Call, sink Sink, pauseAfter int, pause time.Duration) error {
	if pauseAfter == 0 {
		time.Sleep(pause)
	}
	head := Head{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Length: -1}
	if err := sink.OnHead(head); err != nil {
		return err
	}
	last, _ := strconv.Atoi(c.LastEventID)
	for n := last + 1; n <= streamEvents; n++ {
		if err := sink.OnData([]byte(eventText(n))); err != nil {
			return err
		}
		if n == pauseAfter {
			time.Sleep(pause)
		}
	}
	return nil
}

// checkComplete checks that the caller got the whole stream, each event once.
func checkComplete(t *testing.T, got *reply) {
	t.Helper()
	if got.err != nil || got.aborted || got.body.String() != wholeStream() {
		t.Errorf("error %v, aborted %v, %q; want the whole stream", got.err, got.aborted, got.body.String())
	}
}

// TestSilentStreamIsKeptWithoutEnginesLeft has the last engine that the route allows fall
// silent and continue. The answer must not be aborted.
func TestSilentStreamIsKeptWithoutEnginesLeft(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	h.send = func(n int, c Call, sink Sink) error {
		if n == 1 {
			_ = sendAnswer(sink, 200, eventText(1))
			return errBroken
		}
		return sendStream(c, sink, silentAfter, silence)
	}
	checkComplete(t, h.serve("resume"))
	if len(h.sent) != 2 {
		t.Errorf("%d calls, want 2", len(h.sent))
	}
}

// TestSilentStreamIsKeptWithoutRetryBudget has an engine fall silent and continue while the
// retry budget is used up. The answer must not be aborted, also if it has not begun.
func TestSilentStreamIsKeptWithoutRetryBudget(t *testing.T) {
	t.Parallel()
	for _, pauseAfter := range []int{0, silentAfter} {
		h := newStallHarness(t, 2)
		h.router.retrySettings = RetryBudgetSettings{RetryWindow: time.Minute}
		pause := silence
		if pauseAfter == 0 {
			pause += 300 * time.Millisecond // The objective of the route.
		}
		h.send = func(_ int, c Call, sink Sink) error { return sendStream(c, sink, pauseAfter, pause) }
		checkComplete(t, h.serve("resume"))
		if len(h.sent) != 1 {
			t.Errorf("silent after event %d: %d calls, want 1", pauseAfter, len(h.sent))
		}
	}
}

// TestSilentStreamIsKeptWithoutReservation has an engine fall silent and continue while no
// other decode engine grants a reservation. The answer must not be aborted.
func TestSilentStreamIsKeptWithoutReservation(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	var reserved atomic.Bool
	h.reserve = func(engines.Entry) (string, error) {
		if reserved.Swap(true) {
			return "", errRefused
		}
		return "reservation", nil
	}
	h.send = func(_ int, c Call, sink Sink) error { return sendStream(c, sink, silentAfter, silence) }
	checkComplete(t, h.serve("resume"))
	if len(h.sent) != 1 {
		t.Errorf("%d calls, want 1", len(h.sent))
	}
}

// TestAllStreamsOfSilentEngineComplete has several streams at an engine that falls silent,
// more than the retry budget allows to resume. No answer may be aborted.
func TestAllStreamsOfSilentEngineComplete(t *testing.T) {
	t.Parallel()
	const streams = 8
	h := newStallHarness(t, 2)
	h.router.retrySettings = RetryBudgetSettings{RetryMinimum: 3, RetryWindow: time.Minute}
	var begun atomic.Int64
	h.reserve = func(e engines.Entry) (string, error) {
		if e.ID == "d2" && begun.Load() < streams {
			return "", errRefused
		}
		return "reservation", nil
	}
	h.send = func(_ int, c Call, sink Sink) error {
		if c.Engine.ID == "d2" {
			return sendStream(c, sink, 0, 0)
		}
		begun.Add(1)
		return sendStream(c, sink, silentAfter, silence)
	}
	var callers sync.WaitGroup
	for range streams {
		callers.Go(func() { checkComplete(t, h.serve("resume")) })
	}
	callers.Wait()
}

// TestStalledStreamIsCancelledBeforeItIsResumed has an engine that never continues. Its
// call must have ended when the next engine is called, since no stream may run twice, and
// must not have ended before the next engine has granted a reservation.
func TestStalledStreamIsCancelledBeforeItIsResumed(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	var open, reservations atomic.Int64
	h.reserve = func(engines.Entry) (string, error) {
		if n := reservations.Add(1); n == 2 && open.Load() != 1 {
			t.Error("the call was cancelled before the replacement was reserved")
		}
		return "reservation", nil
	}
	send := h.router.Calls.Send
	h.router.Calls.Send = func(ctx context.Context, c Call, sink Sink) error {
		if open.Add(1) > 1 {
			t.Error("the stream runs at two engines")
		}
		defer open.Add(-1)
		return send(ctx, c, sink)
	}
	h.send = func(n int, c Call, sink Sink) error {
		if n == 1 {
			return sendStream(c, sink, silentAfter, time.Minute)
		}
		return sendStream(c, sink, 0, 0)
	}
	checkComplete(t, h.serve("resume"))
	if len(h.sent) != 2 || h.sent[0].Engine.ID == h.sent[1].Engine.ID || h.sent[1].LastEventID != strconv.Itoa(silentAfter) {
		t.Errorf("calls %+v, want a second one at the other engine", h.sent)
	}
	h.checkExtraCalls(2) // A decode and a prefill.
}

// TestStallAfterEarlyFirstEventIsDetected has an engine send its first event long before
// the objective of the route, and then stay silent. The time that is left until the
// objective must not delay the resume, since the caller gives up before.
func TestStallAfterEarlyFirstEventIsDetected(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	route, _ := h.router.Catalog().Route("h", "/resume/x")
	route.TargetLatencyMS = 600
	h.send = func(n int, c Call, sink Sink) error {
		if n > 1 {
			return sendStream(c, sink, 0, 0)
		}
		time.Sleep(50 * time.Millisecond)
		return sendStream(c, sink, silentAfter, time.Minute)
	}
	started := time.Now()
	checkComplete(t, h.serve("resume"))
	if took := time.Since(started); took > minStallTimeout+500*time.Millisecond {
		t.Errorf("resumed after %v, want %v", took, minStallTimeout)
	}
}

// TestContinuedStreamReleasesReplacement has an engine continue while another one is asked
// for a reservation. Neither the reservation nor the retry budget may be lost.
func TestContinuedStreamReleasesReplacement(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	asked, continued := make(chan struct{}), make(chan struct{})
	var reservations atomic.Int64
	h.reserve = func(e engines.Entry) (string, error) {
		if reservations.Add(1) == 2 {
			close(asked)
			<-continued
		}
		return string(e.ID), nil
	}
	h.send = func(_ int, _ Call, sink Sink) error {
		_ = sendAnswer(sink, 200, eventText(1), eventText(2))
		<-asked
		for n := 3; n <= streamEvents; n++ {
			if err := sink.OnData([]byte(eventText(n))); err != nil {
				return err
			}
		}
		close(continued)
		time.Sleep(reserveCallTimeout)
		return nil
	}
	checkComplete(t, h.serve("resume"))
	if len(h.sent) != 1 || len(h.released) != 1 || h.released[0] == string(h.sent[0].Engine.ID) {
		t.Errorf("%d calls, released %v; want one call and the release of the other reservation", len(h.sent), h.released)
	}
	h.checkExtraCalls(0)
}

// TestStreamThatBreaksDuringStallIsResumed has a stalled stream break off while another
// engine is asked for a reservation. The stream must be resumed once, within the budget.
func TestStreamThatBreaksDuringStallIsResumed(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	asked := make(chan struct{})
	var reservations atomic.Int64
	h.reserve = func(engines.Entry) (string, error) {
		if reservations.Add(1) == 2 {
			close(asked)
			time.Sleep(reserveCallTimeout / 2)
		}
		return "reservation", nil
	}
	h.send = func(n int, c Call, sink Sink) error {
		if n > 1 {
			return sendStream(c, sink, 0, 0)
		}
		_ = sendAnswer(sink, 200, eventText(1))
		<-asked
		return errBroken
	}
	checkComplete(t, h.serve("resume"))
	if len(h.sent) != 2 {
		t.Errorf("%d calls, want 2", len(h.sent))
	}
	h.checkExtraCalls(2) // A decode and a prefill.
}

// checkExtraCalls checks how many extra calls of the model service were counted, and that
// none is held.
func (h *harness) checkExtraCalls(want int) {
	h.t.Helper()
	if w := h.router.retryBudget.window("model"); len(w.extraCalls) != want || w.heldCalls != 0 {
		h.t.Errorf("%d extra calls counted, %d held; want %d and none", len(w.extraCalls), w.heldCalls, want)
	}
}

// TestStallTimeoutFollowsRoute checks that a stream is resumed before its caller gives up,
// and not before a pause of an engine without a fault may have ended.
func TestStallTimeoutFollowsRoute(t *testing.T) {
	for _, c := range []struct {
		objectiveMS, gapMS int64
		want               time.Duration
	}{{300, 0, minStallTimeout}, {900, 300, 1800 * time.Millisecond}, {500, 400, 1600 * time.Millisecond}} {
		s := &stream{job: &job{route: &catalog.Route{TargetLatencyMS: c.objectiveMS, TargetEventGapMS: c.gapMS}}}
		if got := s.stallTimeout(); got != c.want {
			t.Errorf("objective %d ms, gap %d ms: %v, want %v", c.objectiveMS, c.gapMS, got, c.want)
		}
	}
}

// TestSlowCallerIsNoStall has a caller that does not read for longer than the stall timeout.
// The engine is not silent, and the stream must stay with it.
func TestSlowCallerIsNoStall(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	h.send = func(_ int, c Call, sink Sink) error { return sendStream(c, sink, 0, 0) }
	got := &reply{}
	var paused atomic.Bool
	got.onWrite = func() {
		if !paused.Swap(true) {
			time.Sleep(silence)
		}
	}
	h.serveTo(context.Background(), got, "resume", func(*Request) {})
	checkComplete(t, got)
	if len(h.sent) != 1 || len(h.reserved) != 1 {
		t.Errorf("%d calls and %d reservations, want 1 each", len(h.sent), len(h.reserved))
	}
}

// TestSilenceAfterSlowCallerIsStall has an engine fall silent for good after its caller did not
// read for a while. The stream must go to another engine.
func TestSilenceAfterSlowCallerIsStall(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	ended := make(chan struct{})
	defer close(ended)
	h.send = func(n int, c Call, sink Sink) error {
		if n == 1 {
			_ = sendAnswer(sink, 200, eventText(1))
			<-ended
			return errBroken
		}
		return sendStream(c, sink, 0, 0)
	}
	got := &reply{}
	var paused atomic.Bool
	got.onWrite = func() {
		if !paused.Swap(true) {
			time.Sleep(silence)
		}
	}
	h.serveTo(context.Background(), got, "resume", func(*Request) {})
	checkComplete(t, got)
	if len(h.sent) != 2 {
		t.Errorf("%d calls, want 2", len(h.sent))
	}
}
