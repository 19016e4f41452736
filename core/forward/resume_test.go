package forward

import (
	"sync/atomic"
	"testing"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
)

// TestRunOfEarlierEngineIsReported has the first engine fail after it may have run the
// request, and all others refuse it. The request must not be reported as not run, and its
// tokens must not be refunded.
func TestRunOfEarlierEngineIsReported(t *testing.T) {
	for _, route := range []string{"safe", "resume"} {
		h := newHarness(t)
		var reserved atomic.Bool
		h.reserve = func(engines.Entry) (string, error) {
			if reserved.Swap(true) {
				return "", errRefused
			}
			return "reservation", nil
		}
		h.send = func(n int, _ Call, _ Sink) error {
			if n > 1 {
				return errRefused
			}
			return errBroken
		}
		got := h.serve(route)
		if f := fault.From(got.err); f.Ran != fault.MayHaveRun || h.refunds != 0 {
			t.Errorf("%s: %v, ran %v, refunds %d; want an error after a possible run", route, got.err, f.Ran, h.refunds)
		}
	}
}
