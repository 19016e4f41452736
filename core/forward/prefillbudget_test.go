package forward

import (
	"testing"
	"time"
)

// TestFurtherPrefillIsChargedToRetryBudget guards against prefills of one request after its
// first that are not counted as extra calls. Without budget for one, the decode engine has to
// do the prefill.
func TestFurtherPrefillIsChargedToRetryBudget(t *testing.T) {
	for _, tc := range []struct {
		budget       float64 // In calls.
		wantPrefills int
		wantExtra    int
	}{{budget: 10.5, wantPrefills: 2, wantExtra: 2}, {budget: 1.5, wantPrefills: 1, wantExtra: 1}} {
		h := newHarness(t)
		h.router.retrySettings = RetryBudgetSettings{RetryMinimum: tc.budget / retryBudgetMargin, RetryWindow: time.Minute}
		prefills := 0
		h.prefill = func(int, Call) (string, error) {
			prefills++
			return "handle", nil
		}
		h.send = func(n int, c Call, sink Sink) error {
			if n == 1 {
				return errBroken
			}
			if local := c.Source.Handle == ""; local != (tc.wantPrefills == 1) {
				t.Errorf("budget %v: local prefill %v", tc.budget, local)
			}
			return sendAnswer(sink, 200, eventText(1))
		}
		if got := h.serve("resume"); got.err != nil || len(h.sent) != 2 {
			t.Errorf("budget %v: %v, %d calls; want an answer after two", tc.budget, got.err, len(h.sent))
		}
		if prefills != tc.wantPrefills {
			t.Errorf("budget %v: %d prefills, want %d", tc.budget, prefills, tc.wantPrefills)
		}
		h.checkExtraCalls(tc.wantExtra)
	}
}
