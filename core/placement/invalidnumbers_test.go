package placement

import (
	"math"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
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

// TestInvalidLeasesAreNotRestored guards against a lease of another instance whose numbers make
// an engine's memory count as free, and against its keeping the leases behind it from being
// restored.
func TestInvalidLeasesAreNotRestored(t *testing.T) {
	f := newFixture(t, 1, WithRecovery())
	reply := &HeldReply{Leases: []*HeldLease{
		{Lease: "n.1", Decode: "d0", Prefill: "p0", PromptTokens: -500, MaxTokens: 10},
		{Lease: "n.2", Decode: "d0", Prefill: "p0", PromptTokens: 10, MaxTokens: -500},
		{Lease: "n.3", Decode: "d0", Prefill: "p0", PromptTokens: math.MaxInt64, MaxTokens: math.MaxInt64},
		{Decode: "d0", Prefill: "p0", PromptTokens: 10}, nil,
		{Lease: "v.1", Decode: "d0", Prefill: "p0", PromptTokens: 10, MaxTokens: 10, DeadlineUs: 1_000_000},
	}}
	p := &Placement{log: log.NewNopLogger(), now: time.Now}
	f.RestoreLeases(p.validLeases("i1", reply))
	f.FinishRecovery()
	if d := f.engines["d0"]; d.reservedPieces != 2 || d.reservedSlots != 1 {
		t.Errorf("%d pieces and %d slots are reserved, want 2 and 1", d.reservedPieces, d.reservedSlots)
	}
}

// TestInvalidPiecesAreLimited guards against an engine's list of requests whose numbers of
// pieces are negative or overflow, so that its memory counts as free.
func TestInvalidPiecesAreLimited(t *testing.T) {
	e := text.Engine{MemoryPieces: 100, TokensPerPiece: 10}
	for pieces, want := range map[ident.Pieces]ident.Tokens{-1: 0, math.MinInt64: 0, 7: 70, 101: 1000, math.MaxInt64: 1000} {
		if got := tokensHeld(pieces, e); got != want {
			t.Errorf("%d pieces hold %d tokens, want %d", pieces, got, want)
		}
	}
}

// TestLoadReportsCountAfterClockStep guards against a load report with a time in the future, or
// an engine whose clock is set back, after which its reports are ignored until that time.
func TestLoadReportsCountAfterClockStep(t *testing.T) {
	f := newFixture(t, 1)
	f.ReportLoad("d0", Load{Reported: f.clock.Add(time.Hour)})
	for range foreignReportCount {
		f.clock = f.clock.Add(time.Second)
		f.ReportLoad("d0", Load{Running: 2, Reported: f.clock})
	}
	if g := granted(f.Submit(f.request("a"), "i1")); g != nil {
		t.Errorf("placed %+v on an engine that reports all its slots as used", g)
	}
}
