package platformsoak

import (
	"fmt"
	"slices"
	"time"

	"monsoonfork/platform/standin"
)

// Bounds of the checks.
const (
	abortBound            = 500 * time.Millisecond           // From a caller's disconnect until its engine must have stopped.
	measurementSlack      = 300 * time.Millisecond           // Allowance for delays of the soak's own timers and goroutines.
	minServedShare        = 0.9                              // Share of the requests within their rate that must be served after the faults.
	recoveryWindow        = faultFreeTail - 4*time.Second    // Requests sent in this time before the end of the run must be served.
	announcedTime         = drainTime + 500*time.Millisecond // From an announcement of leaving that was passed on until the engine gets no request sent later.
	learnTime             = 500 * time.Millisecond           // From the removal of an entry until each instance without a fault knows of it.
	retryAfterGrace       = 500 * time.Millisecond           // From a refusal with a time until the engine gets maxEarlyCalls requests at most.
	maxEarlyCalls         = 2
	maxResidentBytes      = 134_000_000 // Memory that the platform gives an instance.
	overLimitOrganisation = "loud"      // Organisation that sends above its rate.
)

// check verifies the promises that are checked after the run.
func (r *run) check() {
	requests, runs := r.requestsSent(), r.testbed.engines.Recorder.Runs()
	arrivals, leaks := r.testbed.engines.Recorder.Arrivals()
	for _, leak := range leaks {
		r.addFinding(EnginesSeeNoKey, "%s", leak)
	}
	for id, a := range requests {
		r.checkRequest(a, runs[id])
	}
	r.checkLeaving(requests, arrivals)
	r.checkRemoved(requests, arrivals)
	r.checkAnswered(requests, arrivals)
	r.checkAnnounced(requests, runs, arrivals)
	r.checkRetryAfter(requests, arrivals)
	r.checkRates(requests, runs)
	r.checkDeadly(requests, arrivals)
	r.checkRecovery(requests)
	r.checkMembers(r.readMembers())
	for _, p := range r.testbed.replicas {
		if slots, memory := p.engine.Usage(); slots != 0 || memory != 0 {
			r.addFinding(EnginesAreFree, "%s: %d requests and %d tokens", p.name, slots, memory)
		}
	}
}

// checkRequest checks one request against its runs at engines.
func (r *run) checkRequest(a *request, runs []standin.Run) {
	if a.atMostOnce && len(runs) > 1 {
		r.addFinding(RunsOnce, "%s ran %d times: %s", a.describe(), len(runs), describeRuns(runs))
	}
	if a.answer.StatesNotRun() && len(runs) > 0 {
		r.addFinding(RefusalsAreTrue, "%s ran: %s", a.describe(), describeRuns(runs))
	}
	if a.answer.Problem != "" {
		r.addFinding(AnswersAreWhole, "%s: %s", a.describe(), a.answer.Problem)
	}
	for _, run := range runs {
		if run.Organisation != a.organisation {
			r.addFinding(RunsForOwnOrganisation, "%s ran for %q", a.describe(), run.Organisation)
		}
	}
	r.checkDisconnect(a, runs)
	r.checkPlannedStop(a, runs)
	r.checkHeld(a, runs)
}

// checkPlannedStop reports a request that was cut by a planned stop of its instance.
func (r *run) checkPlannedStop(a *request, runs []standin.Run) {
	r.mu.Lock()
	at, stopped := r.plannedStops[a.process]
	r.mu.Unlock()
	if !stopped || a.answer.Err == nil || len(runs) == 0 || !a.disconnectedAt.IsZero() || r.isInterrupted(a.process, at, a.endedAt) {
		return
	}
	// Requests still open in the last sixth of stopTime may be cut.
	beforeLimit := a.endedAt.After(at) && a.endedAt.Before(at.Add(stopTime*5/6))
	if beforeLimit && r.faultFree(a.instance, a.sentAt, at.Add(-measurementSlack)) && r.enginesFaultFree(runs, a.sentAt, a.endedAt) {
		r.addFinding(PlannedStopCutsNone, "%s was cut %.1fs after SIGTERM: %s", a.describe(), a.endedAt.Sub(at).Seconds(), describeRuns(runs))
	}
}

// checkDisconnect reports work that continued long after its caller disconnected.
func (r *run) checkDisconnect(a *request, runs []standin.Run) {
	if a.disconnectedAt.IsZero() || a.disconnectedAt.After(a.endedAt) {
		return
	}
	latest := a.disconnectedAt.Add(abortBound + measurementSlack)
	if !r.faultFree(a.instance, a.sentAt, latest) || !r.enginesFaultFree(runs, a.sentAt, latest) {
		return
	}
	for _, run := range runs {
		if run.EndedAt.IsZero() || run.EndedAt.After(latest) {
			r.addFinding(WorkEndsWithItsCaller, "%s, caller disconnected at %s: %s", a.describe(), a.disconnectedAt.Format(timeLayout), describeRuns(runs))
		}
	}
}

// enginesFaultFree reports whether the engines of runs had no fault between two instants.
func (r *run) enginesFaultFree(runs []standin.Run, from, to time.Time) bool {
	return !slices.ContainsFunc(runs, func(run standin.Run) bool { return !r.engineFaultFree(run.Engine, from, to) })
}

// engineFaultFree reports whether an engine had no fault between two instants. The faults
// of a replica count for all its engines, also those that were replaced since.
func (r *run) engineFaultFree(id string, from, to time.Time) bool {
	return r.faultFree(r.testbed.replicaOf(id), from, to)
}

// checkLeaving reports requests that reached a leaving engine later than drainTime
// while neither their instance nor the store had a fault.
func (r *run) checkLeaving(requests map[string]*request, arrivals []standin.Arrival) {
	for _, arrival := range arrivals {
		a := requests[arrival.Request]
		if a == nil || arrival.DrainingSince.IsZero() || arrival.At.Sub(arrival.DrainingSince) <= drainTime+measurementSlack {
			continue
		}
		if r.faultFree(a.instance, arrival.DrainingSince, arrival.At) && r.faultFree(storeName, arrival.DrainingSince, arrival.At) {
			r.addFinding(LeavingGetsNoWork, "%s reached %s %.1fs after the engine announced that it is leaving", a.describe(), arrival.Engine, arrival.At.Sub(arrival.DrainingSince).Seconds())
		}
	}
}

// checkRemoved reports requests that reached an engine later than drainTime after their instance had
// learned that its entry was removed, whatever happened to the store since.
func (r *run) checkRemoved(requests map[string]*request, arrivals []standin.Arrival) {
	for _, arrival := range arrivals {
		a := requests[arrival.Request]
		if a == nil || arrival.RemovedSince.IsZero() {
			continue
		}
		learned := arrival.RemovedSince.Add(learnTime)
		late := a.sentAt.Sub(learned)
		if late <= drainTime+measurementSlack || !r.faultFree(storeName, arrival.RemovedSince, learned) {
			continue
		}
		if r.faultFree(a.instance, arrival.RemovedSince, arrival.At) && !r.isInterrupted(a.process, arrival.RemovedSince, arrival.At) {
			r.addFinding(LeavingGetsNoWork, "%s was sent %.1fs after the entry of %s was removed, and reached it", a.describe(), a.sentAt.Sub(arrival.RemovedSince).Seconds(), arrival.Engine)
		}
	}
}

// checkAnswered reports requests without an answer that were passed on to engines without
// a fault only, unless the deadline passed, the caller disconnected, or the instance was
// killed, paused or stopped meanwhile; checkPlannedStop covers planned stops.
func (r *run) checkAnswered(requests map[string]*request, arrivals []standin.Arrival) {
	byRequest := make(map[string][]standin.Arrival)
	for _, arrival := range arrivals {
		byRequest[arrival.Request] = append(byRequest[arrival.Request], arrival)
	}
	r.checkDropped(requests, byRequest)
	for id, list := range byRequest {
		a := requests[id]
		// Engines break off answers to deadly prompts, also those that can't crash as they have another fault.
		if a == nil || a.deadly || !a.isUnanswered(list) || !r.mustBeAnswered(a) {
			continue
		}
		faulty := slices.ContainsFunc(list, func(t standin.Arrival) bool { return !r.engineFaultFree(t.Engine, a.sentAt, a.endedAt) })
		// A call that an engine cut off before it read the request is no arrival.
		last := r.lastEngine(a)
		if !faulty && (last == "" || r.engineFaultFree(last, a.sentAt, a.endedAt)) {
			r.addFinding(RequestsAreAnswered, "%s sent at %s, ended after %.2fs with %d events, passed on to:%s", a.describe(), a.sentAt.Format(timeLayout), a.endedAt.Sub(a.sentAt).Seconds(), a.answer.Events, describeArrivals(list))
		}
	}
}

// checkDropped reports requests that reached no engine and ended without any answer, by an instance
// that was not killed, paused, stopped or slow meanwhile.
func (r *run) checkDropped(requests map[string]*request, arrivals map[string][]standin.Arrival) {
	for id, a := range requests {
		if len(arrivals[id]) > 0 || a.answer.Err == nil || a.answer.Status != 0 || !r.mustBeAnswered(a) {
			continue
		}
		if r.faultFree(a.instance, a.sentAt, a.endedAt) {
			r.addFinding(RequestsAreAnswered, "%s sent at %s, ended after %.2fs and reached no engine", a.describe(), a.sentAt.Format(timeLayout), a.endedAt.Sub(a.sentAt).Seconds())
		}
	}
}

// isUnanswered reports whether a request that reached engines ended without an engine's
// answer or a refusal, or had to be sent again after it had reached one.
func (a *request) isUnanswered(arrivals []standin.Arrival) bool {
	failed := !a.answer.Signed && a.answer.Status >= 500 && !a.answer.StatesNotRun()
	resent := !a.answer.ResentAt.IsZero() && arrivals[0].At.Before(a.answer.ResentAt)
	return a.answer.Err != nil || failed || resent
}

// link is a process of an instance and an engine.
type link struct{ process, engine string }

// checkAnnounced reports requests that callers sent later than announcedTime after an
// instance had passed on an engine's announcement that it leaves, and that reached the
// engine from there.
func (r *run) checkAnnounced(requests map[string]*request, runs map[string][]standin.Run, arrivals []standin.Arrival) {
	passedOn := make(map[link]time.Time)
	for _, t := range arrivals {
		a := requests[t.Request]
		if a == nil || !t.Announced || !a.answer.Signed || len(runs[a.ID]) != 1 || runs[a.ID][0].Engine != t.Engine {
			continue
		}
		l := link{a.process, t.Engine}
		if first, ok := passedOn[l]; !ok || a.answer.HeadAt.Before(first) {
			passedOn[l] = a.answer.HeadAt
		}
	}
	for _, t := range arrivals {
		a := requests[t.Request]
		if a == nil {
			continue
		}
		at, ok := passedOn[link{a.process, t.Engine}]
		if ok && a.sentAt.Sub(at) > announcedTime && !r.isInterrupted(a.process, at, t.At) {
			r.addFinding(LeavingGetsNoWork, "%s was sent %.1fs after the instance passed on an answer of %s that announced its leaving, and reached it", a.describe(), a.sentAt.Sub(at).Seconds(), t.Engine)
		}
	}
}

// checkRetryAfter reports an engine that got more than maxEarlyCalls requests from an
// instance in the time for which it had turned that instance away. The time begins
// retryAfterGrace after the refusal. It reports the refusal with the most such requests.
func (r *run) checkRetryAfter(requests map[string]*request, arrivals []standin.Arrival) {
	byLink := make(map[link][]standin.Arrival)
	for _, t := range arrivals {
		if a := requests[t.Request]; a != nil {
			l := link{a.process, t.Engine}
			byLink[l] = append(byLink[l], t)
		}
	}
	for l, list := range byLink {
		most := 0
		for _, refusal := range list {
			from, to := refusal.At.Add(retryAfterGrace), refusal.At.Add(refusal.RetryAfter)
			if !r.isInterrupted(l.process, refusal.At, to) {
				most = max(most, countArrivals(list, from, to))
			}
		}
		if most > maxEarlyCalls {
			r.addFinding(RetryAfterIsKept, "%d requests from %s reached %s in the time for which it had turned it away", most, l.process, l.engine)
		}
	}
}

// countArrivals returns the number of arrivals between two instants.
func countArrivals(list []standin.Arrival, from, to time.Time) (count int) {
	for _, t := range list {
		if t.At.After(from) && t.At.Before(to) {
			count++
		}
	}
	return count
}

// checkMemory reports whether a process uses too much memory, and adds a finding if so.
func (r *run) checkMemory(process string, residentBytes int64) (tooLarge bool) {
	if residentBytes <= maxResidentBytes {
		return false
	}
	r.addFinding(MemoryIsBounded, "%s uses %.1f MB", process, float64(residentBytes)/1e6)
	return true
}

// charge is the tokens that one request cost its organisation.
type charge struct {
	at     time.Time
	tokens float64
}

// checkRates reports organisations that used more tokens than their quota in a window of
// length quotaWindow.
func (r *run) checkRates(requests map[string]*request, runs map[string][]standin.Run) {
	charges := make(map[string][]charge)
	for id, list := range runs {
		a := requests[id]
		if a == nil || a.organisation == "" {
			continue
		}
		cost := float64(standin.PlainRequestTokens)
		if a.Stream {
			cost = float64(a.Prompt + a.Output)
		}
		charges[a.organisation] = append(charges[a.organisation], charge{list[0].StartedAt, cost})
	}
	for _, o := range initialConfiguration().Organisations {
		limit := (o.Rate*quotaWindow.Seconds()+o.Burst)*(1+quotaOvershoot) + quotaSlack
		if used, until := largestWindowSum(charges[o.Name]); used > limit {
			r.addFinding(RatesHold, "%s used %.0f tokens in %v until %.1fs; the limit is %.0f", o.Name, used, quotaWindow, until.Sub(r.start).Seconds(), limit)
		}
	}
}

// largestWindowSum returns the largest sum of tokens in any window of quotaWindow, and the
// end of that window.
func largestWindowSum(list []charge) (largest float64, until time.Time) {
	slices.SortFunc(list, func(a, b charge) int { return a.at.Compare(b.at) })
	sum, start := 0.0, 0
	for _, t := range list {
		sum += t.tokens
		for ; t.at.Sub(list[start].at) > quotaWindow; start++ {
			sum -= list[start].tokens
		}
		if sum > largest {
			largest, until = sum, t.at
		}
	}
	return largest, until
}

// checkRecovery reports a run in which too few requests were served after the faults.
// Requests of overLimitOrganisation and of callers that disconnected don't count.
func (r *run) checkRecovery(requests map[string]*request) {
	from := r.start.Add(r.cfg.Length - recoveryWindow)
	served, total := 0, 0
	for _, a := range requests {
		if a.sentAt.Before(from) || a.organisation == overLimitOrganisation || !a.disconnectedAt.IsZero() || a.deadly {
			continue
		}
		total++
		if a.answer.Status/100 == 2 && a.answer.Err == nil {
			served++
		}
	}
	if total > 0 && float64(served) < minServedShare*float64(total) {
		r.addFinding(Recovers, "only %d of %d requests after the faults were served", served, total)
	}
}

// timeLayout is the format of times in findings.
const timeLayout = "15:04:05.000"

// describe describes a request on one line.
func (a *request) describe() string {
	return fmt.Sprintf("request %s (path %s, organisation %q, process %s, status %d, error %v)", a.ID, a.Path, a.organisation, a.process, a.answer.Status, a.answer.Err)
}

// describeRuns describes runs on one line.
func describeRuns(runs []standin.Run) string {
	text := ""
	for _, run := range runs {
		text += fmt.Sprintf(" [%s from %s to %s]", run.Engine, run.StartedAt.Format(timeLayout), run.EndedAt.Format(timeLayout))
	}
	return text
}

// describeArrivals describes arrivals on one line.
func describeArrivals(arrivals []standin.Arrival) string {
	text := ""
	for _, t := range arrivals {
		text += fmt.Sprintf(" [%s at %s]", t.Engine, t.At.Format(timeLayout))
	}
	return text
}
