package soak

import (
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/lab/fleet"
	"monsoonfork/lab/load"
	"monsoonfork/lab/workload"
)

// newRun returns a run of a fleet without processes.
func newRun(cfg Config) *run {
	cfg.Workload = workload.Tuinhulp()
	f := &fleet.Fleet{Store: &fleet.StandIn{Name: "store"}, InstanceList: &fleet.StandIn{Name: "list"}}
	for _, name := range []string{"a", "b", "c"} {
		f.Instances = append(f.Instances, &fleet.Instance{Name: "entry-" + name})
		f.Services = append(f.Services, &fleet.StandIn{Name: "service-" + name})
		f.Engines = append(f.Engines,
			fleet.Engine{StandIn: &fleet.StandIn{Name: "prefill-" + name}, Role: 0},
			fleet.Engine{StandIn: &fleet.StandIn{Name: "decode-" + name}, Role: 1})
	}
	return &run{
		cfg:          cfg,
		output:       io.Discard,
		fleet:        f,
		findings:     &findings{start: time.Now()},
		targetsInUse: make(map[string]bool),
		extraKeys:    make(map[string]ident.OrganisationID),
	}
}

// planLines returns comparable descriptions of planned faults.
func planLines(plan []plannedFault) []string {
	var lines []string
	for _, p := range plan {
		lines = append(lines, p.spec.name+" "+p.target.name+" "+p.start.String()+" "+p.length.String())
	}
	return lines
}

func TestPlanDependsOnlyOnSeed(t *testing.T) {
	cfg := Config{Seed: 5, Length: 10 * time.Minute}
	first, again := planLines(newRun(cfg).planFaults()), planLines(newRun(cfg).planFaults())
	if !reflect.DeepEqual(first, again) {
		t.Error("two plans from the same seed differ")
	}
	cfg.Seed = 6
	if reflect.DeepEqual(first, planLines(newRun(cfg).planFaults())) {
		t.Error("plans from two seeds are equal")
	}
	names := make(map[string]bool)
	for _, p := range newRun(cfg).planFaults() {
		names[p.spec.name] = true
	}
	if len(names) != len(faultTable()) {
		t.Errorf("the plan of ten minutes has %d of %d faults", len(names), len(faultTable()))
	}
}

// brokenPromises returns the promises of the findings of a run.
func brokenPromises(r *run) []Promise {
	var promises []Promise
	for _, f := range r.findings.all() {
		promises = append(promises, f.Promise)
	}
	return promises
}

// result returns the result of a request with one attempt for each outcome.
func result(kind workload.Kind, outcomes ...load.Outcome) load.Result {
	r := load.Result{Kind: kind, Reference: "r"}
	for _, o := range outcomes {
		r.Attempts = append(r.Attempts, load.Attempt{Outcome: o})
	}
	return r
}

func TestCheckAnswersAndRuns(t *testing.T) {
	cases := []struct {
		name   string
		result load.Result
		runs   []string
		want   []Promise
	}{
		{"succeeded", result(workload.Create, load.Complete), []string{"x"}, nil},
		{"unknown, did not run", result(workload.Create, load.MayHaveRun), nil, nil},
		{"refused", result(workload.Create, load.NotRun), nil, nil},
		{"incorrect", result(workload.Completion, load.Incorrect), nil, []Promise{AnswersAreRight}},
		{"ran twice", result(workload.Create, load.MayHaveRun, load.Complete), []string{"x", "y"}, []Promise{RunsAtMostOnce}},
		{"refused, but ran", result(workload.Create, load.NotRun), []string{"x"}, []Promise{NotRunIsTrue}},
		{"refused after an unknown outcome", result(workload.Create, load.MayHaveRun, load.NotRun), []string{"x"}, nil},
		{"answered, never ran", result(workload.Create, load.Complete), nil, []Promise{AnswersAreRight}},
	}
	for _, c := range cases {
		r := newRun(Config{})
		report := &load.Report{Results: []load.Result{c.result}}
		r.checkAnswers(report)
		r.checkRuns(report, map[string][]string{"POST r": c.runs})
		if got := brokenPromises(r); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestCheckRates(t *testing.T) {
	limit := workload.Tuinhulp().Organisations[0]
	for _, c := range []struct {
		charged     ident.Tokens
		wantFinding bool
	}{{limit.Burst, false}, {limit.Burst + 1, true}} {
		r := newRun(Config{})
		path := filepath.Join(t.TempDir(), "log")
		line := `{"Instance":"i","Organisation":"` + string(limit.Name) + `","Reservation":1,"Charged":` + strconv.FormatInt(int64(c.charged), 10) + `,"MonotonicNs":1}`
		if err := os.WriteFile(path, []byte(line+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		r.fleet.Instances[0].AdmissionLogs = []string{path}
		r.checkRates()
		if got := brokenPromises(r); (len(got) > 0) != c.wantFinding {
			t.Errorf("%d tokens admitted: broken promises %v", c.charged, got)
		}
	}
}
