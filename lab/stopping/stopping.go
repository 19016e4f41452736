// Package stopping stops the instances of a fleet of real processes one after
// the other under load, as a platform does in a planned way, and looks for cut
// requests and for what the stopped instance left behind.
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

// Times of a run.
const (
	startTimeout   = time.Minute
	balancerWait   = 600 * time.Millisecond  // An instance gives the balancer to see its stop.
	longestRequest = 60 * time.Second        // Time limit of the model route.
	loadBefore     = 1500 * time.Millisecond // Load before the first stop.
	secondSignal   = 300 * time.Millisecond  // After the first.
	handOver       = 3 * time.Second         // Until others hold the slots of a stopped instance.
	pollEvery      = 50 * time.Millisecond
)

// slotKeys is where the records of budget slots lie in the store.
const slotKeys = "monsoonfork/budget/"

// Config says what to run.
type Config struct {
	Workload  workload.Workload
	Seed      uint64
	Rate      float64 // Requests a second.
	Stops     int     // Instances that are stopped, the first ones.
	TimeScale float64
}

// spec returns the fleet of a run.
func (c Config) spec() fleet.Spec {
	return fleet.Spec{
		Workload:     c.Workload,
		Instances:    8,
		Embedded:     true,
		TimeScale:    c.TimeScale,
		BalancerWait: balancerWait,
		Seed:         c.Seed,
	}
}

// Stop is what one planned stop came to.
type Stop struct {
	Instance string
	Took     time.Duration // From the signal to the end of the process.
	Open     int64         // Requests that were open when the signal came.
	Err      error         // How the process ended.
	Left     []string      // Slots that still name the instance after the hand-over.
}

// Verdict is the outcome of a run.
type Verdict struct {
	Stops  []Stop
	Report *load.Report
}

// Run makes one run.
func Run(ctx context.Context, cfg Config) (verdict Verdict, err error) {
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
	return underLoad(ctx, cfg, f)
}

// underLoad stops instances while the workload is sent.
func underLoad(ctx context.Context, cfg Config, f *fleet.Fleet) (verdict Verdict, err error) {
	loadCtx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	background.Go(func() { f.Balance(loadCtx) })
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

// sendUntil sends the workload until end tells, and waits for all answers.
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

// stopOne stops an instance in a planned way, with a second signal in between,
// and starts it anew.
func stopOne(ctx context.Context, f *fleet.Fleet, i *fleet.Instance) (Stop, error) {
	s := Stop{Instance: i.Name}
	id, open, err := look(ctx, i)
	if err != nil {
		return s, err
	}
	s.Open = open
	begin := time.Now()
	if err := i.Process.Terminate(); err != nil {
		return s, err
	}
	time.Sleep(secondSignal)
	if err := i.Process.Terminate(); err != nil {
		return s, err
	}
	limit, cancel := context.WithTimeout(ctx, balancerWait+longestRequest)
	defer cancel()
	s.Err = i.Process.Wait(limit)
	s.Took = time.Since(begin)
	if s.Left, err = waitHandOver(ctx, f, id); err != nil {
		return s, err
	}
	if err := f.StartInstance(ctx, i); err != nil {
		return s, err
	}
	return s, i.WaitReady(ctx)
}

// look returns an instance's id and the number of its open requests.
func look(ctx context.Context, i *fleet.Instance) (ident.InstanceID, int64, error) {
	var dump struct {
		kernel.Dump
		Roles struct{ Caller struct{ OpenRequests int64 } }
	}
	err := i.Dump(ctx, &dump)
	return dump.Instance, dump.Roles.Caller.OpenRequests, err
}

// waitHandOver waits until other instances hold all slots of a stopped one. It
// returns those that have no new holder.
func waitHandOver(ctx context.Context, f *fleet.Fleet, stopped ident.InstanceID) (left []string, err error) {
	client, err := store.New([]ident.Address{ident.Address(f.Store.Address)})
	if err != nil {
		return nil, err
	}
	defer func() { _ = client.Close() }()
	for end := time.Now().Add(handOver); ; time.Sleep(pollEvery) {
		listing, err := client.List(ctx, slotKeys)
		if err != nil {
			return nil, err
		}
		left = left[:0]
		for _, e := range listing.Entries {
			if value := string(e.Value); strings.Contains(value, string(stopped)) || strings.Contains(value, `"Holder":""`) {
				left = append(left, fmt.Sprintf("%s %s", e.Key, value))
			}
		}
		if len(left) == 0 || time.Now().After(end) {
			return left, nil
		}
	}
}
