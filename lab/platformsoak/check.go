package platformsoak

import (
	"fmt"
	"slices"
	"time"

	"monsoonfork/platform/standin"
)

// Bounds of the checks.
const (
	goneWithin    = 500 * time.Millisecond // From the caller's leaving until its engine stops.
	observeSlack  = 300 * time.Millisecond // Of our own clocks and goroutines.
	servedAtEnd   = 0.9                    // Of requests within their rate, after the faults.
	recoveredFrom = quietAtEnd - 4*time.Second
	loudName      = "loud"
)

// check checks all that is known when the run has ended.
func (r *run) check() {
	asks, runs := r.asked(), r.world.engines.Record.Runs()
	arrivals, leaks := r.world.engines.Record.Arrivals()
	for _, leak := range leaks {
		r.find(EnginesSeeNoKey, "%s", leak)
	}
	for id, a := range asks {
		r.checkAsk(a, runs[id])
	}
	r.checkLeaving(asks, arrivals)
	r.checkRates(asks, runs)
	r.checkEnd(asks)
	for _, p := range r.world.places {
		if slots, memory := p.engine.Usage(); slots != 0 || memory != 0 {
			r.find(EnginesAreFree, "%s: %d requests and %d tokens", p.name, slots, memory)
		}
	}
}

// checkAsk checks one request.
func (r *run) checkAsk(a *ask, runs []standin.Run) {
	if a.once && len(runs) > 1 {
		r.find(RunsOnce, "%s ran %d times: %s", a.describe(), len(runs), describe(runs))
	}
	if a.answer.StatesNotRun() && len(runs) > 0 {
		r.find(RefusalsAreTrue, "%s ran: %s", a.describe(), describe(runs))
	}
	if a.answer.Problem != "" {
		r.find(AnswersAreWhole, "%s: %s", a.describe(), a.answer.Problem)
	}
	for _, run := range runs {
		if run.Organisation != a.org {
			r.find(RunsForOwnOrganisation, "%s ran for %q", a.describe(), run.Organisation)
		}
	}
	r.checkGone(a, runs)
	r.checkStop(a, runs)
}

// checkStop checks that a planned stop of its instance did not cut a request.
func (r *run) checkStop(a *ask, runs []standin.Run) {
	r.mu.Lock()
	at, stopped := r.stops[a.process]
	r.mu.Unlock()
	if !stopped || a.answer.Err == nil || len(runs) == 0 || !a.left.IsZero() {
		return
	}
	// What an engine does not end in the last part of the time to stop may be cut.
	inTime := a.ended.After(at) && a.ended.Before(at.Add(stopTime*5/6))
	if inTime && r.calm(a.instance, a.at, at.Add(-observeSlack)) && r.enginesCalm(runs, a.at, a.ended) {
		r.find(PlannedStopCutsNone, "%s was cut %.1fs after SIGTERM: %s", a.describe(), a.ended.Sub(at).Seconds(), describe(runs))
	}
}

// checkGone checks that work ends when its caller has left.
func (r *run) checkGone(a *ask, runs []standin.Run) {
	if a.left.IsZero() || a.left.After(a.ended) {
		return
	}
	latest := a.left.Add(goneWithin + observeSlack)
	if !r.calm(a.instance, a.at, latest) || !r.enginesCalm(runs, a.at, latest) {
		return
	}
	for _, run := range runs {
		if run.EndedAt.IsZero() || run.EndedAt.After(latest) {
			r.find(WorkEndsWithItsCaller, "%s left at %s: %s", a.describe(), a.left.Format(clock), describe(runs))
		}
	}
}

// enginesCalm reports whether no fault touched the engines of runs.
func (r *run) enginesCalm(runs []standin.Run, from, to time.Time) bool {
	for _, p := range r.world.places {
		for _, run := range runs {
			if run.Engine == p.engine.ID && !r.calm(p.name, from, to) {
				return false
			}
		}
	}
	return true
}

// checkLeaving checks that leaving engines get no work from instances that no fault
// touched.
func (r *run) checkLeaving(asks map[string]*ask, arrivals []standin.Arrival) {
	for _, arrival := range arrivals {
		a := asks[arrival.Request]
		if a == nil || arrival.DrainingSince.IsZero() || arrival.At.Sub(arrival.DrainingSince) <= drainTime+observeSlack {
			continue
		}
		if r.calm(a.instance, arrival.DrainingSince, arrival.At) && r.calm(storeName, arrival.DrainingSince, arrival.At) {
			r.find(LeavingGetsNoWork, "%s reached %s %.1fs after it said that it leaves", a.describe(), arrival.Engine, arrival.At.Sub(arrival.DrainingSince).Seconds())
		}
	}
}

// taken is tokens of an organisation at a time.
type taken struct {
	at     time.Time
	tokens float64
}

// checkRates checks each window of the rates.
func (r *run) checkRates(asks map[string]*ask, runs map[string][]standin.Run) {
	byOrg := make(map[string][]taken)
	for id, list := range runs {
		a := asks[id]
		if a == nil || a.org == "" {
			continue
		}
		cost := float64(standin.PlainRequestTokens)
		if a.Stream {
			cost = float64(a.Prompt + a.Output)
		}
		byOrg[a.org] = append(byOrg[a.org], taken{list[0].StartedAt, cost})
	}
	for _, o := range firstConfiguration().Organisations {
		limit := (o.Rate*quotaWindow.Seconds()+o.Burst)*(1+quotaOvershoot) + quotaSlack
		if most := largestWindow(byOrg[o.Name]); most > limit {
			r.find(RatesHold, "%s took %.0f tokens in %v, of %.0f", o.Name, most, quotaWindow, limit)
		}
	}
}

// largestWindow returns the most that was taken in a window.
func largestWindow(list []taken) float64 {
	slices.SortFunc(list, func(a, b taken) int { return a.at.Compare(b.at) })
	most, sum, first := 0.0, 0.0, 0
	for _, t := range list {
		sum += t.tokens
		for ; t.at.Sub(list[first].at) > quotaWindow; first++ {
			sum -= list[first].tokens
		}
		most = max(most, sum)
	}
	return most
}

// checkEnd checks that requests are served after the faults, and that planned stops
// cut nobody.
func (r *run) checkEnd(asks map[string]*ask) {
	from := r.start.Add(r.cfg.Length - recoveredFrom)
	served, all := 0, 0
	for _, a := range asks {
		if a.at.Before(from) || a.org == loudName || !a.left.IsZero() {
			continue
		}
		all++
		if a.answer.Status/100 == 2 && a.answer.Err == nil {
			served++
		}
	}
	if all > 0 && float64(served) < servedAtEnd*float64(all) {
		r.find(Recovers, "%d of %d requests after the faults were served", served, all)
	}
}

// clock is how times are written.
const clock = "15:04:05.000"

// describe tells of a request in words.
func (a *ask) describe() string {
	return fmt.Sprintf("request %s (%s of %q, at %s, status %d, %v)", a.ID, a.Path, a.org, a.process, a.answer.Status, a.answer.Err)
}

// describe tells of runs in words.
func describe(runs []standin.Run) string {
	text := ""
	for _, run := range runs {
		text += fmt.Sprintf(" [%s from %s to %s]", run.Engine, run.StartedAt.Format(clock), run.EndedAt.Format(clock))
	}
	return text
}
