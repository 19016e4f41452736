package stopping

import (
	"os"
	"slices"
	"testing"

	"monsoonfork/lab/load"
	"monsoonfork/lab/workload"
)

// longRunEnv, if set, makes all eight instances stop in turn, and not just one
// of each failure domain.
const longRunEnv = "MONSOONFORK_STOP_ALL"

// stops returns how many instances a run stops.
func stops() int {
	if os.Getenv(longRunEnv) != "" {
		return 8
	}
	return 4
}

func TestPlannedStopsCutNoSummary(t *testing.T) { checkStops(t, workload.Tuinhulp()) }

func TestPlannedStopsCutNoOrder(t *testing.T) { checkStops(t, workload.Tatrasoft()) }

// checkStops stops instances under a workload and checks what must hold.
func checkStops(t *testing.T, w workload.Workload) {
	if testing.Short() {
		t.Skip("takes eight processes")
	}
	verdict, err := Run(t.Context(), Config{Workload: w, Seed: 1, Rate: 90, Stops: stops(), TimeScale: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	open := int64(0)
	for _, s := range verdict.Stops {
		t.Logf("%s: %d requests open, ended %v after the signal", s.Instance, s.Open, s.Took)
		open += s.Open
		if s.Err != nil {
			t.Errorf("%s: %v", s.Instance, s.Err)
		}
		if len(s.Left) > 0 {
			t.Errorf("%s: slots without a new holder: %v", s.Instance, s.Left)
		}
	}
	if open == 0 {
		t.Error("no instance had an open request when it was stopped")
	}
	checkAnswers(t, verdict.Report)
}

// checkAnswers checks that every request was answered whole, or refused for a
// reason that has nothing to do with a stop: the organisation's rate, a full
// fleet, or one of those given.
func checkAnswers(t *testing.T, report *load.Report, more ...string) {
	t.Helper()
	reasons := append([]string{"rate_limit_exceeded", "overloaded"}, more...)
	refused := make(map[string]int)
	for i := range report.Results {
		r := &report.Results[i]
		last := r.Last()
		switch r.Outcome() {
		case load.Whole, load.Left:
		case load.NotRun:
			refused[last.ErrorType]++
			if !slices.Contains(reasons, last.ErrorType) {
				t.Errorf("request %d %v refused at %s: %s %s", r.Number, r.Kind, last.Target, last.ErrorType, last.Detail)
			}
		default:
			t.Errorf("request %d %v at %s: %v %s", r.Number, r.Kind, last.Target, last.Outcome, last.Detail)
		}
	}
	t.Logf("%d requests, %d whole, refused: %v", len(report.Results), report.Total(load.Whole), refused)
}

func TestLeavingEndpointsGetNoNewWork(t *testing.T) {
	if testing.Short() {
		t.Skip("takes eight processes")
	}
	l, err := RunLeaving(t.Context(), Config{Workload: workload.Tuinhulp(), Seed: 1, Rate: 60, TimeScale: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d pieces of work before the mark", len(l.Before))
	if len(l.Before) == 0 {
		t.Error("the endpoints had no work before they were marked")
	}
	for _, line := range l.Late {
		t.Error(line)
	}
	// Claims of calls that may not be repeated time out at a store this slow.
	checkAnswers(t, l.Report, "store_unavailable")
}
