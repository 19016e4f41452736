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
