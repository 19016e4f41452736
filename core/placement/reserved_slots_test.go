package placement

import (
	"testing"
	"time"
)

func TestReservedSlotsAreOnlyForUrgentRequests(t *testing.T) {
	f := newFixture(t, 20) // 40 decode slots, one of them reserved.
	for range 39 {
		g := granted(f.Submit(f.request("a"), "i1"))
		if g == nil {
			t.Fatal("not granted although an unreserved slot is free")
		}
		f.PrefillDone(g.Lease)
		f.advance(20 * time.Millisecond)
	}
	relaxed := f.Submit(f.request("a"), "i1")
	if granted(relaxed) != nil {
		t.Fatal("a request that is not urgent got the reserved slot")
	}
	urgent := f.request("b")
	urgent.FirstTokenDeadline = f.clock.Add(150 * time.Millisecond)
	g := granted(f.Submit(urgent, "i1"))
	if g == nil {
		t.Fatal("an urgent request did not get the reserved slot")
	}
	f.PrefillDone(g.Lease)
	f.Release(g.Lease, Outcome{Result: Completed, OutputTokens: 100})
	f.advance(200 * time.Millisecond)
	if granted(relaxed) != nil {
		t.Fatal("the request got the reserved slot before it became urgent")
	}
	f.advance(100 * time.Millisecond)
	if granted(relaxed) == nil {
		t.Fatal("the request did not get the reserved slot after it became urgent")
	}
}
