package matrix

import (
	"flag"
	"os"
	"sync"
	"testing"

	"monsoonfork/lab/process"
)

// parallelRuns is the number of fleets that run at a time.
const parallelRuns = 4

var tablePath = flag.String("table", "", "file to which the table of outcomes is written")

// shortEvents are the events that a short run has: one of each sort.
var shortEvents = []Event{RouteMoved, ConfigurationStorm, StopDraining, EngineRemoved, SuspendedAmidAnswers}

// events returns the events that the test runs.
func events() []Event {
	if testing.Short() {
		return shortEvents
	}
	var all []Event
	for e := range eventCount {
		all = append(all, e)
	}
	return all
}

// TestMatrix brings a request into each state, lets each event happen, and compares what
// becomes of the requests with what the rules allow.
func TestMatrix(t *testing.T) {
	runner, err := process.NewRunner()
	if err != nil {
		t.Fatal(err)
	}
	var (
		mu    sync.Mutex
		cells []Cell
		slots = make(chan struct{}, parallelRuns)
	)
	t.Run("events", func(t *testing.T) {
		for _, e := range events() {
			t.Run(e.String(), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				got, err := Run(t.Context(), runner, e)
				if err != nil {
					t.Error(err)
				}
				reportCells(t, got)
				mu.Lock()
				defer mu.Unlock()
				cells = append(cells, got...)
			})
		}
	})
	table := Table(cells)
	t.Log("\n" + table)
	if *tablePath != "" {
		if err := os.WriteFile(*tablePath, []byte(table), 0o600); err != nil {
			t.Error(err)
		}
	}
	if err := runner.Close(); err != nil {
		t.Error(err)
	}
}

// reportCells reports the cells whose outcome the rules do not allow.
func reportCells(t *testing.T, cells []Cell) {
	t.Helper()
	for _, c := range cells {
		if !c.OK() {
			t.Errorf("%v, %s: %s, want one of %v: %s", c.Events, c.Row, c.Outcome, c.Events.Allowed(c.Row), c.Detail)
		}
	}
}
