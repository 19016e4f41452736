package engines

import (
	"testing"
	"time"
)

// Guards against new requests to an engine that has announced that it leaves, while the
// list still shows it as ready; a new run of the engine is used again.
func TestEngineThatAnnouncedLeavingIsNotUsable(t *testing.T) {
	table := NewTable()
	table.Apply([]Change{{Entry: entry("1", 1)}})
	if !table.MarkLeaving(entry("1", 1)) || table.MarkLeaving(entry("1", 1)) {
		t.Error("the first announcement has to be new, and only the first")
	}
	table.Apply([]Change{{Entry: entry("1", 2)}})
	if table.ServiceEngines("s")[0].Usable() {
		t.Error("an engine that leaves is usable again by a newer entry of the same run")
	}
	restarted := entry("1", 3)
	restarted.Started = 8
	table.Apply([]Change{{Entry: restarted}})
	if !table.ServiceEngines("s")[0].Usable() {
		t.Error("a new run of the engine is not usable")
	}
	if table.MarkLeaving(entry("1", 1)) || !table.ServiceEngines("s")[0].Usable() {
		t.Error("an announcement of the earlier run was applied to the new one")
	}
}

// Guards against calls to an engine within the time for which it has asked for none.
func TestPausedEngineAcceptsNothingUntilItsEnd(t *testing.T) {
	now := time.Now()
	table := NewTable()
	table.Apply([]Change{{Entry: entry("1", 1)}, {Entry: entry("2", 1)}})
	list := table.ServiceEngines("s")
	table.PauseUntil(entry("1", 1), now.Add(3*time.Second), now)
	table.PauseUntil(entry("1", 1), now.Add(time.Second), now)
	if list[0].Accepts(now.Add(2*time.Second)) || !list[0].Usable() {
		t.Error("the shorter pause replaced the longer one, or the engine is not usable")
	}
	if !list[0].Accepts(now.Add(3 * time.Second)) {
		t.Error("the engine does not accept requests after the pause")
	}
	if !EarliestPauseEnd(list, now).IsZero() {
		t.Error("a pause end was returned although an engine accepts requests")
	}
	table.PauseUntil(entry("2", 1), now.Add(2*time.Second), now)
	if end := EarliestPauseEnd(list, now); !end.Equal(now.Add(2 * time.Second)) {
		t.Errorf("earliest end %v after now, want 2s", end.Sub(now))
	}
}

// Guards against an engine that is taken out of use for good by an absurd pause.
func TestAbsurdPauseIsLimited(t *testing.T) {
	now := time.Now()
	e := &Engine{}
	e.PauseUntil(now.Add(1000*time.Hour), now)
	if !e.Accepts(now.Add(maxPause)) {
		t.Errorf("the engine accepts nothing after %v", maxPause)
	}
}
