package forward

import (
	"sync/atomic"
	"testing"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
)

// TestBrokenStreamWaitsForReservation has a stream break off later than a new request may
// wait for a reservation, while the other engine has no free memory for a moment. The
// answer must not be aborted, as its caller waits for longer.
func TestBrokenStreamWaitsForReservation(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	var grantFrom atomic.Int64
	h.reserve = func(engines.Entry) (string, error) {
		if time.Now().UnixMilli() < grantFrom.Load() {
			return "", errRefused
		}
		return "reservation", nil
	}
	h.send = func(n int, c Call, sink Sink) error {
		if n > 1 {
			return sendStream(c, sink, 0, 0)
		}
		_ = sendAnswer(sink, 200, eventText(1))
		time.Sleep(700 * time.Millisecond)
		grantFrom.Store(time.Now().Add(400 * time.Millisecond).UnixMilli())
		return errBroken
	}
	checkComplete(t, h.serve("resume"))
}

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
