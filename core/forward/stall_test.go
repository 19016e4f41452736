package forward

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoonfork/core/engines"
)

const (
	// silence is the length of the silence of a simulated engine that then goes on. It is
	// longer than stallTimeout.
	silence = stallTimeout + 300*time.Millisecond
	// streamEvents is the number of events of a simulated stream.
	streamEvents = 4
	// silentAfter is the event after which a simulated engine is silent.
	silentAfter = 2
)

// newStallHarness returns a harness whose resumable route allows the given number of
// engines and has a timeout of several times the silence.
func newStallHarness(t *testing.T, maxEngines int) *harness {
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
// silent and go on. The answer must not be aborted.
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

// TestSilentStreamIsKeptWithoutRetryBudget has an engine fall silent and go on while the
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

// TestSilentStreamIsKeptWithoutReservation has an engine fall silent and go on while no
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
