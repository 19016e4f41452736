package forward

import (
	"context"
	"testing"
	"time"

	"monsoonfork/core/ident"
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

// TestShortEstimatesHaveTheUsualMargin guards against a margin in proportion to the
// request's own estimate: with short estimates most streams outgrew their reservations, were
// preempted, and their prompts were prefilled again.
func TestShortEstimatesHaveTheUsualMargin(t *testing.T) {
	const prompt, longest, usual = 5000, 2000, 1000
	h := newHarness(t)
	h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, "id: 1\ndata: a\n\n") }
	reserved := func(estimate ident.Tokens) ident.Tokens {
		got := h.serveRequest(context.Background(), "stream", func(q *Request) {
			q.PromptTokens, q.MaxOutputTokens, q.EstimatedOutput = prompt, longest, estimate
		})
		if got.err != nil {
			t.Fatal(got.err)
		}
		return h.sizes[len(h.sizes)-1] - prompt
	}
	for range 3 {
		if got := reserved(usual); got != usual+usual/2 {
			t.Errorf("estimate %d: %d tokens reserved for the answer, want %d", usual, got, usual+usual/2)
		}
	}
	for _, estimate := range []ident.Tokens{50, 300} {
		if margin := reserved(estimate) - estimate; margin < usual*2/5 || margin > usual/2 {
			t.Errorf("estimate %d: margin of %d tokens, want 400 to 500", estimate, margin)
		}
	}
	for _, estimate := range []ident.Tokens{1800, longest, 3 * longest, 0} {
		if got := reserved(estimate); got != longest {
			t.Errorf("estimate %d: %d tokens reserved for the answer, want the longest, %d", estimate, got, longest)
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
