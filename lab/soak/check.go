package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"

	"monsoonfork/core/budget/audit"
	"monsoonfork/core/ident"
	"monsoonfork/io/operator"
	"monsoonfork/io/standin/engine"
	"monsoonfork/io/standin/service"
	"monsoonfork/lab/fleet"
	"monsoonfork/lab/load"
	"monsoonfork/lab/workload"
)

// Bounds and poll intervals of the checks.
const (
	stopMargin          = 5 * time.Second        // Time allowed for a planned stop beyond the longest request.
	memoryPollInterval  = 200 * time.Millisecond // Interval at which engines are polled for held memory.
	processPollInterval = 100 * time.Millisecond // Interval at which instances are checked for unexpected exits.
	countingMargin      = 100 * time.Millisecond // The plain service records a run when it ends, somewhat after it accepted the call.
	logTailBytes        = 800
)

// check verifies the promises that are checked after the run.
func (r *run) check(ctx context.Context, report *load.Report) {
	r.checkAnswers(report)
	r.checkCutAnswers(report)
	r.checkTexts(ctx)
	r.checkMemory(ctx)
	r.checkKeysAtStandIns(ctx)
	r.checkRates()
	if runs, err := r.serviceRuns(ctx); err != nil {
		r.findings.add(RunsAtMostOnce, "no record: %v", err)
	} else {
		r.checkRuns(report, runs)
		r.checkUnauthorisedRuns(runs)
	}
	r.checkLeavingEndpoints(ctx)
	if err := r.checkEngines(ctx, report); err != nil {
		r.findings.add(NotRunIsTrue, "no record: %v", err)
	}
}

// checkAnswers reports answers that differ from what the engine or service must return.
func (r *run) checkAnswers(report *load.Report) {
	for i := range report.Results {
		result := &report.Results[i]
		for _, a := range result.Attempts {
			if a.Outcome == load.Incorrect {
				r.findings.add(AnswersAreRight, "%s through %s: %s", describeRequest(result), a.Target, a.Detail)
			}
		}
	}
}

// describeRequest describes a request and its attempts on one line.
func describeRequest(result *load.Result) string {
	var attempts []string
	for _, a := range result.Attempts {
		attempts = append(attempts, fmt.Sprintf("%s %d %s %s", a.RequestID, a.Status, a.Outcome, a.ErrorType))
	}
	return fmt.Sprintf("request %d (%s %s %s) [%s]",
		result.Number, result.Kind, result.Organisation, result.Reference, strings.Join(attempts, "; "))
}

// serviceRuns returns the runs recorded by all plain services, keyed by method and reference.
func (r *run) serviceRuns(ctx context.Context) (map[string][]string, error) {
	runs := make(map[string][]string)
	for _, s := range r.fleet.Services {
		var record service.Record
		if err := s.Control.Record(ctx, &record); err != nil {
			return nil, err
		}
		for _, run := range record.Runs {
			key := run.Method + " " + run.Reference
			where := fmt.Sprintf("%s at %d as %s", s.Name, run.UnixMS, run.RequestID)
			runs[key] = append(runs[key], where)
		}
	}
	return runs, nil
}

// runsOfRequest returns the runs of a request to the plain service.
func runsOfRequest(result *load.Result, runs map[string][]string) []string {
	switch result.Kind {
	case workload.Create:
		return runs["POST "+result.Reference]
	case workload.Cancel:
		return runs["DELETE "+result.Reference]
	case workload.Lookup:
		return runs["GET "+result.Reference]
	default:
		return nil
	}
}

// checkRuns reports calls that ran more than once and refused calls that ran.
func (r *run) checkRuns(report *load.Report, runs map[string][]string) {
	for i := range report.Results {
		result := &report.Results[i]
		executions := runsOfRequest(result, runs)
		if result.Kind.AtMostOnce() && len(executions) > 1 {
			r.findings.add(RunsAtMostOnce, "%s ran %d times: %s", describeRequest(result), len(executions), strings.Join(executions, ", "))
		}
		if result.AllNotRun() && len(executions) > 0 {
			r.findings.add(NotRunIsTrue, "%s ran: %s", describeRequest(result), strings.Join(executions, ", "))
		}
		if result.Outcome() == load.Complete && result.Kind.AtMostOnce() && len(executions) == 0 {
			r.findings.add(AnswersAreRight, "%s was answered but never ran", describeRequest(result))
		}
	}
}

// checkEngines checks the records of the engines for refused requests that ran and
// for orders that overlapped.
func (r *run) checkEngines(ctx context.Context, report *load.Report) error {
	seen := make(map[string][]string)
	orders := 0
	defer func() { r.logf("engines received %d orders", orders) }()
	for _, e := range r.fleet.Engines {
		var record engine.Record
		if err := e.Control.Record(ctx, &record); err != nil {
			return err
		}
		for _, request := range record.Requests {
			where := fmt.Sprintf("%s %s %s", e.Name, request.RID, request.Outcome)
			seen[request.PromptHash] = append(seen[request.PromptHash], where)
			r.checkWorkAfterDisconnect(e.Name, &request)
		}
		orders += len(record.Orders)
		for _, order := range record.ConflictingOrders() {
			r.findings.add(OrdersDoNotOverlap, "%s: %+v", e.Name, order)
		}
	}
	for i := range report.Results {
		result := &report.Results[i]
		if result.Kind != workload.Completion || !result.AllNotRun() {
			continue
		}
		if engines := seen[result.PromptHash]; len(engines) > 0 {
			r.findings.add(NotRunIsTrue, "%s ran: %s", describeRequest(result), strings.Join(engines, ", "))
		}
	}
	return nil
}

// checkMemory waits until no engine holds memory. It runs when no request is open.
func (r *run) checkMemory(ctx context.Context) {
	end := time.Now().Add(memoryReleaseBound)
	for _, e := range r.fleet.Engines {
		var held []engine.HeldRequest
		for {
			var record engine.Record
			if err := e.Control.Record(ctx, &record); err != nil {
				r.findings.add(MemoryIsFreed, "%s: no record: %v", e.Name, err)
				break
			}
			held = record.Held
			if len(held) == 0 || time.Now().After(end) {
				break
			}
			_ = sleep(ctx, memoryPollInterval)
		}
		for _, h := range held {
			r.findings.add(MemoryIsFreed, "%s holds %d pieces for request %s of holder %s in phase %s since %d (Unix ms)",
				e.Name, h.Pieces, h.RequestID, h.Holder, h.Phase, h.StartedUnixMS)
		}
	}
}

// checkCutAnswers reports answers that ended early without an error event although
// their instance was neither killed nor paused meanwhile.
func (r *run) checkCutAnswers(report *load.Report) {
	for i := range report.Results {
		result := &report.Results[i]
		for _, a := range result.Attempts {
			if a.Outcome != load.NoAnswer && (a.Outcome != load.Truncated || a.ErrorType != "") {
				continue
			}
			instance, end := r.instanceWithAddress(a.Target), a.Started.Add(a.Latency)
			if instance == nil || r.outageDuring(instance, a.Started, end, causeKilled, causePaused) != nil {
				continue
			}
			promise := AnswersAreNotCut
			if r.outageDuring(instance, a.Started, end, causeStopped) != nil {
				promise = PlannedStopCutsNone
			}
			r.findings.add(promise, "%s through %s from %.1fs to %.1fs: %s", describeRequest(result), instance.Name,
				a.Started.Sub(r.findings.start).Seconds(), end.Sub(r.findings.start).Seconds(), a.Detail)
		}
	}
}

// checkTexts reports accepted edits that are missing from the text of an instance.
func (r *run) checkTexts(ctx context.Context) {
	newest := r.newestEditBefore(time.Now())
	_ = sleep(ctx, time.Until(newest.acceptedAt.Add(inForceBound)))
	for _, i := range r.fleet.Instances {
		raw, revision, err := operator.NewClient(i.Settings.OperatorAddress).Text(ctx)
		if err != nil {
			r.findings.add(EditsAreInForce, "%s: cannot read the text: %v", i.Name, err)
			continue
		}
		if newest.revision > 0 && (revision != newest.revision || !bytes.Equal(raw, newest.raw)) {
			r.findings.add(EditsAreInForce, "%s has revision %d; the newest accepted revision is %d", i.Name, revision, newest.revision)
		}
		for _, name := range r.addedOrganisations {
			if !bytes.Contains(raw, []byte(name)) {
				r.findings.add(EditsAreNotLost, "%s lacks organisation %s in revision %d", i.Name, name, revision)
			}
		}
	}
	r.logf("%d edits accepted, %d unauthorised calls answered", len(r.acceptedEdits), r.unauthorisedCalls.Load())
}

// checkLeavingEndpoints reports work that an endpoint received while it was leaving.
// The records of that time are complete, since a leaving endpoint has no other fault
// that would restart it.
func (r *run) checkLeavingEndpoints(ctx context.Context) {
	for _, e := range r.fleet.Engines {
		var record engine.Record
		if err := e.Control.Record(ctx, &record); err != nil {
			continue // checkEngines has reported it.
		}
		for _, request := range record.Requests {
			r.checkWorkWhileLeaving(e.Name, request.Holder, time.UnixMilli(request.StartedUnixMS), request.RID)
		}
	}
	for _, s := range r.fleet.Services {
		var record service.Record
		if err := s.Control.Record(ctx, &record); err != nil {
			continue // serviceRuns has reported it.
		}
		for _, run := range record.Runs {
			r.checkWorkWhileLeaving(s.Name, "", time.UnixMilli(run.UnixMS), run.RequestID)
		}
	}
}

// checkWorkWhileLeaving reports a request that began while its endpoint was leaving.
// Requests sent by an instance with an outage shortly before are allowed, since the
// instance may not have received the edit.
func (r *run) checkWorkWhileLeaving(endpoint, holder string, at time.Time, what string) {
	for _, p := range r.leavingPeriods {
		if p.endpoint != endpoint || at.Before(p.begin.Add(countingMargin)) || (!p.end.IsZero() && at.After(p.end)) {
			continue
		}
		if r.anyOutageDuring(holder, at.Add(-inForceBound), at) {
			continue
		}
		r.findings.add(LeavingGetsNoWork, "%s received request %s of holder %s %.1fs after the bound", endpoint, what, holder, at.Sub(p.begin).Seconds())
	}
}

// anyOutageDuring reports whether the named instance had an outage between two
// instants. An empty name means any instance.
func (r *run) anyOutageDuring(name string, begin, end time.Time) bool {
	for _, i := range r.fleet.Instances {
		if (name == "" || strings.HasPrefix(name, i.Name)) && r.outageDuring(i, begin, end) != nil {
			return true
		}
	}
	return false
}

// checkKeysAtStandIns reports stand-ins that received a caller's key.
func (r *run) checkKeysAtStandIns(ctx context.Context) {
	for _, s := range r.fleet.StandIns() {
		r.checkKeysAtStandIn(ctx, s)
	}
}

// checkKeysAtStandIn reports the callers' keys that one stand-in received.
func (r *run) checkKeysAtStandIn(ctx context.Context, s *fleet.StandIn) {
	for key, organisation := range r.allKeys() {
		answer, err := s.Control.Received(ctx, key)
		if err != nil {
			r.findings.add(KeysStayInside, "%s: no record: %v", s.Name, err)
			return
		}
		if !answer.Complete {
			r.findings.add(KeysStayInside, "%s has an incomplete record of what it received", s.Name)
			return
		}
		if answer.Seen {
			r.findings.add(KeysStayInside, "%s received the key of %s", s.Name, organisation)
		}
	}
}

// checkRates checks the admission logs of all processes against the rate limits.
func (r *run) checkRates() {
	log := audit.NewAdmissions()
	for _, i := range r.fleet.Instances {
		for _, path := range i.AdmissionLogs {
			if err := addAdmissionLog(log, path); err != nil {
				r.findings.add(RatesHold, "%s: %v", i.Name, err)
			}
		}
	}
	limits := make(map[ident.OrganisationID]audit.Limit)
	for _, o := range r.cfg.Workload.Organisations {
		limits[o.Name] = audit.Limit{Rate: o.Rate, Burst: o.Burst}
	}
	for _, result := range log.CheckLimits(limits) {
		if result.Excess > 0 {
			r.findings.add(RatesHold, "%s was admitted %.0f tokens above its limit from %d to %d ns",
				result.Organisation, result.Excess, result.WindowStartNs, result.WindowEndNs)
		}
	}
}

// addAdmissionLog adds the admission log of one process. A process that ended early
// may not have created its log.
func addAdmissionLog(log *audit.Admissions, path string) (err error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return log.Add(file)
}

// watchProcesses reports instances that exit without a fault on them.
func (r *run) watchProcesses(ctx context.Context) {
	reported := make(map[*fleet.Instance]int)
	for sleep(ctx, processPollInterval) == nil {
		for _, i := range r.fleet.Instances {
			if r.hasFault(i.Name) || reported[i] == i.StartCount {
				continue
			}
			select {
			case <-i.Process.Ended():
				reported[i] = i.StartCount
				r.findings.add(ProcessesLive, "%s exited unexpectedly: %s", i.Name, logTail(i.Process.Log()))
			default:
			}
		}
	}
}

// logTail returns the end of a log on one line.
func logTail(log string) string {
	if len(log) > logTailBytes {
		log = log[len(log)-logTailBytes:]
	}
	return strings.ReplaceAll(strings.TrimSpace(log), "\n", " | ")
}
