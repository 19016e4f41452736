package forward

import (
	"testing"
	"time"

	"monsoonfork/core/engines"
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
