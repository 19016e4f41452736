package stopping

import (
	"os"
	"slices"
	"testing"

	"monsoonfork/lab/load"
	"monsoonfork/lab/workload"
)

// longRunEnv is the environment variable that makes a run stop all eight instances
// in turn, and not just one of each failure domain.
const longRunEnv = "MONSOONFORK_STOP_ALL"

// stopCount returns the number of instances to stop.
func stopCount() int {
	if os.Getenv(longRunEnv) != "" {
		return 8
	}
	return 4
}

func TestPlannedStopsCutNoTuinhulpRequest(t *testing.T) { checkStops(t, workload.Tuinhulp()) }

func TestPlannedStopsCutNoTatrasoftRequest(t *testing.T) { checkStops(t, workload.Tatrasoft()) }

// checkStops stops instances under load and checks that each exits cleanly, hands
// over its slots and cuts no request.
func checkStops(t *testing.T, w workload.Workload) {
	if testing.Short() {
		t.Skip("runs eight instance processes")
	}
	verdict, err := Run(t.Context(), Config{Workload: w, Seed: 1, Rate: 90, Stops: stopCount(), TimeScale: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	open := int64(0)
	for _, s := range verdict.Stops {
		t.Logf("%s: %d requests open, ended %v after the signal", s.Instance, s.OpenRequests, s.Duration)
		open += s.OpenRequests
		if s.ExitErr != nil {
			t.Errorf("%s: %v", s.Instance, s.ExitErr)
		}
		if len(s.UnclaimedSlots) > 0 {
			t.Errorf("%s: slots without a new holder: %v", s.Instance, s.UnclaimedSlots)
		}
	}
	if open == 0 {
		t.Error("no instance had an open request when it was stopped")
	}
	checkAnswers(t, verdict.Report)
}

// checkAnswers checks that every request got a complete response, or was refused
// for a reason unrelated to a stop: the organisation's rate limit, overload, or one
// of allowedReasons.
func checkAnswers(t *testing.T, report *load.Report, allowedReasons ...string) {
	t.Helper()
	reasons := append([]string{"rate_limit_exceeded", "overloaded"}, allowedReasons...)
	refused := make(map[string]int)
	for i := range report.Results {
		r := &report.Results[i]
		last := r.Last()
		switch r.Outcome() {
		case load.Complete, load.CallerDisconnected:
		case load.NotRun:
			refused[last.ErrorType]++
			if !slices.Contains(reasons, last.ErrorType) {
				t.Errorf("request %d %v refused at %s: %s %s", r.Number, r.Kind, last.Target, last.ErrorType, last.Detail)
			}
		default:
			t.Errorf("request %d %v at %s: %v %s", r.Number, r.Kind, last.Target, last.Outcome, last.Detail)
		}
	}
	t.Logf("%d requests, %d complete, refused: %v", len(report.Results), report.Total(load.Complete), refused)
}

func TestLeavingEndpointsGetNoNewWork(t *testing.T) {
	if testing.Short() {
		t.Skip("runs eight instance processes")
	}
	l, err := RunLeaving(t.Context(), Config{Workload: workload.Tuinhulp(), Seed: 1, Rate: 60, TimeScale: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d units of work before the mark", len(l.BeforeMark))
	if len(l.BeforeMark) == 0 {
		t.Error("the endpoints had no work before they were marked")
	}
	for _, line := range l.LateWork {
		t.Error(line)
	}
	// At this store delay, claims of non-idempotent calls time out.
	checkAnswers(t, l.Report, "store_unavailable")
}
