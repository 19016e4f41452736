package engines

import (
	"fmt"
	"testing"
	"time"
)

// removed returns the removal of an engine.
func removed(id string, revision int64) Change {
	return Change{Entry: Entry{ID: entry(id, 0).ID, ListRevision: revision}, Removed: true}
}

// TestAnnouncementOutlastsTheEntry guards against requests to an engine that has said that it leaves or
// wants none for a while, since its entry lapsed and came back, whether it said so before or after.
func TestAnnouncementOutlastsTheEntry(t *testing.T) {
	for name, say := range map[string]func(t *Table, now time.Time){
		"leaves": func(t *Table, _ time.Time) { t.MarkLeaving(entry("1", 1)) },
		"pauses": func(t *Table, now time.Time) { t.PauseUntil(entry("1", 1), now.Add(time.Minute), now) },
	} {
		for _, removedBefore := range []bool{false, true} {
			now, table := time.Now(), NewTable()
			table.Apply([]Change{{Entry: entry("1", 1)}})
			if !removedBefore {
				say(table, now)
			}
			table.Apply([]Change{removed("1", 2)})
			if removedBefore {
				say(table, now)
			}
			table.Apply([]Change{{Entry: entry("1", 3)}})
			if e := table.ServiceEngines("s")[0]; e.Accepts(now) {
				t.Errorf("an engine that %s accepts requests since it is listed again; removed before it said so: %v", name, removedBefore)
			}
		}
	}
}

// TestAnnouncementOutlastsTheLeavingState guards against requests to an engine that has said that it
// leaves while its entry said the same, since the entry shows it as ready again.
func TestAnnouncementOutlastsTheLeavingState(t *testing.T) {
	table := NewTable()
	leaving := entry("1", 1)
	leaving.State = Leaving
	table.Apply([]Change{{Entry: leaving}})
	if table.MarkLeaving(leaving) {
		t.Error("the announcement of a leaving engine is reported as new")
	}
	table.Apply([]Change{{Entry: entry("1", 2)}})
	if table.ServiceEngines("s")[0].Usable() {
		t.Error("the engine is usable")
	}
}

// TestAnnouncementOfUnknownStartIsForgotten guards against an engine that is out of use for good: its
// start is not known, so that it can't be told from the run before, which has said that it leaves.
func TestAnnouncementOfUnknownStartIsForgotten(t *testing.T) {
	table := NewTable()
	unknown := entry("1", 1)
	unknown.Started = 0
	table.Apply([]Change{{Entry: unknown}})
	table.MarkLeaving(unknown)
	table.Apply([]Change{removed("1", 2)})
	unknown.ListRevision = 3
	table.Apply([]Change{{Entry: unknown}})
	if !table.ServiceEngines("s")[0].Usable() {
		t.Error("the engine is not usable")
	}
}

// TestEndedRunsAreBounded guards against a table that keeps each run that was ever listed.
func TestEndedRunsAreBounded(t *testing.T) {
	table := NewTable()
	for n := range int64(2 * maxEndedRuns) {
		id := fmt.Sprint(n)
		table.Apply([]Change{{Entry: entry(id, 2*n+1)}})
		table.Apply([]Change{removed(id, 2*n+2)})
	}
	if n := table.ended.byRun.Len(); n != maxEndedRuns {
		t.Errorf("%d ended runs are kept, want %d", n, maxEndedRuns)
	}
}
