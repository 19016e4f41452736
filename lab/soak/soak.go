// Package soak runs a fleet under a workload and a random succession of faults,
// alone and in pairs, and checks from the records of all stand-ins that what
// must always hold did hold. All choices follow from a seed.
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

// Times of a run.
const (
	startTimeout    = 2 * time.Minute
	requestTimeout  = 20 * time.Second
	settleTimeout   = 30 * time.Second // From the last fault until all instances are ready.
	memoryFreeBound = 10 * time.Second // From the end of all requests until no engine holds memory.
	balancerWait    = 1 * time.Second
	listLag         = 2 * time.Second
	leaving         = 0.1 // Share of completions whose caller leaves before the end.
	repeats         = 2   // Times that callers repeat a call of unknown outcome.
)

// Config says what to run.
type Config struct {
	Workload  workload.Workload
	Seed      uint64
	Length    time.Duration
	Rate      float64 // Requests a second.
	Instances int
	Faults    []string // Names of the faults to draw from; none means all.
	Alone     bool     // Never two faults at a time.
	Loud      float64  // Factor on the traffic of the last organisation; 0 means 1.
	TimeScale float64
	Keep      bool // Keep the logs of the processes.
}

// Verdict is the outcome of a run.
type Verdict struct {
	Findings []Finding
	Report   *load.Report
	Faults   []string // What was done, one line each.
	Dir      string   // Directory of the logs, when kept.
}

// run is one run.
type run struct {
	cfg      Config
	out      io.Writer
	fleet    *fleet.Fleet
	findings *findings

	strangers atomic.Int64 // Calls that were refused.
	turn      atomic.Int64 // Numbers names and choices of instances.
	leavers   leavers
	probe     *probe // Of the fault that withdraws a key, while it lasts.

	mu           sync.Mutex
	faults       []string
	busy         map[string]bool // Names of targets that a fault is on.
	disturbances []*disturbance
	accepted     []acceptance
	added        []ident.OrganisationID // By edits that raced.
	left         []*period
	secrets      map[string]ident.OrganisationID // Keys besides those of the fleet.
}

// Run makes one run and prints its progress to out.
func Run(ctx context.Context, cfg Config, out io.Writer) (verdict Verdict, err error) {
	cfg.Workload.Leaving = leaving
	var options []process.Option
	if cfg.Keep {
		options = append(options, process.WithKeptFiles())
	}
	runner, err := process.NewRunner(options...)
	if err != nil {
		return verdict, err
	}
	defer func() { err = errors.Join(err, runner.Close()) }()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, runner, specOf(cfg))
	if err != nil {
		return verdict, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	r := &run{
		cfg:      cfg,
		out:      out,
		fleet:    f,
		findings: &findings{start: time.Now()},
		busy:     make(map[string]bool),
		secrets:  make(map[string]ident.OrganisationID),
		leavers:  leavers{left: make(map[string]time.Time)},
	}
	verdict.Dir = runner.Dir()
	verdict.Report = r.underFaults(ctx)
	r.settle(ctx)
	r.check(ctx, verdict.Report)
	verdict.Findings = r.findings.all()
	verdict.Faults = r.faults
	return verdict, nil
}

// specOf returns the fleet of a run.
func specOf(cfg Config) fleet.Spec {
	return fleet.Spec{
		Workload:     cfg.Workload,
		Instances:    cfg.Instances,
		TimeScale:    cfg.TimeScale,
		ListLag:      listLag,
		StoreReads:   2000,
		StoreWrites:  500,
		ChecksFence:  true,
		AllowFaults:  true,
		Env:          []string{invariant.FatalEnv + "=1"},
		BalancerWait: balancerWait,
		AdmissionLog: true,
		Seed:         cfg.Seed,
	}
}

// underFaults sends the workload while faults come and go.
func (r *run) underFaults(ctx context.Context) *load.Report {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	background.Go(func() { r.fleet.Balance(ctx) })
	background.Go(func() { r.watchProcesses(ctx) })
	background.Go(func() { r.watchRevisions(ctx) })
	background.Go(func() { r.sendStrangers(ctx) })
	background.Go(func() { r.sendLeavers(ctx) })
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		r.schedule(ctx)
	}()
	report := load.Run(ctx, load.Config{
		Workload:  r.cfg.Workload,
		Rate:      r.cfg.Rate,
		Seed:      r.cfg.Seed,
		Length:    r.cfg.Length,
		Factors:   r.factors(),
		Keys:      r.fleet.Keys,
		Instances: r.fleet.InUse,
		Timeout:   requestTimeout,
		Repeats:   repeats,
		Targets:   load.DefaultTargets(),
	})
	<-faults
	return report
}

// factors makes one organisation send more than its rate.
func (r *run) factors() map[ident.OrganisationID]float64 {
	if r.cfg.Loud == 0 {
		return nil
	}
	all := r.cfg.Workload.Organisations
	return map[ident.OrganisationID]float64{all[len(all)-1].Name: r.cfg.Loud}
}

// settle ends what faults have left and waits until all instances are ready.
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

// note prints what is done to the fleet and keeps it for the verdict.
func (r *run) note(format string, args ...any) {
	line := fmt.Sprintf("%6.1fs %s", time.Since(r.findings.start).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, line)
	_, _ = fmt.Fprintln(r.out, line)
}
