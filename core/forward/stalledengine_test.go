package forward

import (
	"net/http"
	"testing"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
)

// TestReplacementThatRanEndsReturnToStalled guards against a call beyond the retry budget, to
// the engine that was replaced first, after its replacement has run and a third engine has
// refused the stream.
func TestReplacementThatRanEndsReturnToStalled(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 4)
	h.table.Apply([]engines.Change{{Entry: engines.Entry{
		ID: "d3", Service: "model", Stage: engines.Decode, Domain: "a", Slots: 4, ListRevision: 1, Address: "d3",
	}}})
	h.router.retrySettings = RetryBudgetSettings{RetryMinimum: 6, RetryWindow: time.Minute} // Two extra calls, each with a prefill.
	h.send = func(n int, c Call, sink Sink) error {
		switch n {
		case 2: // The replacement breaks off after its first event.
			head := Head{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Length: -1}
			if err := sink.OnHead(head); err != nil {
				return err
			}
			if err := sink.OnData([]byte(eventText(silentAfter + 1))); err != nil {
				return err
			}
			return errBroken
		case 3:
			return errRefused.WithRan(fault.NotRun)
		}
		return sendStream(c, sink, silentAfter, silence)
	}
	got := h.serve("resume")
	if n := h.callCount(); n != 3 {
		t.Errorf("%d calls, want 3: the retry budget is used up", n)
	}
	if !got.aborted {
		t.Errorf("error %v, %q; want an aborted stream", got.err, got.body.String())
	}
}
