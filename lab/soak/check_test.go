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

// runWithAddresses returns a run whose instances have caller addresses.
func runWithAddresses() *run {
	r := newRun(Config{})
	for _, i := range r.fleet.Instances {
		i.Settings.CallerAddress = "127.0.0.1:1"
	}
	r.fleet.Instances[0].Settings.CallerAddress = "127.0.0.1:2"
	return r
}

func TestCutAnswersAreFound(t *testing.T) {
	cases := []struct {
		name    string
		outcome load.Outcome
		sign    string // Error type in the answer.
		fault   string // On the instance meanwhile.
		want    []Promise
	}{
		{"no answer", load.NoAnswer, "", "", []Promise{AnswersAreNotCut}},
		{"broken off", load.Broken, "", "", []Promise{AnswersAreNotCut}},
		{"broken off with an error", load.Broken, "answer_broken", "", nil},
		{"killed", load.NoAnswer, "", killed, nil},
		{"paused", load.NoAnswer, "", paused, nil},
		{"planned stop", load.NoAnswer, "", stopped, []Promise{PlannedStopCutsNone}},
		{"cut off", load.Broken, "", cutOff, []Promise{AnswersAreNotCut}},
		{"whole", load.Whole, "", "", nil},
	}
	for _, c := range cases {
		r := runWithAddresses()
		if c.fault != "" {
			r.disturb(r.fleet.Instances[0], c.fault)
		}
		result := load.Result{Kind: workload.Lookup, Attempts: []load.Attempt{{
			Target: "127.0.0.1:2", Started: time.Now(), Took: time.Second, Outcome: c.outcome, ErrorType: c.sign,
		}}}
		r.checkCuts(&load.Report{Results: []load.Result{result}})
		if got := promises(r); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestWorkOfLeavingEndpointsIsFound(t *testing.T) {
	begin := time.Now()
	cases := []struct {
		name      string
		endpoint  string
		after     time.Duration // From the bound.
		disturbed bool
		found     bool
	}{
		{"before the bound", "decode-a", -time.Second, false, false},
		{"after the bound", "decode-a", time.Second, false, true},
		{"another endpoint", "decode-b", time.Second, false, false},
		{"serves again", "decode-a", time.Minute, false, false},
		{"by an instance that was paused", "decode-a", time.Second, true, false},
	}
	for _, c := range cases {
		r := newRun(Config{})
		r.left = []*period{{endpoint: "decode-a", begin: begin, end: begin.Add(30 * time.Second)}}
		if c.disturbed {
			r.disturb(r.fleet.Instances[0], paused)
		}
		r.checkWork(c.endpoint, "entry-a", begin.Add(c.after), "x")
		if got := promises(r); (len(got) > 0) != c.found {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestSecondEditOfOneRevisionIsFound(t *testing.T) {
	r := newRun(Config{})
	r.noteAcceptance(config.ApplyResult{Revision: 2, EditID: "a"}, nil, 1)
	if got := promises(r); len(got) > 0 {
		t.Errorf("first edit: %v", got)
	}
	r.noteAcceptance(config.ApplyResult{Revision: 2, EditID: "b"}, nil, 1)
	if got := promises(r); !reflect.DeepEqual(got, []Promise{EditsAreNotLost}) {
		t.Errorf("second edit: %v", got)
	}
}

func TestStrangersThatRanAreFound(t *testing.T) {
	r := newRun(Config{})
	r.checkStrangers(map[string][]string{"GET r": {"x"}})
	if got := promises(r); len(got) > 0 {
		t.Errorf("another call: %v", got)
	}
	r.checkStrangers(map[string][]string{"GET own": {"x"}})
	if got := promises(r); !reflect.DeepEqual(got, []Promise{RunsForOwnOrganisation}) {
		t.Errorf("call of a stranger: %v", got)
	}
}

func TestUsesOfWithdrawnKeysAreFound(t *testing.T) {
	accepted := time.Now()
	for _, c := range []struct {
		after time.Duration
		fault string
		found bool
	}{
		{inForceBound - time.Millisecond, "", false},
		{inForceBound + time.Millisecond, "", true},
		{inForceBound + time.Millisecond, cutOff, false},
	} {
		r := newRun(Config{})
		p := &probe{run: r, name: "p"}
		p.withdrawn.Store(accepted.UnixNano())
		i := r.fleet.Instances[0]
		if c.fault != "" {
			r.disturb(i, c.fault)
		}
		p.judge(i, accepted.Add(c.after), "a token")
		if got := promises(r); (len(got) > 0) != c.found {
			t.Errorf("%s %s: %v", c.after, c.fault, got)
		}
	}
}

func TestWorkForCallersThatLeftIsFound(t *testing.T) {
	left := time.Now()
	for _, c := range []struct {
		after time.Duration
		hash  string
		found bool
	}{
		{memoryFreeBound - time.Second, "h", false},
		{memoryFreeBound + time.Second, "h", true},
		{memoryFreeBound + time.Second, "another", false},
	} {
		r := newRun(Config{})
		r.leavers.left = map[string]time.Time{"h": left}
		r.checkLeaver("decode-a", &engine.RequestRecord{PromptHash: c.hash, EndedUnixMS: left.Add(c.after).UnixMilli()})
		if got := promises(r); (len(got) > 0) != c.found {
			t.Errorf("%s %s: %v", c.after, c.hash, got)
		}
	}
}
