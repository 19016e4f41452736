package forward

import (
	"sync/atomic"
	"testing"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
)

// TestRetryWithoutReservationIsNotCharged guards against a retry budget that is used up by
// retries that have reached no engine: no other engine grants a reservation.
func TestRetryWithoutReservationIsNotCharged(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	var granted atomic.Bool
	h.reserve = func(engines.Entry) (string, error) {
		if granted.Swap(true) {
			return "", errRefused
		}
		return "reservation", nil
	}
	h.send = func(int, Call, Sink) error { return errBroken }
	if got := h.serve("resume"); got.err == nil || len(h.sent) != 1 {
		t.Errorf("error %v after %d calls, want an error after one call", got.err, len(h.sent))
	}
	h.checkExtraCalls(0)
}

// TestReplacementThatLeavesIsNotCharged guards against a retry budget that is used up by a
// replacement of a stalled stream whose engine announces that it leaves before the stream is
// sent to it. The stream continues at the engine that stalled, which is one extra call, besides
// the second prefill.
func TestReplacementThatLeavesIsNotCharged(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	h.prefill = func(n int, _ Call) (string, error) {
		if n == 2 {
			for _, e := range h.table.ServiceEngines("model") {
				if e.CurrentStage() == engines.Decode && e.ID != h.sent[0].Engine.ID {
					h.table.MarkLeaving(e.Entry)
				}
			}
		}
		return "handle", nil
	}
	h.send = func(n int, c Call, sink Sink) error {
		if n == 1 {
			return sendStream(c, sink, silentAfter, time.Minute)
		}
		return sendStream(c, sink, 0, 0)
	}
	checkComplete(t, h.serve("resume"))
	if len(h.sent) != 2 {
		t.Errorf("%d calls, want 2", len(h.sent))
	}
	h.checkNothingHeld(nil)
	h.checkExtraCalls(3) // A decode and two prefills: those of the replacement and of the return.
}

// TestRetriesAreCharged guards against retries that are sent and not charged to the retry
// budget, also if the engine refuses them.
func TestRetriesAreCharged(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.send = func(n int, _ Call, sink Sink) error {
		if n == 1 {
			return errRefused.WithRan(fault.NotRun)
		}
		return sendAnswer(sink, 200, eventText(1))
	}
	if got := h.serve("resume"); got.err != nil || len(h.sent) != 2 {
		t.Errorf("error %v after %d calls, want the answer of the second engine", got.err, len(h.sent))
	}
	h.checkExtraCalls(2) // A decode and a prefill.
}
