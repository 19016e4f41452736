package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/placement"
	"monsoonfork/core/text"
	"monsoonfork/io/standin/control"
)

// Round is one run of one policy.
type Round struct {
	Workload  Workload
	Policy    text.PlacementPolicy
	Faults    Faults
	Load      float64 // In-rate demand over the capacity.
	Seed      uint64
	Length    time.Duration
	Warmup    time.Duration // Arrivals of this time are not measured.
	Admit     bool          // Whether requests above the rate are refused.
	Placement []placement.ServiceOption

	onReplace func(old *entry) // Called before an instance is replaced, if set.
}

// Faults says what fails in a round.
type Faults int

//go:generate stringer -type=Faults -output=faults_string.go

// The faults of a round.
const (
	NoFaults Faults = iota
	EngineDies
	LinkStalls
	InstanceReplaced
	ReportsLag
)

// Times of faults.
const (
	usualLag      = 250 * time.Millisecond
	laggingLag    = time.Second
	noticeTime    = 500 * time.Millisecond // Until members notice a crash.
	stallDuration = 3 * time.Second
	settleTime    = 700 * time.Millisecond // For dispatchers to start.
)

// Run runs the round and returns its measures.
func (r Round) Run(ctx context.Context) (*Result, error) {
	return r.run(ctx, func(*entries, map[ident.EndpointID]*engineProcess) {}, func([]Sample) {})
}

// run runs the round. It calls started when all is running, and ended with the
// samples.
func (r Round) run(
	ctx context.Context, started func(*entries, map[ident.EndpointID]*engineProcess), ended func([]Sample),
) (*Result, error) {
	lag := usualLag
	if r.Faults == ReportsLag {
		lag = laggingLag
	}
	engines, err := startEngines(ctx, r.Workload, lag)
	if err != nil {
		return nil, err
	}
	defer stopEngines(engines)
	all, err := startEntries(r.Workload, r.Workload.textFor(r.Policy, addressesOf(engines)), r.Placement...)
	if err != nil {
		return nil, err
	}
	defer all.close()
	if !sleep(ctx, settleTime) {
		return nil, ctx.Err()
	}
	started(all, engines)
	samples, err := r.load(ctx, all, engines)
	if err != nil {
		return nil, err
	}
	ended(samples)
	result := &Result{
		Workload: r.Workload.Name, Policy: r.Policy.String(), Faults: r.Faults.String(),
		Load: r.Load, Seed: r.Seed, Seconds: (r.Length - r.Warmup).Seconds(),
	}
	result.measure(samples)
	return result, result.measureWaste(engines)
}

// load sends the arrivals and waits for all answers.
func (r Round) load(ctx context.Context, all *entries, engines map[ident.EndpointID]*engineProcess) ([]Sample, error) {
	var (
		mu      sync.Mutex
		wg      sync.WaitGroup
		samples []Sample
	)
	keep := func(s Sample) {
		if s.Arrival.At < r.Warmup {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		samples = append(samples, s)
	}
	start := time.Now()
	faulted := false
	for _, a := range r.Workload.Arrivals(r.Seed, r.Load, r.Length) {
		due := start.Add(a.At)
		if !sleep(ctx, time.Until(due)) {
			return nil, ctx.Err()
		}
		sentLate := time.Since(due)
		if !faulted && a.At > r.Length/2 {
			faulted = true
			if err := r.cause(ctx, &wg, all, engines); err != nil {
				return nil, err
			}
		}
		if r.Admit && !a.InRate {
			keep(Sample{Arrival: a, Err: fault.New(fault.RateExceeded, "above the rate")})
			continue
		}
		e := all.pick(a.Caller)
		wg.Add(1)
		go func() {
			defer wg.Done()
			s := serveDirect(ctx, e, a, due)
			s.SentLate, s.Instance = sentLate, e.id
			keep(s)
		}()
	}
	wg.Wait()
	return samples, nil
}

// cause makes the round's fault happen.
func (r Round) cause(ctx context.Context, wg *sync.WaitGroup, all *entries, engines map[ident.EndpointID]*engineProcess) error {
	first := r.Workload.Domains[0]
	switch r.Faults {
	case EngineDies:
		engines[engineNames(first, text.Decode)[0]].kill()
	case LinkStalls:
		stalled := engines[engineNames(first, text.Prefill)[0]]
		if err := stalled.fault(control.Fault{Kind: control.StallTransfer}); err != nil {
			return err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			sleep(ctx, stallDuration)
			_ = stalled.clear()
		}()
	case InstanceReplaced:
		old := all.dispatcherOf(first.Name)
		if r.onReplace != nil {
			r.onReplace(old)
		}
		old.close()
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = all.replace(ctx, old, noticeTime)
		}()
	case NoFaults, ReportsLag:
	}
	return nil
}

// measureWaste reads what the engines have counted.
func (r *Result) measureWaste(engines map[ident.EndpointID]*engineProcess) error {
	var computed, wasted int64
	for _, p := range engines {
		record, err := p.record()
		if err != nil {
			return err
		}
		computed += record.Counts.PrefillTokens
		wasted += record.Counts.WastedPrefillTokens + record.Counts.PulledNeverDecoded
	}
	r.WastedPrefill = float64(wasted) / float64(max(1, computed))
	return nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Faults) UnmarshalText(word []byte) error {
	for candidate := NoFaults; candidate <= ReportsLag; candidate++ {
		if candidate.String() == string(word) {
			*f = candidate
			return nil
		}
	}
	return fmt.Errorf("no faults %q", word)
}
