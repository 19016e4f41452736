package platformsoak

import (
	"errors"
	"strings"
	"testing"
	"time"

	"monsoonfork/platform/standin"
)

// testRun returns a run without processes that began a while ago.
func testRun() *run {
	return &run{
		cfg: Config{Length: time.Minute}, start: time.Now().Add(-time.Minute), world: &world{},
		asks: make(map[string]*ask), touched: make(map[string][]span),
		stops: make(map[string]time.Time),
	}
}

// found returns the promises that were found broken.
func (r *run) found() map[Promise]int {
	count := make(map[Promise]int)
	for _, f := range r.findings {
		count[f.Promise]++
	}
	return count
}

// goodAsk returns a request that was answered well, and its run.
func goodAsk(r *run) (*ask, []standin.Run) {
	at := r.start.Add(10 * time.Second)
	a := &ask{
		Request: standin.Request{ID: "r"}, instance: "front-0", process: "front-0-1", once: true, org: "quiet",
		at: at, ended: at.Add(100 * time.Millisecond), answer: standin.Answer{Status: 200, Signed: true},
	}
	return a, []standin.Run{{Request: "r", Engine: "e", Organisation: "quiet", StartedAt: at, EndedAt: at.Add(50 * time.Millisecond)}}
}

// TestChecksOfOneRequest breaks each promise by itself.
func TestChecksOfOneRequest(t *testing.T) {
	cases := map[string]struct {
		spoil func(a *ask, runs []standin.Run) []standin.Run
		want  Promise
	}{
		"twice": {func(_ *ask, runs []standin.Run) []standin.Run { return append(runs, runs[0]) }, RunsOnce},
		"refused and run": {func(a *ask, runs []standin.Run) []standin.Run {
			a.answer = standin.Answer{Status: 503}
			return runs
		}, RefusalsAreTrue},
		"wrong answer": {func(a *ask, runs []standin.Run) []standin.Run {
			a.answer.Problem = "cut"
			return runs
		}, AnswersAreWhole},
		"other organisation": {func(_ *ask, runs []standin.Run) []standin.Run {
			runs[0].Organisation = "loud"
			return runs
		}, RunsForOwnOrganisation},
		"work goes on": {func(a *ask, runs []standin.Run) []standin.Run {
			a.left = a.at.Add(10 * time.Millisecond)
			runs[0].EndedAt = a.left.Add(goneWithin + 2*observeSlack)
			return runs
		}, WorkEndsWithItsCaller},
		"cut by a planned stop": {func(a *ask, runs []standin.Run) []standin.Run {
			a.answer.Err = errors.New("EOF")
			return runs
		}, PlannedStopCutsNone},
	}
	for name, c := range cases {
		r := testRun()
		a, runs := goodAsk(r)
		r.checkAsk(a, runs)
		if len(r.findings) != 0 {
			t.Fatalf("a good request: %v", r.findings)
		}
		r.stops[a.process] = a.at.Add(time.Millisecond)
		r.checkAsk(a, c.spoil(a, runs))
		if got := r.found(); got[c.want] != 1 || len(r.findings) != 1 {
			t.Errorf("%s: found %v, want one %v", name, r.findings, c.want)
		}
	}
}

// TestLeavingCountsForCalmInstances has a request reach a leaving engine late.
func TestLeavingCountsForCalmInstances(t *testing.T) {
	for _, touched := range []string{"", "front-0", storeName} {
		r := testRun()
		a, _ := goodAsk(r)
		arrival := standin.Arrival{Request: "r", Engine: "e", DrainingSince: a.at, At: a.at.Add(drainTime + 2*observeSlack)}
		if touched != "" {
			r.touched[touched] = []span{{from: a.at.Add(-stability / 2), to: a.at.Add(-stability / 4)}}
		}
		r.checkLeaving(map[string]*ask{"r": a}, []standin.Arrival{arrival})
		if got, want := r.found()[LeavingGetsNoWork], 0; (touched == "") == (got == want) {
			t.Errorf("touched %q: found %v", touched, r.findings)
		}
	}
}

// TestRatesAreSummedByWindow takes more than a window allows, in one and in two.
func TestRatesAreSummedByWindow(t *testing.T) {
	for apart, want := range map[time.Duration]int{time.Second: 1, quotaWindow + time.Second: 0} {
		r := testRun()
		a, runs := goodAsk(r)
		a.Stream, a.Prompt = true, 1_000_000
		b := *a
		later := []standin.Run{runs[0]}
		later[0].StartedAt = runs[0].StartedAt.Add(apart)
		r.checkRates(map[string]*ask{"r": a, "s": &b}, map[string][]standin.Run{"r": runs, "s": later})
		if got := r.found()[RatesHold]; got != want {
			t.Errorf("%v apart: %d findings, want %d", apart, got, want)
		}
	}
}

// TestRecoveryIsOfOrganisationsInTheirRate has no request served at the end.
func TestRecoveryIsOfOrganisationsInTheirRate(t *testing.T) {
	for org, want := range map[string]int{"quiet": 1, loudName: 0} {
		r := testRun()
		a, _ := goodAsk(r)
		a.at, a.org, a.answer = r.start.Add(r.cfg.Length-time.Second), org, standin.Answer{Status: 429}
		r.checkEnd(map[string]*ask{"r": a})
		if got := r.found()[Recovers]; got != want {
			t.Errorf("%s: %d findings, want %d", org, got, want)
		}
	}
}

// TestExpectations wants a change to be seen in the status of a request.
func TestExpectations(t *testing.T) {
	for _, c := range []struct {
		served  bool
		status  int
		allowed bool
	}{{true, 200, true}, {true, 404, false}, {true, 401, false}, {true, 503, true}, {false, 200, false}, {false, 401, true}} {
		if got := (expectation{served: c.served}).allows(c.status); got != c.allowed {
			t.Errorf("served %v, status %d: allowed %v", c.served, c.status, got)
		}
	}
}

// TestTableOfFaults wants names that are used once.
func TestTableOfFaults(t *testing.T) {
	seen := make(map[string]bool)
	for _, e := range table() {
		if seen[e.name] || strings.ContainsAny(e.name, " ,") {
			t.Errorf("name %q", e.name)
		}
		seen[e.name] = true
	}
}

// TestStopThatWaitsForNobody has a request open that no silent engine explains.
func TestStopThatWaitsForNobody(t *testing.T) {
	r := testRun()
	r.world.engines = &standin.Engines{Record: standin.NewRecorder()}
	a, _ := goodAsk(r)
	a.ended = time.Time{}
	r.asks["r"] = a
	stop := a.at.Add(time.Second)
	if text, waits := r.openAt(a.process, stop); waits || !strings.Contains(text, a.ID) {
		t.Errorf("open %q, waits for engines %v", text, waits)
	}
	a.ended = stop.Add(time.Second)
	if text, waits := r.openAt(a.process, stop); waits || text != "" {
		t.Errorf("open %q, waits %v, want none", text, waits)
	}
}
