package engines

import (
	"fmt"
	"testing"
	"time"

	"monsoonfork/core/ident"
)

// coldEntry returns an entry which says that its engine is cold.
func coldEntry(revision int64, cold time.Duration) Change {
	e := entry("1", revision)
	e.Cold, e.ColdRemaining = cold, cold
	return Change{Entry: e}
}

// checkCold checks which engines are cold.
func checkCold(t *testing.T, table *Table, when, want string) {
	t.Helper()
	var ids []ident.EndpointID
	for _, e := range table.All() {
		if e.IsCold() {
			ids = append(ids, e.ID)
		}
	}
	if got := fmt.Sprint(ids); got != want || table.ColdCount() != len(ids) {
		t.Errorf("%s: %s are cold, want %s", when, got, want)
	}
}

// TestEngineBecomesColdAgain guards against a normal rate of requests to an engine whose entry
// says that it has become cold again without a new start, and against one that counts as cold for
// good since the same entry is read again with each list.
func TestEngineBecomesColdAgain(t *testing.T) {
	const coldTime = 60 * time.Millisecond
	table := NewTable()
	table.Apply([]Change{{Entry: entry("1", 1)}, {Entry: entry("2", 1)}})
	sequence, sums := table.Since(0).Sequence, table.Checksums()
	table.Apply([]Change{coldEntry(2, coldTime)})
	checkCold(t, table, "with its entry", "[e-1]")
	if table.Since(sequence).Sequence == sequence || table.Checksums() == sums {
		t.Error("other instances do not get the change")
	}
	time.Sleep(coldTime)
	table.Apply([]Change{coldEntry(2, coldTime)})
	checkCold(t, table, "after its time", "[]")
	sums = table.Checksums()
	table.Apply([]Change{coldEntry(3, coldTime)})
	if checkCold(t, table, "again, with the same values", "[e-1]"); table.Checksums() == sums {
		t.Error("the checksums are those of the earlier entry")
	}
	table.Apply([]Change{{Entry: entry("1", 4)}})
	checkCold(t, table, "until its time is over", "[e-1]")
	for ms, want := range map[float64]time.Duration{-5: 0, 1500: 1500 * time.Millisecond, 1e300: maxColdTime} {
		if got := ColdTime(ms); got != want {
			t.Errorf("%v ms: %v, want %v", ms, got, want)
		}
	}
}

// TestOlderCopyMakesNoEngineCold guards against engines of which all count as cold, so that requests wait
// or are refused, since the store has come back from an older copy with the entries that are known.
func TestOlderCopyMakesNoEngineCold(t *testing.T) {
	const coldTime = 20 * time.Millisecond
	table := NewTable()
	table.Apply([]Change{coldEntry(2, coldTime)})
	time.Sleep(coldTime)
	sums := table.Checksums()
	table.Apply([]Change{coldEntry(era+2, coldTime)})
	checkCold(t, table, "with the copy", "[]")
	if table.Checksums() == sums {
		t.Error("the checksums are those of the earlier entry")
	}
	table.Apply([]Change{coldEntry(era+3, coldTime)})
	checkCold(t, table, "after it has become cold again", "[e-1]")
}

// TestEngineThatStartsDuringTrafficIsCold guards against a normal rate of requests to an engine
// that has just started, or whose failure domain was evacuated; and against limits for engines that
// start together with the instances, or are only listed again.
func TestEngineThatStartsDuringTrafficIsCold(t *testing.T) {
	now := time.Now()
	table := NewTable()
	table.SetColdness(Coldness{
		StartTime:    func(ident.ServiceID) time.Duration { return time.Minute },
		RunningSince: now.Add(-time.Hour),
		Now:          func() time.Time { return now },
	})
	apply := func(revision int64, ago map[string]time.Duration) {
		for id, d := range ago {
			e := entry(id, revision)
			e.Started = now.Add(-d).UnixMilli()
			table.Apply([]Change{{Entry: e}})
		}
	}
	apply(1, map[string]time.Duration{"early": 2 * time.Hour, "fleet": time.Hour - fleetStartTime/2, "listed again": 2 * time.Minute, "restarted": 2 * time.Hour})
	checkCold(t, table, "at the start", "[]")
	// The clock of the restarted engine is an hour behind.
	apply(2, map[string]time.Duration{"new": time.Second, "restarted": time.Hour})
	checkCold(t, table, "after a start", "[e-new e-restarted]")
	table.SetEvacuated([]ident.DomainID{"a"})
	checkCold(t, table, "in an evacuation", "[e-new e-restarted]")
	table.SetEvacuated(nil)
	checkCold(t, table, "after an evacuation", "[e-early e-fleet e-listed again e-new e-restarted]")
	if remaining := table.All()[0].CurrentEntry().ColdRemaining; remaining <= 50*time.Second || remaining > time.Minute {
		t.Errorf("an instance that starts now gets %v as the remaining time", remaining)
	}
}
