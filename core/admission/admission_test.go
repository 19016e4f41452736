package admission

import (
	"math"
	"testing"
	"time"
)

// TestOddPrioritiesHaveAClass guards against a panic, or a request that is put before the most
// urgent ones, because of a priority outside the range.
func TestOddPrioritiesHaveAClass(t *testing.T) {
	for priority, want := range map[int]Class{math.MinInt: 0, -1: 0, 0: 0, 3: 3, 9: 9, 10: 9, math.MaxInt: 9} {
		if got := ClassOf(priority); got != want {
			t.Errorf("priority %d: class %d, want %d", priority, got, want)
		}
	}
	set := ClassSet(0).With(0).With(3).With(9)
	if set.MoreUrgentThan(0) != 0 || set.MoreUrgentThan(9) != 2 || set.LessUrgentThan(9) != 0 || set.LessUrgentThan(0) != 2 || !set.HasOtherThan(9) {
		t.Errorf("wrong counts of the set %b", set)
	}
}

// TestClassWithoutServiceIsStarved guards against requests that are never served while all
// capacity goes to more urgent ones, and against a protection that ends the order of the classes.
func TestClassWithoutServiceIsStarved(t *testing.T) {
	now := time.Now()
	var h History
	for i := range 40 {
		now = now.Add(100 * time.Millisecond)
		h.RecordOutcome(0, false, true, now)
		h.RecordOutcome(1, false, i%2 == 0, now)
		h.RecordOutcome(2, i%4 == 0, i%4 == 1, now)
	}
	if h.IsStarved(0, now) || h.IsStarved(1, now) || !h.IsStarved(2, now.Add(-time.Second)) && h.IsStarved(1, now) {
		t.Error("a class that is served about as often as all counts as starved")
	}
	for range 20 {
		h.RecordOutcome(2, false, false, now)
	}
	if !h.IsStarved(2, now) || h.IsStarved(2, now.Add(10*historyWindow)) {
		t.Error("a class that is hardly served must count as starved until that is long ago")
	}
	if !h.AreLargeStarved(2, now) || h.AreLargeStarved(1, now) {
		t.Error("large requests that are never served must count as starved")
	}
}

// TestWaitingExpires guards against less urgent requests that are held back for requests that wait
// no more, or by an instance that no longer reports.
func TestWaitingExpires(t *testing.T) {
	now := time.Now()
	p := NewPressure(func() time.Time { return now })
	p.Record("s", 4, now.Add(time.Second))
	p.Record("s", 4, now)
	p.SetOthers(Waiting{"s": ClassSet(0).With(1), "t": 2}, now.Add(2*time.Second))
	if got := p.Classes("s"); got != ClassSet(0).With(1).With(4) {
		t.Errorf("classes %b", got)
	}
	now = now.Add(time.Second)
	if own := p.Own(); len(own) != 0 || p.Classes("s") != ClassSet(0).With(1) {
		t.Errorf("own %v, all %b after the time of the own request", own, p.Classes("s"))
	}
	now = now.Add(time.Second)
	if p.Classes("s") != 0 || p.Classes("t") != 0 {
		t.Error("classes of other instances count after the report has expired")
	}
}

// TestRetryDelays guards against delays that are so long that callers do not return, and against
// less urgent requests that return before the most urgent ones.
func TestRetryDelays(t *testing.T) {
	const left = 14 * time.Second
	previous := time.Duration(0)
	for n := range 3 {
		d := RetryDelay(n, left, 0.5)
		if d <= previous || d > left/3 {
			t.Errorf("%d more urgent classes: delay of %v after one of %v", n, d, previous)
		}
		previous = d
	}
	for _, left := range []time.Duration{left, time.Second, -time.Second} {
		if d := RetryDelay(9, left, 0.999); d < minRetryDelay || d > max(left/3, 2*minRetryDelay) {
			t.Errorf("%v left: delay of %v", left, d)
		}
	}
}
