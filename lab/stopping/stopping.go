// Package stopping runs planned stops: it terminates the instances of a fleet of
// real processes one after the other under load, and checks for cut requests and
// for budget slots that no other instance took over. It also checks that endpoints
// marked as leaving get no new work.
package stopping

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/io/store"
	"monsoonfork/lab/fleet"
	"monsoonfork/lab/load"
	"monsoonfork/lab/process"
	"monsoonfork/lab/workload"
)

// Timing of a run.
const (
	startTimeout      = time.Minute
	balancerDelay     = 600 * time.Millisecond  // Time that a stopping instance waits for the load balancer to remove it.
	longestRequest    = 60 * time.Second        // Timeout of the model route.
	loadBefore        = 1500 * time.Millisecond // Load before the first stop.
	secondSignalDelay = 300 * time.Millisecond  // Delay of the second SIGTERM after the first.
	handOverTimeout   = 3 * time.Second         // Time limit for other instances to acquire the slots of a stopped one.
	pollInterval      = 50 * time.Millisecond
)

// slotKeyPrefix is the prefix of the store keys of budget slots.
const slotKeyPrefix = "monsoonfork/budget/"

// Config configures a run.
type Config struct {
	Workload  workload.Workload
	Seed      uint64
	Rate      float64 // Requests per second.
	Stops     int     // Number of instances to stop, from the first on.
	TimeScale float64
}

// spec returns the specification of the fleet.
func (c Config) spec() fleet.Spec {
	return fleet.Spec{
		Workload:      c.Workload,
		Instances:     8,
		InProcess:     true,
		TimeScale:     c.TimeScale,
		BalancerDelay: balancerDelay,
		Seed:          c.Seed,
	}
}

// StopResult is the result of one planned stop.
type StopResult struct {
	Instance       string
	Duration       time.Duration // From the first signal to the exit of the process.
	OpenRequests   int64         // Requests that were open before the first signal.
	ExitErr        error         // Exit error of the process; nil for exit status 0.
	UnclaimedSlots []string      // Slots that have no holder or still the stopped instance after handOverTimeout.
}

// Result is the result of Run.
type Result struct {
	Stops  []StopResult
	Report *load.Report
}

// Run starts a fleet and stops cfg.Stops of its instances under load.
func Run(ctx context.Context, cfg Config) (verdict Result, err error) {
	runner, err := process.NewRunner()
	if err != nil {
		return verdict, err
	}
	defer func() { err = errors.Join(err, runner.Close()) }()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, runner, cfg.spec())
	if err != nil {
		return verdict, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return stopUnderLoad(ctx, cfg, f)
}

// stopUnderLoad stops instances one after the other while the workload is sent.
func stopUnderLoad(ctx context.Context, cfg Config, f *fleet.Fleet) (verdict Result, err error) {
	loadCtx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	background.Go(func() { f.SimulateBalancer(loadCtx) })
	ended := make(chan struct{})
	stops := make(chan time.Duration, 1)
	go func() {
		defer close(ended)
		verdict.Report = sendUntil(ctx, cfg, f, stops)
	}()
	time.Sleep(loadBefore)
	for _, i := range f.Instances[:cfg.Stops] {
		s, failure := stopOne(ctx, f, i)
		verdict.Stops = append(verdict.Stops, s)
		err = errors.Join(err, failure)
	}
	stops <- 0
	<-ended
	return verdict, err
}

// sendUntil sends the workload until it receives from end, and then waits for all
// open requests.
func sendUntil(ctx context.Context, cfg Config, f *fleet.Fleet, end <-chan time.Duration) *load.Report {
	sender := load.NewSender(load.Config{Workload: cfg.Workload, Keys: f.Keys, Instances: f.InUse, Timeout: longestRequest})
	defer sender.Close()
	generator := workload.NewGenerator(cfg.Workload, cfg.Rate, cfg.Seed, nil)
	report := &load.Report{Workload: cfg.Workload.Name, Seed: cfg.Seed, Targets: load.DefaultTargets()}
	var (
		mu      sync.Mutex
		pending sync.WaitGroup
	)
	start := time.Now()
	for {
		r := generator.Next()
		select {
		case <-end:
			pending.Wait()
			report.Elapsed = time.Since(start)
			return report
		case <-time.After(time.Until(start.Add(r.At))):
		}
		pending.Go(func() {
			result := sender.Send(ctx, r)
			mu.Lock()
			defer mu.Unlock()
			report.Results = append(report.Results, result)
		})
	}
}

// stopOne terminates an instance, sends a second SIGTERM during the shutdown, which
// must not cut it short, and starts the instance again.
func stopOne(ctx context.Context, f *fleet.Fleet, i *fleet.Instance) (StopResult, error) {
	s := StopResult{Instance: i.Name}
	id, open, err := instanceState(ctx, i)
	if err != nil {
		return s, err
	}
	s.OpenRequests = open
	begin := time.Now()
	if err := i.Process.Terminate(); err != nil {
		return s, err
	}
	time.Sleep(secondSignalDelay)
	if err := i.Process.Terminate(); err != nil {
		return s, err
	}
	limit, cancel := context.WithTimeout(ctx, balancerDelay+longestRequest)
	defer cancel()
	s.ExitErr = i.Process.Wait(limit)
	s.Duration = time.Since(begin)
	if s.UnclaimedSlots, err = waitHandOver(ctx, f, id); err != nil {
		return s, err
	}
	if err := f.StartInstance(ctx, i); err != nil {
		return s, err
	}
	return s, i.WaitReady(ctx)
}

// instanceState returns the id of an instance and the number of its open requests.
func instanceState(ctx context.Context, i *fleet.Instance) (ident.InstanceID, int64, error) {
	var dump struct {
		kernel.Dump
		Roles struct{ Caller struct{ OpenRequests int64 } }
	}
	err := i.Dump(ctx, &dump)
	return dump.Instance, dump.Roles.Caller.OpenRequests, err
}

// waitHandOver waits up to handOverTimeout until other instances hold all slots of
// a stopped one. It returns the slots that have no new holder.
func waitHandOver(ctx context.Context, f *fleet.Fleet, stopped ident.InstanceID) (unclaimed []string, err error) {
	client, err := store.New([]ident.Address{ident.Address(f.Store.Address)})
	if err != nil {
		return nil, err
	}
	defer func() { _ = client.Close() }()
	for end := time.Now().Add(handOverTimeout); ; time.Sleep(pollInterval) {
		listing, err := client.List(ctx, slotKeyPrefix)
		if err != nil {
			return nil, err
		}
		unclaimed = unclaimed[:0]
		for _, e := range listing.Entries {
			if value := string(e.Value); strings.Contains(value, string(stopped)) || strings.Contains(value, `"Holder":""`) {
				unclaimed = append(unclaimed, fmt.Sprintf("%s %s", e.Key, value))
			}
		}
		if len(unclaimed) == 0 || time.Now().After(end) {
			return unclaimed, nil
		}
	}
}
