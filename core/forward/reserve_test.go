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

// TestReservationOfRefusedStreamIsReleased guards against memory of a decode engine that is
// kept for a stream that the engine has not run, until the reservation expires.
func TestReservationOfRefusedStreamIsReleased(t *testing.T) {
	t.Parallel()
	for name, refusal := range map[string]error{"refused": errRefused, "unreachable": errCannotConnect} {
		h := newHarness(t)
		granted := h.grantAll()
		h.send = func(n int, _ Call, sink Sink) error {
			if n == 1 {
				return refusal
			}
			return sendAnswer(sink, 200, eventText(1))
		}
		if got := h.serve("resume"); got.err != nil || len(h.sent) != 2 {
			t.Fatalf("%s: error %v after %d calls, want the answer of the second engine", name, got.err, len(h.sent))
		}
		if first := granted()[0]; len(h.released) != 1 || h.released[0] != first {
			t.Errorf("%s: released %v, want only the reservation at %s", name, h.released, first)
		}
	}
}

// TestReservationOfBrokenStreamIsNotReleased guards against the release of a reservation that
// an engine is using, or has used, for a stream that it may have run.
func TestReservationOfBrokenStreamIsNotReleased(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.send = func(n int, _ Call, sink Sink) error {
		if n == 1 {
			return errBroken
		}
		return sendAnswer(sink, 200, eventText(1))
	}
	if got := h.serve("resume"); got.err != nil || len(h.sent) != 2 || len(h.released) != 0 {
		t.Errorf("error %v after %d calls, released %v; want two calls and no release", got.err, len(h.sent), h.released)
	}
}
