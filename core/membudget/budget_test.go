package membudget

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// TestLimitFollowsMemory guards against a limit that exceeds a small instance's memory.
func TestLimitFollowsMemory(t *testing.T) {
	for memoryMB, want := range map[float64]Bytes{0: defaultLimit, 112: 28_000_000, 134: 33_500_000} {
		if got := LimitFor(memoryMB); got != want {
			t.Errorf("MemoryMB %g: limit %d, want %d", memoryMB, got, want)
		}
	}
}

// TestReserveStopsAtLimit guards against a sum that grows with the number of holders.
func TestReserveStopsAtLimit(t *testing.T) {
	b := New(100)
	first, second := b.Open(time.Now()), b.Open(time.Now())
	if !first.Reserve(60) || second.Reserve(50) || !second.Reserve(40) {
		t.Error("a reservation above the limit was granted, or one within it refused")
	}
	if b.Held() != 100 || !b.IsScarce() {
		t.Errorf("%d bytes held, scarce %v", b.Held(), b.IsScarce())
	}
	first.Close()
	if b.Held() != 40 || b.IsScarce() {
		t.Errorf("%d bytes held after a close, scarce %v", b.Held(), b.IsScarce())
	}
}

// TestClosedHolderCountsNothing guards against bytes that stay counted, as they were added or
// released while their holder was being closed.
func TestClosedHolderCountsNothing(t *testing.T) {
	b := New(1 << 20)
	for range 200 {
		h := b.Open(time.Now())
		h.Add(100)
		var wg sync.WaitGroup
		wg.Go(func() { h.Add(10); h.Release(10) })
		wg.Go(func() { h.Release(50) })
		wg.Go(h.Close)
		wg.Wait()
	}
	if b.Held() != 0 {
		t.Errorf("%d bytes held by closed holders", b.Held())
	}
}

// endings records the holders that were ended, in order.
type endings struct {
	budget *Budget
	names  []string
}

// open opens a holder with bytes and a time without progress.
func (e *endings) open(name string, held Bytes, now time.Time, stalled time.Duration) *Holder {
	h := e.budget.Open(now.Add(-stalled), WithEnd(func() { e.names = append(e.names, name) }))
	h.Add(held)
	return h
}

// TestStalledHoldersAreEndedFirst guards against the end of a holder that makes progress, or
// of one that holds little while another holds much.
func TestStalledHoldersAreEndedFirst(t *testing.T) {
	now := time.Now()
	e := &endings{budget: New(1000)}
	e.open("progressing", 500, now, time.Second)
	e.open("long, little", 10, now, time.Minute)
	e.open("long, much", 200, now, time.Minute)
	e.open("short, much", 200, now, stallTime)
	e.budget.EndStalled(now)
	if want := []string{"long, much"}; !slices.Equal(e.names, want) {
		t.Errorf("ended %q, want %q", e.names, want)
	}
	e.open("another", 300, now, 0)
	e.budget.EndStalled(now)
	if want := []string{"long, much", "short, much", "long, little"}; !slices.Equal(e.names, want) {
		t.Errorf("ended %q, want %q", e.names, want)
	}
}

// TestNothingIsEndedWithoutNeed guards against the end of stalled holders while there is memory.
func TestNothingIsEndedWithoutNeed(t *testing.T) {
	now := time.Now()
	e := &endings{budget: New(1000)}
	e.open("stalled", 700, now, time.Minute)
	if e.budget.EndStalled(now); e.names != nil {
		t.Errorf("ended %q", e.names)
	}
}

// TestSuspensionIsNoStall guards against the end of holders whose peers could make no progress
// as this process was suspended.
func TestSuspensionIsNoStall(t *testing.T) {
	now := time.Now()
	e := &endings{budget: New(1000)}
	e.budget.EndStalled(now)
	e.open("waiting", 900, now, 0)
	now = now.Add(2 * stallTime)
	e.budget.EndStalled(now)
	e.budget.EndStalled(now.Add(maxCheckGap))
	if e.names != nil {
		t.Errorf("ended %q", e.names)
	}
	for range 5 {
		now = now.Add(maxCheckGap)
		e.budget.EndStalled(now)
	}
	if want := []string{"waiting"}; !slices.Equal(e.names, want) {
		t.Errorf("ended %q, want %q", e.names, want)
	}
}
