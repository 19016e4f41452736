package soak

import (
	"reflect"
	"testing"
	"time"

	"monsoonfork/core/config"
	"monsoonfork/io/standin/engine"
	"monsoonfork/lab/load"
	"monsoonfork/lab/workload"
)

// newRunWithAddresses returns a run without processes whose instances have caller addresses.
func newRunWithAddresses() *run {
	r := newRun(Config{})
	for _, i := range r.fleet.Instances {
		i.Settings.CallerAddress = "127.0.0.1:1"
	}
	r.fleet.Instances[0].Settings.CallerAddress = "127.0.0.1:2"
	return r
}

func TestCheckCutAnswers(t *testing.T) {
	cases := []struct {
		name      string
		outcome   load.Outcome
		errorType string // Error type of the error event in the answer; empty without one.
		cause     string // Cause of the outage of the instance meanwhile.
		want      []Promise
	}{
		{"no answer", load.NoAnswer, "", "", []Promise{AnswersAreNotCut}},
		{"truncated", load.Truncated, "", "", []Promise{AnswersAreNotCut}},
		{"truncated with an error event", load.Truncated, "answer_broken", "", nil},
		{"killed", load.NoAnswer, "", causeKilled, nil},
		{"paused", load.NoAnswer, "", causePaused, nil},
		{"planned stop", load.NoAnswer, "", causeStopped, []Promise{PlannedStopCutsNone}},
		{"cut off", load.Truncated, "", causeCutOff, []Promise{AnswersAreNotCut}},
		{"complete", load.Complete, "", "", nil},
	}
	for _, c := range cases {
		r := newRunWithAddresses()
		if c.cause != "" {
			r.beginOutage(r.fleet.Instances[0], c.cause)
		}
		result := load.Result{Kind: workload.Lookup, Attempts: []load.Attempt{{
			Target: "127.0.0.1:2", Started: time.Now(), Latency: time.Second, Outcome: c.outcome, ErrorType: c.errorType,
		}}}
		r.checkCutAnswers(&load.Report{Results: []load.Result{result}})
		if got := brokenPromises(r); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestCheckWorkWhileLeaving(t *testing.T) {
	begin := time.Now()
	cases := []struct {
		name         string
		endpoint     string
		after        time.Duration // Start of the work, relative to the beginning of the leaving period.
		senderPaused bool
		wantFinding  bool
	}{
		{"before the bound", "decode-a", -time.Second, false, false},
		{"after the bound", "decode-a", time.Second, false, true},
		{"another endpoint", "decode-b", time.Second, false, false},
		{"serves again", "decode-a", time.Minute, false, false},
		{"sent by an instance that was paused", "decode-a", time.Second, true, false},
	}
	for _, c := range cases {
		r := newRun(Config{})
		r.leavingPeriods = []*leavingPeriod{{endpoint: "decode-a", begin: begin, end: begin.Add(30 * time.Second)}}
		if c.senderPaused {
			r.beginOutage(r.fleet.Instances[0], causePaused)
		}
		r.checkWorkWhileLeaving(c.endpoint, "entry-a", begin.Add(c.after), "x")
		if got := brokenPromises(r); (len(got) > 0) != c.wantFinding {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestRecordAcceptanceFindsDuplicateRevision(t *testing.T) {
	r := newRun(Config{})
	r.recordAcceptance(config.ApplyResult{Revision: 2, EditID: "a"}, nil, 1)
	if got := brokenPromises(r); len(got) > 0 {
		t.Errorf("first edit: %v", got)
	}
	r.recordAcceptance(config.ApplyResult{Revision: 2, EditID: "b"}, nil, 1)
	if got := brokenPromises(r); !reflect.DeepEqual(got, []Promise{EditsAreNotLost}) {
		t.Errorf("second edit: %v", got)
	}
}

func TestCheckUnauthorisedRuns(t *testing.T) {
	r := newRun(Config{})
	r.checkUnauthorisedRuns(map[string][]string{"GET r": {"x"}})
	if got := brokenPromises(r); len(got) > 0 {
		t.Errorf("other call: %v", got)
	}
	r.checkUnauthorisedRuns(map[string][]string{"GET own": {"x"}})
	if got := brokenPromises(r); !reflect.DeepEqual(got, []Promise{RunsForOwnOrganisation}) {
		t.Errorf("unauthorised call: %v", got)
	}
}

func TestCheckUseOfWithdrawnKey(t *testing.T) {
	accepted := time.Now()
	for _, c := range []struct {
		after       time.Duration
		cause       string
		wantFinding bool
	}{
		{inForceBound - time.Millisecond, "", false},
		{inForceBound + time.Millisecond, "", true},
		{inForceBound + time.Millisecond, causeCutOff, false},
	} {
		r := newRun(Config{})
		p := &keyProbe{run: r, keyName: "p"}
		p.withdrawn.Store(accepted.UnixNano())
		i := r.fleet.Instances[0]
		if c.cause != "" {
			r.beginOutage(i, c.cause)
		}
		p.checkUse(i, accepted.Add(c.after), "a token")
		if got := brokenPromises(r); (len(got) > 0) != c.wantFinding {
			t.Errorf("%s %s: %v", c.after, c.cause, got)
		}
	}
}

func TestCheckWorkAfterDisconnect(t *testing.T) {
	disconnectedAt := time.Now()
	for _, c := range []struct {
		after       time.Duration
		hash        string
		wantFinding bool
	}{
		{memoryReleaseBound - time.Second, "h", false},
		{memoryReleaseBound + time.Second, "h", true},
		{memoryReleaseBound + time.Second, "another", false},
	} {
		r := newRun(Config{})
		r.disconnections.times = map[string]time.Time{"h": disconnectedAt}
		r.checkWorkAfterDisconnect("decode-a", &engine.RequestRecord{PromptHash: c.hash, EndedUnixMS: disconnectedAt.Add(c.after).UnixMilli()})
		if got := brokenPromises(r); (len(got) > 0) != c.wantFinding {
			t.Errorf("%s %s: %v", c.after, c.hash, got)
		}
	}
}
