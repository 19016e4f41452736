package placement

import (
	"testing"
	"time"
)

func TestSlotOfAnEndingAnswerIsGivenAway(t *testing.T) {
	f := newFixture(t, 1)
	for range 2 {
		f.PrefillDone(granted(f.Submit(f.request("a"), "i1")).Lease)
	}
	// The longest answers end after 5 s at the slowest rate, the third prefill
	// takes 10 ms.
	r := f.request("a")
	r.FirstTokenDeadline = f.clock.Add(20 * time.Second)
	third := f.Submit(r, "i1")
	f.advance(4980 * time.Millisecond)
	if g := granted(third); g != nil {
		t.Fatalf("granted %+v while both answers go on for longer than the prefill", g)
	}
	f.advance(40 * time.Millisecond)
	if granted(third) == nil {
		t.Fatal("not granted although an answer ends while the prefill runs")
	}
}

func TestSlotOfAnOverdueAnswerIsKept(t *testing.T) {
	f := newFixture(t, 1)
	for range 2 {
		f.PrefillDone(granted(f.Submit(f.request("a"), "i1")).Lease)
	}
	f.advance(6 * time.Second)
	if g := granted(f.Submit(f.request("a"), "i1")); g != nil {
		t.Fatalf("granted %+v although the answers go on beyond their predicted ends", g)
	}
}
