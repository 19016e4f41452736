package placement

import (
	"math"
	"testing"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// TestOverflowingRequestIsRefused guards against token counts of another instance whose sum
// overflows, so that a negative need of memory makes room for too many requests.
func TestOverflowingRequestIsRefused(t *testing.T) {
	f := newFixture(t, 1)
	for _, tokens := range [][2]ident.Tokens{{math.MaxInt64, 1}, {100, math.MaxInt64}, {math.MaxInt64, math.MaxInt64}} {
		r := f.request("a")
		r.PromptTokens, r.MaxTokens = tokens[0], tokens[1]
		if err := refused(f.Submit(r, "i1")); !fault.Is(err, fault.BadRequest) {
			t.Errorf("%d and %d tokens: %v, want BadRequest", tokens[0], tokens[1], err)
		}
	}
	if d := f.engines["d0"]; d.reservedPieces != 0 {
		t.Errorf("%d pieces are reserved", d.reservedPieces)
	}
}

// TestNegativeOutputIsNotRefunded guards against an event with a negative number of tokens,
// with which an organisation goes before all others for a long time.
func TestNegativeOutputIsNotRefunded(t *testing.T) {
	for _, output := range []ident.Tokens{-1_000_000, math.MinInt64} {
		f := newFixture(t, 1)
		g := granted(f.Submit(f.request("a"), "i1"))
		second := granted(f.Submit(f.request("a"), "i1"))
		f.Submit(f.request("a"), "i1")
		before := f.queue.flows["a"].virtualTime
		f.Release(g.Lease, Outcome{Result: Completed, OutputTokens: output})
		refunded := before - f.queue.flows["a"].virtualTime
		if refunded > 100 || second == nil {
			t.Errorf("output of %d tokens: %v refunded, want at most 100", output, refunded)
		}
	}
}
