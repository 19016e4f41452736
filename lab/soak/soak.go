// Package soak runs a fleet under a workload and randomly drawn faults, up to two at a
// time, and checks the promises of monsoonfork against the answers and the records of
// all stand-ins. All random choices derive from one seed.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/lab/fleet"
	"monsoonfork/lab/load"
	"monsoonfork/lab/process"
	"monsoonfork/lab/workload"
)

// Timing and load of a run.
const (
	startTimeout       = 2 * time.Minute
	requestTimeout     = 20 * time.Second
	settleTimeout      = 30 * time.Second // From the end of the last fault until all instances are ready.
	memoryReleaseBound = 10 * time.Second // From the end of all requests until no engine holds memory.
	balancerDelay      = 1 * time.Second  // Time that a stopping instance waits for the load balancer to remove it.
	listLag            = 2 * time.Second  // Delay until a change of the instance list becomes visible.
	disconnectShare    = 0.1              // Share of completions whose caller disconnects before the end.
	maxRetries         = 2                // Maximum number of retries of a call whose outcome is unknown.
)

// Config configures a run.
type Config struct {
	Workload     workload.Workload
	Seed         uint64
	Length       time.Duration
	Rate         float64 // Requests per second.
	Instances    int
	Faults       []string // Names of the faults to draw from; none means all.
	SingleFaults bool     // At most one fault is active at a time.
	LoudFactor   float64  // Factor on the traffic of the last organisation; 0 means 1.
	TimeScale    float64
	KeepLogs     bool // Keep the logs of the processes.
}

// Verdict is the result of a run.
type Verdict struct {
	Findings []Finding
	Report   *load.Report
	Log      []string // Faults and other actions of the run, one line each.
	LogDir   string   // Directory of the processes' logs, if kept.
}

// run is the state of one run.
type run struct {
	cfg      Config
	output   io.Writer
	fleet    *fleet.Fleet
	findings *findings

	unauthorisedCalls atomic.Int64 // Number of answered calls that were not authorised.
	sequence          atomic.Int64 // Makes names unique and rotates over the instances.
	disconnections    disconnections
	keyProbe          *keyProbe // Set while the fault key-withdrawn is active.

	mu                 sync.Mutex
	log                []string
	targetsInUse       map[string]bool // Names of components that have a fault.
	outages            []*outage
	acceptedEdits      []acceptedEdit
	addedOrganisations []ident.OrganisationID // Organisations that concurrent edits have added.
	leavingPeriods     []*leavingPeriod
	extraKeys          map[string]ident.OrganisationID // Keys added during the run, besides those of the fleet.
}

// Run makes one run and prints its faults and other actions to out.
func Run(ctx context.Context, cfg Config, out io.Writer) (verdict Verdict, err error) {
	cfg.Workload.DisconnectFraction = disconnectShare
	var options []process.Option
	if cfg.KeepLogs {
		options = append(options, process.WithKeptFiles())
	}
	runner, err := process.NewRunner(options...)
	if err != nil {
		return verdict, err
	}
	defer func() { err = errors.Join(err, runner.Close()) }()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, runner, fleetSpec(cfg))
	if err != nil {
		return verdict, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	r := &run{
		cfg:            cfg,
		output:         out,
		fleet:          f,
		findings:       &findings{start: time.Now()},
		targetsInUse:   make(map[string]bool),
		extraKeys:      make(map[string]ident.OrganisationID),
		disconnections: disconnections{times: make(map[string]time.Time)},
	}
	verdict.LogDir = runner.Dir()
	verdict.Report = r.runUnderFaults(ctx)
	r.settle(ctx)
	r.check(ctx, verdict.Report)
	verdict.Findings = r.findings.all()
	verdict.Log = r.log
	return verdict, nil
}

// fleetSpec returns the specification of the fleet of a run.
func fleetSpec(cfg Config) fleet.Spec {
	return fleet.Spec{
		Workload:      cfg.Workload,
		Instances:     cfg.Instances,
		TimeScale:     cfg.TimeScale,
		ListLag:       listLag,
		StoreReads:    2000,
		StoreWrites:   500,
		ChecksFencing: true,
		AllowFaults:   true,
		Env:           []string{invariant.FatalEnv + "=1"},
		BalancerDelay: balancerDelay,
		AdmissionLog:  true,
		Seed:          cfg.Seed,
	}
}

// runUnderFaults sends the workload while faults are injected, and returns what callers
// received.
func (r *run) runUnderFaults(ctx context.Context) *load.Report {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	background.Go(func() { r.fleet.SimulateBalancer(ctx) })
	background.Go(func() { r.watchProcesses(ctx) })
	background.Go(func() { r.watchRevisions(ctx) })
	background.Go(func() { r.sendUnauthorisedCalls(ctx) })
	background.Go(func() { r.sendDisconnectingCallers(ctx) })
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		r.runFaults(ctx)
	}()
	report := load.Run(ctx, load.Config{
		Workload:       r.cfg.Workload,
		Rate:           r.cfg.Rate,
		Seed:           r.cfg.Seed,
		Duration:       r.cfg.Length,
		TrafficFactors: r.trafficFactors(),
		Keys:           r.fleet.Keys,
		Instances:      r.fleet.InUse,
		Timeout:        requestTimeout,
		MaxRetries:     maxRetries,
		Targets:        load.DefaultTargets(),
	})
	<-faultsDone
	return report
}

// trafficFactors returns the factors by which organisations exceed their usual traffic.
func (r *run) trafficFactors() map[ident.OrganisationID]float64 {
	if r.cfg.LoudFactor == 0 {
		return nil
	}
	all := r.cfg.Workload.Organisations
	return map[ident.OrganisationID]float64{all[len(all)-1].Name: r.cfg.LoudFactor}
}

// settle clears all faults of stand-ins and waits until all instances are ready.
func (r *run) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for _, s := range r.fleet.StandIns() {
		if err := s.Control.Clear(ctx); err != nil {
			r.findings.add(ProcessesLive, "stand-in %s: %v", s.Name, err)
		}
	}
	for _, i := range r.fleet.Instances {
		if err := i.WaitReady(ctx); err != nil {
			r.findings.add(InstancesBecomeReady, "%v", err)
		}
	}
}

// logf prints a line about the run with its time and adds it to the log of the verdict.
func (r *run) logf(format string, args ...any) {
	line := fmt.Sprintf("%6.1fs %s", time.Since(r.findings.start).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log = append(r.log, line)
	_, _ = fmt.Fprintln(r.output, line)
}
