package stopping

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"monsoonfork/core/text"
	"monsoonfork/io/standin/control"
	"monsoonfork/io/standin/engine"
	"monsoonfork/io/standin/service"
	"monsoonfork/lab/fleet"
	"monsoonfork/lab/load"
	"monsoonfork/lab/process"
)

// Timing of a run with leaving endpoints.
const (
	applyTimeout = 4 * time.Second // An accepted configuration is in force on all instances after this time.
	loadAfter    = 4 * time.Second // Further load after applyTimeout.
	storeDelayMS = 300             // Delay of each call to the store.
	listLagMS    = 10_000          // Delay until a change of the instance list becomes visible.
)

// LeavingResult is the result of RunLeaving: the work of the endpoints that were
// marked as leaving, and the report of the load.
type LeavingResult struct {
	BeforeMark []string // Work that started before the mark was accepted.
	LateWork   []string // New work more than applyTimeout after the mark was accepted.
	Report     *load.Report
}

// RunLeaving marks a prefill engine, a decode engine and an endpoint of the
// plain service as leaving, under load, with the store slow and the instance
// list lagging.
func RunLeaving(ctx context.Context, cfg Config) (l LeavingResult, err error) {
	runner, err := process.NewRunner()
	if err != nil {
		return l, err
	}
	defer func() { err = errors.Join(err, runner.Close()) }()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, runner, cfg.spec())
	if err != nil {
		return l, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if err := f.Store.Control.Inject(ctx, control.Fault{Kind: control.Delay, DelayMS: storeDelayMS}); err != nil {
		return l, err
	}
	if err := f.InstanceList.Control.Inject(ctx, control.Fault{Kind: control.ListLag, DelayMS: listLagMS}); err != nil {
		return l, err
	}
	end := make(chan time.Duration, 1)
	var sending sync.WaitGroup
	sending.Go(func() { l.Report = sendUntil(ctx, cfg, f, end) })
	time.Sleep(loadBefore)
	accepted, err := markLeaving(ctx, f)
	if err == nil {
		time.Sleep(applyTimeout + loadAfter)
	}
	end <- 0
	sending.Wait()
	if err != nil {
		return l, err
	}
	l.BeforeMark, l.LateWork, err = classifyWork(ctx, f, accepted)
	return l, err
}

// leavingEndpoints returns the stand-ins that markLeaving marks: the last prefill
// and decode engine and the first plain endpoint.
func leavingEndpoints(f *fleet.Fleet) (prefill, decode *fleet.StandIn, plain *fleet.StandIn) {
	for _, e := range f.Engines {
		if e.Role == engine.PrefillRole {
			prefill = e.StandIn
		} else {
			decode = e.StandIn
		}
	}
	return prefill, decode, f.Services[0]
}

// markLeaving applies a configuration that marks endpoints as leaving, and returns
// when it was accepted.
func markLeaving(ctx context.Context, f *fleet.Fleet) (time.Time, error) {
	prefill, decode, plain := leavingEndpoints(f)
	for i := range f.Text.Engines {
		if name := string(f.Text.Engines[i].Name); name == prefill.Name || name == decode.Name {
			f.Text.Engines[i].State = text.Leaving
		}
	}
	for i := range f.Text.Services {
		for n := range f.Text.Services[i].Endpoints {
			if e := &f.Text.Services[i].Endpoints[n]; string(e.Name) == plain.Name {
				e.State = text.Leaving
			}
		}
	}
	_, err := f.Apply(ctx, f.Instances[0])
	return time.Now(), err
}

// classifyWork returns the work that the marked endpoints started before the mark
// was accepted, and more than applyTimeout after it.
func classifyWork(ctx context.Context, f *fleet.Fleet, accepted time.Time) (before, late []string, err error) {
	classify := func(name, id string, unixMS int64) {
		line := fmt.Sprintf("%s: %s %v after the mark", name, id, time.UnixMilli(unixMS).Sub(accepted))
		switch at := time.UnixMilli(unixMS); {
		case at.Before(accepted):
			before = append(before, line)
		case at.After(accepted.Add(applyTimeout)):
			late = append(late, line)
		}
	}
	prefill, decode, plain := leavingEndpoints(f)
	for _, s := range []*fleet.StandIn{prefill, decode} {
		var record engine.Record
		if err := s.Control.Record(ctx, &record); err != nil {
			return nil, nil, err
		}
		for i := range record.Requests {
			classify(s.Name, record.Requests[i].RID, record.Requests[i].StartedUnixMS)
		}
	}
	var record service.Record
	if err := plain.Control.Record(ctx, &record); err != nil {
		return nil, nil, err
	}
	for _, run := range record.Runs {
		classify(plain.Name, run.RequestID, run.UnixMS)
	}
	return before, late, nil
}
