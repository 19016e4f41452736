package engines

import (
	"fmt"
	"testing"
	"time"

	"monsoonfork/core/ident"
)

// era is the distance between the revisions of two eras of the store.
const era = 1 << 42

// resetFeed is a feed under test, with its clock and the returns that its table has reported.
type resetFeed struct {
	*Feed
	now     time.Time
	returns []string
}

// newResetTestFeed returns a feed with the ready engines 1 and 2 as of era 0.
func newResetTestFeed() *resetFeed {
	f := &resetFeed{now: time.Now()}
	f.Feed = &Feed{Table: NewTable(), Now: func() time.Time { return f.now }}
	f.Table.SetOnReturns(func(list []Return) {
		for _, r := range list {
			f.returns = append(f.returns, fmt.Sprint(r.Entry.ID, " ", r.Outcome, " ", r.Announced))
		}
	})
	f.ReplaceAll([]Entry{entry("1", 1), entry("2", 2)}, 10)
	return f
}

// restore has the store come back with a copy in the next era that lists the entries.
func (f *resetFeed) restore(n int64, entries ...Entry) {
	f.StoreReset(f.now)
	for i := range entries {
		entries[i].ListRevision = n*era + int64(i+1)
	}
	f.ReplaceAll(entries, n*era+9)
}

// wait lets a time pass and ends the delays that are over.
func (f *resetFeed) wait(d time.Duration) {
	f.now = f.now.Add(d)
	f.applyHeld()
}

// usableIDs returns the ids of the usable engines.
func (f *resetFeed) usableIDs() string {
	var ids []ident.EndpointID
	for _, e := range f.Table.All() {
		if e.Usable() {
			ids = append(ids, e.ID)
		}
	}
	return fmt.Sprint(ids)
}

// check fails the test unless the usable engines are as given.
func (f *resetFeed) check(t *testing.T, when, want string) {
	t.Helper()
	if got := f.usableIDs(); got != want {
		t.Errorf("usable engines %s: %s, want %s", when, got, want)
	}
}

// TestRemovedEngineStaysOutWhileItsRemovalIsWrittenAgain guards against requests to an engine that has
// left, since an older copy of the store has its entry, also after a second drill.
func TestRemovedEngineStaysOutWhileItsRemovalIsWrittenAgain(t *testing.T) {
	f := newResetTestFeed()
	f.ApplyChanges([]Change{removed("1", 11)})
	for n := int64(1); n <= 2; n++ {
		f.restore(n, entry("1", 0), entry("2", 0))
		f.check(t, "after the return", "[e-2]")
		f.wait(removalHoldTime / 2)
		f.check(t, "within the delay", "[e-2]")
	}
	f.ApplyChanges([]Change{removed("1", 2*era+20)})
	f.wait(removalHoldTime)
	f.check(t, "after the delay", "[e-2]")
	f.Table.Apply([]Change{{Entry: entry("1", 2*era+1)}}) // From an instance that does not know of the removal yet.
	f.check(t, "after the same entry again", "[e-2]")
	if got := fmt.Sprint(f.returns); got != "[e-1 Delayed false e-1 Delayed false e-1 Cancelled false]" {
		t.Errorf("reported returns: %s", got)
	}
}

// TestEntryThatStandsAfterTheDelayIsUsed guards against an engine that stays out of use though its entry
// still stands: it was taken for gone, but runs. What it has announced itself holds.
func TestEntryThatStandsAfterTheDelayIsUsed(t *testing.T) {
	for _, announced := range []bool{false, true} {
		f := newResetTestFeed()
		f.ApplyChanges([]Change{removed("1", 11)})
		if announced {
			f.Table.MarkLeaving(entry("1", 1))
		}
		f.restore(1, entry("1", 0), entry("2", 0))
		f.wait(removalHoldTime)
		want := "[e-1 e-2]"
		if announced {
			want = "[e-2]"
		}
		f.check(t, fmt.Sprintf("after the delay, announced %v", announced), want)
		if len(f.Table.All()) != 2 || fmt.Sprint(f.returns) != fmt.Sprintf("[e-1 Delayed %v e-1 Applied %v]", announced, announced) {
			t.Errorf("%d engines, reported returns %v", len(f.Table.All()), f.returns)
		}
	}
}

// TestNewRunIsUsedAtOnceAfterOlderCopy guards against a delay of engines that have just started, under
// the id of one that has left or at another address.
func TestNewRunIsUsedAtOnceAfterOlderCopy(t *testing.T) {
	restarted, moved := entry("1", 0), entry("1", 0)
	restarted.Started, moved.Address = 99, "h:9"
	for _, e := range []Entry{restarted, moved, entry("3", 0)} {
		f := newResetTestFeed()
		f.ApplyChanges([]Change{removed("1", 11)})
		f.restore(1, entry("2", 0), e)
		f.check(t, "after the return", fmt.Sprint([]ident.EndpointID{min(e.ID, "e-2"), max(e.ID, "e-2")}))
	}
}

// TestOlderCopyDoesNotBringBackTheRunBeforeARestart guards against an engine whose present run is
// replaced by the one before, which the older copy has.
func TestOlderCopyDoesNotBringBackTheRunBeforeARestart(t *testing.T) {
	f := newResetTestFeed()
	restarted := entry("1", 11)
	restarted.Started = 99
	f.ApplyChanges([]Change{{Entry: restarted}})
	f.restore(1, entry("1", 0), entry("2", 0))
	if e := f.Table.Current(restarted); e == nil {
		t.Error("the present run is not listed any more")
	}
	restarted.ListRevision = era + 20
	f.ApplyChanges([]Change{{Entry: restarted}}) // It registers again.
	f.wait(removalHoldTime)
	if e := f.Table.Current(restarted); e == nil || len(f.Table.All()) != 2 {
		t.Error("the run before the restart is listed after the delay")
	}
}

// TestOutageAfterOlderCopyExtendsTheDelay guards against a list from after an outage that is believed,
// though the removal could not be written again in the outage.
func TestOutageAfterOlderCopyExtendsTheDelay(t *testing.T) {
	f := newResetTestFeed()
	f.ApplyChanges([]Change{removed("1", 11)})
	f.restore(1, entry("1", 0), entry("2", 0))
	f.wait(removalHoldTime / 2)
	f.StoreLost()
	f.wait(2 * removalHoldTime)
	f.StoreRecovered(f.now)
	f.ReplaceAll([]Entry{entry("1", era+1), entry("2", era+2)}, era+9)
	f.check(t, "after the outage", "[e-2]")
	f.ApplyChanges([]Change{removed("1", era+20)})
	f.wait(removalHoldTime)
	f.check(t, "after the removal is written again", "[e-2]")
}

// TestDelayOfOthersExtendsTheDelayOfReturns guards against an instance that pulls from others and, as it
// does not call the store, ends its delay while the store is away for all.
func TestDelayOfOthersExtendsTheDelayOfReturns(t *testing.T) {
	f := newResetTestFeed()
	f.ApplyChanges([]Change{removed("1", 11)})
	accepted := 0
	f.OnReturnsAccepted = func() { accepted++ }
	f.StoreReset(f.now)
	for range 4 {
		f.wait(othersHoldTime / 2)
		f.SetOthersHold(true)
	}
	f.wait(othersHoldTime / 2)
	f.Table.Apply([]Change{{Entry: entry("1", era+1)}})
	f.check(t, "while others delay removals", "[e-2]")
	f.SetOthersHold(false)
	f.wait(0)
	f.Table.Apply([]Change{{Entry: entry("1", era+1)}})
	f.check(t, "after the others' delay", "[e-1 e-2]")
	if accepted != 1 {
		t.Errorf("the end of the delay was reported %d times, want once", accepted)
	}
}

// TestReturnFromAnotherInstanceIsLeftOut guards against an engine that has left and is used again since
// another instance, which does not know of it, believes the older copy; in changes and in whole
// partitions.
func TestReturnFromAnotherInstanceIsLeftOut(t *testing.T) {
	f := newResetTestFeed()
	f.ApplyChanges([]Change{removed("1", 11)})
	f.StoreReset(f.now)
	f.Table.Apply([]Change{{Entry: entry("1", era+1)}})
	f.check(t, "after a change", "[e-2]")
	f.Table.ReplacePartitions([]int{partitionOf("e-1")}, []Entry{entry("1", era+1)}, era+5)
	f.check(t, "after a partition", "[e-2]")
	f.wait(removalHoldTime)
	f.Table.ReplacePartitions([]int{partitionOf("e-1")}, []Entry{entry("1", era+1)}, era+5)
	f.check(t, "after the delay", "[e-1 e-2]")
}

// TestEndOfFollowingKeepsReturnsOut guards against an engine that has left and is used again as the
// instance stops following the store within the delay, in an outage or not.
func TestEndOfFollowingKeepsReturnsOut(t *testing.T) {
	for _, outage := range []bool{false, true} {
		f := newResetTestFeed()
		f.ApplyChanges([]Change{removed("1", 11)})
		accepted := 0
		f.OnReturnsAccepted = func() { accepted++ }
		f.restore(1, entry("1", 0), entry("2", 0))
		if outage {
			f.StoreLost()
			f.wait(removalHoldTime)
		}
		f.DiscardHeld()
		f.wait(removalHoldTime / 2)
		f.Table.Apply([]Change{{Entry: entry("1", era+1)}})
		f.check(t, "within the delay", "[e-2]")
		f.wait(removalHoldTime)
		f.check(t, "after the delay, without another entry", "[e-2]")
		if accepted != 1 {
			t.Errorf("the end of the delay was reported %d times, want once", accepted)
		}
	}
}

// TestNewestDelayedChangeIsKept guards against an older change of an engine that replaces a newer one
// since it arrives later: of its return from Leaving to Ready and its removal, one would be lost.
func TestNewestDelayedChangeIsKept(t *testing.T) {
	ready := Change{Entry: entry("1", era+20)}
	for name, c := range map[string]struct {
		changes []Change
		want    string
	}{
		"older removal last":  {[]Change{ready, removed("1", era+15)}, "[e-1 e-2]"},
		"newer removal first": {[]Change{removed("1", era+25), ready}, "[e-2]"},
		"in their order":      {[]Change{ready, removed("1", era+25)}, "[e-2]"},
	} {
		f := newResetTestFeed()
		leaving := entry("1", 11)
		leaving.State = Leaving
		f.ApplyChanges([]Change{{Entry: leaving}})
		f.restore(1, leaving, entry("2", 0))
		f.ApplyChanges(c.changes)
		f.wait(removalHoldTime)
		f.check(t, name, c.want)
	}
}

// TestLapsedEnginesAreKeptAfterOlderCopy guards against a delay of engines whose entries lapsed while the
// store was away: they are not removed meanwhile, and not held back as they register again.
func TestLapsedEnginesAreKeptAfterOlderCopy(t *testing.T) {
	f := newResetTestFeed()
	f.StoreLost()
	f.ApplyChanges([]Change{removed("1", 11)})
	f.restore(1, entry("2", 0))
	f.StoreRecovered(f.now)
	f.check(t, "after the return", "[e-1 e-2]")
	f.ApplyChanges([]Change{{Entry: entry("1", era+20)}})
	f.wait(removalHoldTime)
	f.check(t, "after it has registered again", "[e-1 e-2]")
}

// TestChangedSlotsOfARunAreUsedAtOnceAfterOlderCopy guards against a delay of an entry of a run that has
// not left, in which a field differs from the one of the copy.
func TestChangedSlotsOfARunAreUsedAtOnceAfterOlderCopy(t *testing.T) {
	f := newResetTestFeed()
	larger := entry("1", 11)
	larger.Slots = 4
	f.ApplyChanges([]Change{{Entry: larger}})
	f.Table.MarkLeaving(larger)
	f.restore(1, entry("1", 0), entry("2", 0))
	if slots := f.Table.All()[0].CurrentEntry().Slots; slots != 1 {
		t.Errorf("%d slots, want 1 as in the copy", slots)
	}
	f.check(t, "after an announcement of the run", "[e-2]")
}
