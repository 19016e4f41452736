package forward

import (
	"context"
	"math"
	"testing"

	"monsoonfork/core/ident"
)

// TestImpossibleEstimateLeavesUsualMargin guards against one caller whose estimate is far above
// the maximum of its own request, and after which the requests of all callers of the service
// reserved their maximum.
func TestImpossibleEstimateLeavesUsualMargin(t *testing.T) {
	const prompt, longest, usual = 1000, 2000, 100
	for _, c := range []struct{ estimate, longest ident.Tokens }{
		{1_000_000, longest}, {math.MaxInt64, longest}, {1_000_000_000, 1_000_000_000},
	} {
		h := newHarness(t)
		h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, "id: 1\ndata: a\n\n") }
		reserved := func(estimate, longest ident.Tokens) ident.Tokens {
			got := h.serveRequest(context.Background(), "stream", func(q *Request) {
				q.PromptTokens, q.MaxOutputTokens, q.EstimatedOutput = prompt, longest, estimate
			})
			if got.err != nil {
				t.Fatal(got.err)
			}
			return h.sizes[len(h.sizes)-1] - prompt
		}
		for range 5 {
			reserved(usual, longest)
		}
		if got := reserved(c.estimate, c.longest); got != c.longest {
			t.Errorf("estimate %d: %d tokens reserved for the answer, want the longest, %d", c.estimate, got, c.longest)
		}
		// The estimate counts with 5% of at most the 10,000 tokens that an engine holds.
		if got := reserved(usual, longest); got > usual+usual/2+250 {
			t.Errorf("after an estimate of %d: %d tokens reserved for an estimate of %d", c.estimate, got, usual)
		}
	}
}
