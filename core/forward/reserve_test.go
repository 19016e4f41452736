package forward

import (
	"testing"
	"time"
)

// TestReservationsAreWithinTheLongest guards against reservations that are longer than the
// engines of a service grant.
func TestReservationsAreWithinTheLongest(t *testing.T) {
	for longestMS, want := range map[float64]time.Duration{0: reservationTime, 200: 200 * time.Millisecond, 1e30: reservationTime, -1: reservationTime} {
		h := newHarness(t)
		s, _ := h.router.Catalog().Service("model")
		s.Model.MaxReservationMS = longestMS
		h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, "id: 1\ndata: a\n\n") }
		if got := h.serve("stream"); got.err != nil {
			t.Fatal(got.err)
		}
		if got := h.reserved; len(got) != 1 || got[0] > want || got[0] < want-150*time.Millisecond {
			t.Errorf("longest reservation of %v ms: reservations of %v, want %v", longestMS, got, want)
		}
	}
}
