package placement

import (
	"testing"
	"time"
)

func TestLastSlotsAreKeptForRequestsWithLittleSlack(t *testing.T) {
	f := newFixture(t, 20) // 40 slots, of which one is kept.
	for range 39 {
		g := granted(f.Submit(f.request("a"), "i1"))
		if g == nil {
			t.Fatal("not granted although more slots are free than are kept")
		}
		f.PrefillDone(g.Lease)
		f.advance(20 * time.Millisecond)
	}
	relaxed := f.Submit(f.request("a"), "i1")
	if granted(relaxed) != nil {
		t.Fatal("a request that can wait was given the slot that is kept")
	}
	urgent := f.request("b")
	urgent.FirstTokenDeadline = f.clock.Add(150 * time.Millisecond)
	g := granted(f.Submit(urgent, "i1"))
	if g == nil {
		t.Fatal("a request with little slack was not given the slot that is kept")
	}
	f.PrefillDone(g.Lease)
	f.Release(g.Lease, Outcome{Result: Completed, OutputTokens: 100})
	f.advance(200 * time.Millisecond)
	if granted(relaxed) != nil {
		t.Fatal("the slot was given away before the slack was little")
	}
	f.advance(100 * time.Millisecond)
	if granted(relaxed) == nil {
		t.Fatal("a request was not given the slot that is kept when its slack had become little")
	}
}
