package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// setMaxReservation sets the longest reservation at the engines of the model service.
func (h *harness) setMaxReservation(d time.Duration) {
	s, _ := h.router.Catalog().Service("model")
	s.Model.MaxReservationMS = milliseconds(d)
}

// TestNoPrefillThatOutlastsReservation guards against a prompt that is prefilled for nothing, as the
// reservation at the decode engine ends while the prompt waits in the prefill engine's queue.
func TestNoPrefillThatOutlastsReservation(t *testing.T) {
	h := newHarness(t)
	h.setMaxReservation(600 * time.Millisecond)
	h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, "id: 1\ndata: a\n\n") }
	prefills := 0
	h.prefill = func(int, Call) (string, error) {
		prefills++
		return "handle", nil
	}
	delay := func(prefill, decode time.Duration) {
		for _, id := range []ident.EndpointID{"f1", "f2", "d1", "d2"} {
			d := prefill
			if id[0] == 'd' {
				d = decode
			}
			for range 20 {
				h.engine(id).RecordQueueDelay(d, time.Now())
			}
		}
	}
	delay(520*time.Millisecond, 400*time.Millisecond)
	if got := h.serve("stream"); got.err != nil || prefills != 0 || h.sent[0].Source.Handle != "" {
		t.Errorf("%d prefills (err %v) that would end after the reservation", prefills, got.err)
	}
	delay(200*time.Millisecond, 400*time.Millisecond)
	if got := h.serve("stream"); got.err != nil || prefills != 1 || h.sent[1].Source.Handle == "" {
		t.Errorf("%d prefills (err %v), want one that ends before the reservation", prefills, got.err)
	}
	delay(520*time.Millisecond, 400*time.Millisecond)
	h.setMaxReservation(100 * time.Millisecond)
	if got := h.serve("stream"); got.err != nil || prefills != 2 {
		t.Errorf("%d prefills (err %v), want one also where reservations are shorter than any prefill", prefills, got.err)
	}
}

// TestPrefillEndsWithReservation guards against a prefill that continues after the reservation at the
// decode engine has ended, and against its engine counting as silent for that.
func TestPrefillEndsWithReservation(t *testing.T) {
	newHarness(t) // A goroutine of go-metrics, which starts with the first meter, must not be in the bubble.
	synctest.Test(t, testPrefillEndsWithReservation)
}

// testPrefillEndsWithReservation runs in a bubble, whose clock moves only by its sleeps.
func testPrefillEndsWithReservation(t *testing.T) {
	const reservation = 400 * time.Millisecond
	h := newHarness(t)
	h.setMaxReservation(reservation)
	var took time.Duration
	h.router.Calls.Prefill = func(ctx context.Context, c Call) (string, error) {
		started := time.Now()
		<-ctx.Done()
		took = time.Since(started)
		return "", fault.New(fault.EndpointTimeout, "no answer of %s", c.Engine.ID).WithRan(fault.MayHaveRun)
	}
	h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, "id: 1\ndata: a\n\n") }
	if got := h.serve("stream"); got.err != nil {
		t.Fatal(got.err)
	}
	if took <= 0 || took > reservation-reservationMargin {
		t.Errorf("the prefill was cancelled after %v, want before the end of the reservation of %v", took, reservation)
	}
	for _, e := range h.table.ServiceEngines("model") {
		if e.IsSilent(time.Now()) {
			t.Errorf("engine %s counts as silent", e.ID)
		}
	}
}

// TestNoPrefillForDecodeEngineThatTakesNoStream guards against a prompt that is prefilled for a
// decode engine that changes its stage or leaves after it has granted the reservation.
func TestNoPrefillForDecodeEngineThatTakesNoStream(t *testing.T) {
	for name, stop := range map[string]func(h *harness, e engines.Entry){
		"stage change": func(h *harness, e engines.Entry) {
			h.table.MarkStageChange(e.ID, engines.Prefill, time.Now().Add(time.Minute))
		},
		"leaving": func(h *harness, e engines.Entry) { h.table.MarkLeaving(e) },
	} {
		h := newHarness(t)
		stopped := false
		h.reserve = func(e engines.Entry) (string, error) {
			if !stopped {
				stopped = true
				stop(h, e)
			}
			return "reservation", nil
		}
		prefills := 0
		h.prefill = func(int, Call) (string, error) {
			prefills++
			return "handle", nil
		}
		h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, "id: 1\ndata: a\n\n") }
		if got := h.serve("stream"); got.err != nil || prefills != 1 || len(h.released) != 1 || len(h.sent) != 1 {
			t.Errorf("%s: err %v, %d prefills, %d reservations released, %d streams sent, want one each", name, got.err, prefills, len(h.released), len(h.sent))
		}
	}
}
