package engines

import (
	"strconv"
	"testing"
	"time"

	"monsoonfork/core/ident"
)

// entry returns an entry of the list.
func entry(id string, asOf int64) Entry {
	return Entry{ID: ident.EndpointID("e-" + id), Service: "s", Address: "127.0.0.1:1", Domain: "a", Slots: 1, Started: 7, AsOf: asOf}
}

// TestRemovalsWaitAfterAnOutage has entries lapse while the store is away.
func TestRemovalsWaitAfterAnOutage(t *testing.T) {
	now := time.Now()
	f := &Feed{Table: NewTable(), Now: func() time.Time { return now }}
	f.List([]Entry{entry("1", 1), entry("2", 2)}, 2)
	f.Regained(now)
	f.List(nil, 9)
	if got := len(f.Table.Of("s")); got != 2 {
		t.Fatalf("%d engines right after the return, want 2", got)
	}
	f.News([]Change{{Entry: entry("1", 10)}})
	now = now.Add(returnTime)
	f.release()
	list := f.Table.Of("s")
	if len(list) != 1 || list[0].ID != entry("1", 0).ID {
		t.Errorf("engines %v, want the one that came back", list)
	}
}

// TestOldNewsIsDropped gives news out of order.
func TestOldNewsIsDropped(t *testing.T) {
	table := NewTable()
	leaving := entry("1", 5)
	leaving.State = Leaving
	table.Apply([]Change{{Entry: leaving}})
	table.Apply([]Change{{Entry: entry("1", 4)}})
	if table.Of("s")[0].Usable() {
		t.Error("an engine that leaves was taken as ready by older news")
	}
	table.Apply([]Change{{Entry: Entry{ID: leaving.ID, AsOf: 6}, Removed: true}, {Entry: entry("1", 5)}})
	if got := len(table.Of("s")); got != 0 {
		t.Errorf("%d engines after a removal and older news", got)
	}
}

// TestNewRunKnowsNothing starts an engine again under its id.
func TestNewRunKnowsNothing(t *testing.T) {
	now := time.Now()
	table := NewTable()
	table.Apply([]Change{{Entry: entry("1", 1)}})
	old := table.Of("s")[0]
	old.Silent(now)
	again := entry("1", 2)
	again.Started = 8
	table.Apply([]Change{{Entry: again}})
	if old.Usable() {
		t.Error("the old run is still used")
	}
	if d := table.Of("s")[0].Doubt(now); d != 0 {
		t.Errorf("the new run is doubted: %v", d)
	}
}

// TestLoadSurvivesNews counts work across a change of state.
func TestLoadSurvivesNews(t *testing.T) {
	table := NewTable()
	table.Apply([]Change{{Entry: entry("1", 1)}})
	end := table.Of("s")[0].Begin(100)
	leaving := entry("1", 2)
	leaving.State = Leaving
	table.Apply([]Change{{Entry: leaving}})
	if got := table.Of("s")[0].Load().Running; got != 1 {
		t.Errorf("%d running, want 1", got)
	}
	end()
}

// TestSinceTellsRemovals follows a table through its news alone.
func TestSinceTellsRemovals(t *testing.T) {
	from, to := NewTable(), NewTable()
	copyNews := func(sequence int64) int64 {
		n := from.Since(sequence)
		to.Apply(n.Changes)
		return n.Sequence
	}
	from.Apply([]Change{{Entry: entry("1", 1)}, {Entry: entry("2", 2)}})
	at := copyNews(0)
	from.Apply([]Change{{Entry: Entry{ID: entry("1", 0).ID, AsOf: 3}, Removed: true}})
	at = copyNews(at)
	if got := len(to.Of("s")); got != 1 {
		t.Errorf("%d engines, want 1", got)
	}
	if n := from.Since(at); len(n.Changes) != 0 {
		t.Errorf("changes %v twice", n.Changes)
	}
}

// TestDoubtDecays lets an engine fail and waits.
func TestDoubtDecays(t *testing.T) {
	now := time.Now()
	e := &Engine{}
	e.Silent(now)
	if d := e.Doubt(now); d < 0.5 {
		t.Errorf("doubt %v after a call without an answer", d)
	}
	if d := e.Doubt(now.Add(5 * doubtHalfLife)); d > 0.05 {
		t.Errorf("doubt %v long after", d)
	}
}

// TestPartsThatDiffer has one table learn from another by the parts that differ.
func TestPartsThatDiffer(t *testing.T) {
	from, to := NewTable(), NewTable()
	var all []Entry
	for n := range 1000 {
		all = append(all, entry(strconv.Itoa(n), 1))
	}
	from.Replace(all, 1)
	learn := func() int {
		n := from.Differing(to.Sums(), 0, 2000)
		entries := make([]Entry, 0, len(n.Changes))
		for _, c := range n.Changes {
			entries = append(entries, c.Entry)
		}
		to.ReplaceParts(n.Parts, entries, n.Revision)
		if from.Sums() != to.Sums() || len(from.All()) != len(to.All()) {
			t.Errorf("the tables differ: %d and %d engines", len(from.All()), len(to.All()))
		}
		return len(n.Changes)
	}
	if n := learn(); n != 1000 {
		t.Errorf("an empty table was told %d entries", n)
	}
	if n := learn(); n != 0 {
		t.Errorf("an equal table was told %d entries", n)
	}
	leaving := all[7]
	leaving.State, leaving.AsOf = Leaving, 2
	from.Apply([]Change{{Entry: leaving}, {Entry: Entry{ID: all[8].ID, AsOf: 3}, Removed: true}, {Entry: entry("new", 4)}})
	if n := learn(); n > 3*1000/Parts*2 {
		t.Errorf("three changes told %d entries", n)
	}
	part := from.Differing(Sums{}, Parts-1, 50)
	if len(part.Changes) < 50 || len(part.Changes) > 100 || !part.More || part.Parts[0] != Parts-1 || part.Parts[1] != 0 {
		t.Errorf("%d entries of the parts %v, more %v", len(part.Changes), part.Parts, part.More)
	}
	again := all[9]
	again.AsOf = 5
	from.Apply([]Change{{Entry: again}})
	if n := learn(); n != 0 {
		t.Errorf("a newer revision of the same entry told %d entries", n)
	}
	from.Apply([]Change{{Entry: Entry{ID: all[8].ID, AsOf: 6}, Removed: true}, {Entry: entry(string(all[8].ID), 7)}})
	learn()
}
