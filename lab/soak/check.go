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

// Bounds of the checks.
const (
	stopMargin     = 5 * time.Second        // Of a planned stop beyond the longest request.
	memoryInterval = 200 * time.Millisecond // Between looks at the memory of engines.
	watchInterval  = 100 * time.Millisecond // Between looks at the processes.
	workMargin     = 100 * time.Millisecond // The plain service counts a run at its end.
	logTailBytes   = 800
)

// check looks for broken promises after the run.
func (r *run) check(ctx context.Context, report *load.Report) {
	r.checkAnswers(report)
	r.checkCuts(report)
	r.checkText(ctx)
	r.checkMemory(ctx)
	r.checkKeys(ctx)
	r.checkRates()
	if runs, err := r.serviceRuns(ctx); err != nil {
		r.findings.add(RunsAtMostOnce, "no record: %v", err)
	} else {
		r.checkRuns(report, runs)
		r.checkStrangers(runs)
	}
	r.checkLeft(ctx)
	if err := r.checkEngines(ctx, report); err != nil {
		r.findings.add(NotRunIsTrue, "no record: %v", err)
	}
}

// checkAnswers looks for wrong answers.
func (r *run) checkAnswers(report *load.Report) {
	for i := range report.Results {
		result := &report.Results[i]
		for _, a := range result.Attempts {
			if a.Outcome == load.Wrong {
				r.findings.add(AnswersAreRight, "%s by way of %s: %s", describe(result), a.Target, a.Detail)
			}
		}
	}
}

// describe names a request.
func describe(result *load.Result) string {
	var attempts []string
	for _, a := range result.Attempts {
		attempts = append(attempts, fmt.Sprintf("%s %d %s %s", a.RequestID, a.Status, a.Outcome, a.ErrorType))
	}
	return fmt.Sprintf("request %d (%s %s %s) [%s]",
		result.Number, result.Kind, result.Organisation, result.Reference, strings.Join(attempts, "; "))
}

// serviceRuns returns the runs of all endpoints by method and reference.
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

// runsOf returns the runs of a request of the plain service.
func runsOf(result *load.Result, runs map[string][]string) []string {
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

// checkRuns looks for calls that ran twice and for untrue refusals.
func (r *run) checkRuns(report *load.Report, runs map[string][]string) {
	for i := range report.Results {
		result := &report.Results[i]
		ran := runsOf(result, runs)
		if result.Kind.Once() && len(ran) > 1 {
			r.findings.add(RunsAtMostOnce, "%s ran %d times: %s", describe(result), len(ran), strings.Join(ran, ", "))
		}
		if result.SaidNotRun() && len(ran) > 0 {
			r.findings.add(NotRunIsTrue, "%s ran: %s", describe(result), strings.Join(ran, ", "))
		}
		if result.Outcome() == load.Whole && result.Kind.Once() && len(ran) == 0 {
			r.findings.add(AnswersAreRight, "%s was answered but never ran", describe(result))
		}
	}
}

// checkEngines looks at the records of the engines: untrue refusals and orders
// that overlapped.
func (r *run) checkEngines(ctx context.Context, report *load.Report) error {
	seen := make(map[string][]string)
	orders := 0
	defer func() { r.note("%d orders at engines", orders) }()
	for _, e := range r.fleet.Engines {
		var record engine.Record
		if err := e.Control.Record(ctx, &record); err != nil {
			return err
		}
		for _, request := range record.Requests {
			where := fmt.Sprintf("%s %s %s", e.Name, request.RID, request.Ending)
			seen[request.PromptHash] = append(seen[request.PromptHash], where)
			r.checkLeaver(e.Name, &request)
		}
		orders += len(record.Orders)
		for _, order := range record.ConflictingOrders() {
			r.findings.add(OrdersDoNotOverlap, "%s: %+v", e.Name, order)
		}
	}
	for i := range report.Results {
		result := &report.Results[i]
		if result.Kind != workload.Completion || !result.SaidNotRun() {
			continue
		}
		if places := seen[result.PromptHash]; len(places) > 0 {
			r.findings.add(NotRunIsTrue, "%s ran: %s", describe(result), strings.Join(places, ", "))
		}
	}
	return nil
}

// checkMemory waits until no engine holds memory. All callers are gone.
func (r *run) checkMemory(ctx context.Context) {
	end := time.Now().Add(memoryFreeBound)
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
			_ = wait(ctx, memoryInterval)
		}
		for _, h := range held {
			r.findings.add(MemoryIsFreed, "%s holds %d pieces for %s of %s in %s since %d",
				e.Name, h.Pieces, h.RID, h.Holder, h.Phase, h.StartedUnixMS)
		}
	}
}

// checkCuts looks for answers that ended without a sign of why, at an instance
// that was neither killed nor paused meanwhile.
func (r *run) checkCuts(report *load.Report) {
	for i := range report.Results {
		result := &report.Results[i]
		for _, a := range result.Attempts {
			if a.Outcome != load.NoAnswer && (a.Outcome != load.Broken || a.ErrorType != "") {
				continue
			}
			instance, end := r.instanceAt(a.Target), a.Started.Add(a.Took)
			if instance == nil || r.disturbed(instance, a.Started, end, killed, paused) != nil {
				continue
			}
			promise := AnswersAreNotCut
			if r.disturbed(instance, a.Started, end, stopped) != nil {
				promise = PlannedStopCutsNone
			}
			r.findings.add(promise, "%s by way of %s from %.1fs to %.1fs: %s", describe(result), instance.Name,
				a.Started.Sub(r.findings.start).Seconds(), end.Sub(r.findings.start).Seconds(), a.Detail)
		}
	}
}

// checkText looks for accepted edits that are not in the text of an instance.
func (r *run) checkText(ctx context.Context) {
	newest := r.newestBefore(time.Now())
	_ = wait(ctx, time.Until(newest.at.Add(inForceBound)))
	for _, i := range r.fleet.Instances {
		raw, revision, err := operator.NewClient(i.Settings.OperatorAddress).Text(ctx)
		if err != nil {
			r.findings.add(EditsAreInForce, "%s: no text: %v", i.Name, err)
			continue
		}
		if newest.revision > 0 && (revision != newest.revision || !bytes.Equal(raw, newest.raw)) {
			r.findings.add(EditsAreInForce, "%s has revision %d; the newest accepted is %d", i.Name, revision, newest.revision)
		}
		for _, name := range r.added {
			if !bytes.Contains(raw, []byte(name)) {
				r.findings.add(EditsAreNotLost, "%s has no organisation %s in revision %d", i.Name, name, revision)
			}
		}
	}
	r.note("%d edits accepted, %d calls of strangers refused", len(r.accepted), r.strangers.Load())
}

// checkLeft looks for work that an endpoint got while it was leaving. What the
// stand-ins hold is still there: no other fault is on a leaving endpoint.
func (r *run) checkLeft(ctx context.Context) {
	for _, e := range r.fleet.Engines {
		var record engine.Record
		if err := e.Control.Record(ctx, &record); err != nil {
			continue // checkEngines has reported it.
		}
		for _, request := range record.Requests {
			r.checkWork(e.Name, request.Holder, time.UnixMilli(request.StartedUnixMS), request.RID)
		}
	}
	for _, s := range r.fleet.Services {
		var record service.Record
		if err := s.Control.Record(ctx, &record); err != nil {
			continue // serviceRuns has reported it.
		}
		for _, run := range record.Runs {
			r.checkWork(s.Name, "", time.UnixMilli(run.UnixMS), run.RequestID)
		}
	}
}

// checkWork looks whether an endpoint was leaving when it got some work. An
// instance that was disturbed may not have known.
func (r *run) checkWork(endpoint, holder string, at time.Time, what string) {
	for _, p := range r.left {
		if p.endpoint != endpoint || at.Before(p.begin.Add(workMargin)) || (!p.end.IsZero() && at.After(p.end)) {
			continue
		}
		if r.anyDisturbed(holder, at.Add(-inForceBound), at) {
			continue
		}
		r.findings.add(LeavingGetsNoWork, "%s got %s of %s %.1fs after the bound", endpoint, what, holder, at.Sub(p.begin).Seconds())
	}
}

// anyDisturbed reports whether an instance was disturbed, or any when the name
// is empty.
func (r *run) anyDisturbed(name string, begin, end time.Time) bool {
	for _, i := range r.fleet.Instances {
		if (name == "" || strings.HasPrefix(name, i.Name)) && r.disturbed(i, begin, end) != nil {
			return true
		}
	}
	return false
}

// checkKeys asks every stand-in whether it ever got a key.
func (r *run) checkKeys(ctx context.Context) {
	for _, s := range r.fleet.StandIns() {
		r.checkKeysAt(ctx, s)
	}
}

// checkKeysAt asks one stand-in whether it ever got a key.
func (r *run) checkKeysAt(ctx context.Context, s *fleet.StandIn) {
	for key, organisation := range r.allSecrets() {
		answer, err := s.Control.Seen(ctx, key)
		if err != nil {
			r.findings.add(KeysStayInside, "%s: no record: %v", s.Name, err)
			return
		}
		if !answer.Complete {
			r.findings.add(KeysStayInside, "%s did not keep all that it got", s.Name)
			return
		}
		if answer.Seen {
			r.findings.add(KeysStayInside, "%s got the key of %s", s.Name, organisation)
		}
	}
}

// checkRates checks the admission logs of all processes.
func (r *run) checkRates() {
	log := audit.NewAdmissions()
	for _, i := range r.fleet.Instances {
		for _, path := range i.AdmissionLogs {
			if err := addLog(log, path); err != nil {
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
			r.findings.add(RatesHold, "%s got %.0f tokens too many from %d to %d ns",
				result.Organisation, result.Excess, result.WindowStartNs, result.WindowEndNs)
		}
	}
}

// addLog adds the admission log of one process. One that ended early may have
// made none.
func addLog(log *audit.Admissions, path string) (err error) {
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

// watchProcesses looks for instances that end by themselves.
func (r *run) watchProcesses(ctx context.Context) {
	reported := make(map[*fleet.Instance]int)
	for wait(ctx, watchInterval) == nil {
		for _, i := range r.fleet.Instances {
			if r.isBusy(i.Name) || reported[i] == i.Starts {
				continue
			}
			select {
			case <-i.Process.Ended():
				reported[i] = i.Starts
				r.findings.add(ProcessesLive, "%s ended by itself: %s", i.Name, tail(i.Process.Log()))
			default:
			}
		}
	}
}

// tail returns the end of a log in one line.
func tail(log string) string {
	if len(log) > logTailBytes {
		log = log[len(log)-logTailBytes:]
	}
	return strings.ReplaceAll(strings.TrimSpace(log), "\n", " | ")
}
