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

// Round is one run of a placement policy under a workload.
type Round struct {
	Workload     Workload
	Policy       text.PlacementPolicy
	Faults       Faults
	Load         float64 // Demand within the organisations' rates, divided by the capacity.
	Seed         uint64
	Length       time.Duration // Time during which requests arrive.
	Warmup       time.Duration // Arrivals in this initial part of Length are not measured.
	EnforceRates bool          // Whether requests above their organisation's rate are refused.
	Placement    []placement.ServiceOption

	onCrash func(crashed *instance) // If set, called just before InstanceReplaced crashes an instance.
}

// Faults is the fault that is injected halfway through a round.
type Faults int

//go:generate stringer -type=Faults -output=faults_string.go

// The faults of a round.
const (
	NoFaults         Faults = iota
	EngineDies              // Kills a decode engine.
	LinkStalls              // Halts transfers of KV cache from a prefill engine for stallDuration.
	InstanceReplaced        // Crashes a dispatcher and starts a new instance.
	ReportsLag              // Delays the load reports of all engines during the whole round.
)

// Durations of faults and of the start of a round.
const (
	normalLoadLag        = 250 * time.Millisecond // Maximum age of the engines' load reports.
	delayedLoadLag       = time.Second            // The same, with ReportsLag.
	crashDetectionDelay  = 500 * time.Millisecond // Time until the other instances detect a crash.
	stallDuration        = 3 * time.Second
	dispatcherStartDelay = 700 * time.Millisecond // Time for the dispatchers to start before requests arrive.
)

// Run runs the round and returns its metrics.
func (r Round) Run(ctx context.Context) (*Result, error) {
	return r.run(ctx, func(*instanceGroup, map[ident.EndpointID]*engineProcess) {}, func([]Sample) {})
}

// run runs the round. It calls onStart when engines and instances are running, just
// before the first arrival, and onEnd with the samples when all requests have ended.
func (r Round) run(
	ctx context.Context, onStart func(*instanceGroup, map[ident.EndpointID]*engineProcess), onEnd func([]Sample),
) (*Result, error) {
	loadLag := normalLoadLag
	if r.Faults == ReportsLag {
		loadLag = delayedLoadLag
	}
	engines, err := startEngines(ctx, r.Workload, loadLag)
	if err != nil {
		return nil, err
	}
	defer stopEngines(engines)
	instances, err := startInstances(r.Workload, r.Workload.configText(r.Policy, engineAddresses(engines)), r.Placement...)
	if err != nil {
		return nil, err
	}
	defer instances.close()
	if !sleep(ctx, dispatcherStartDelay) {
		return nil, ctx.Err()
	}
	onStart(instances, engines)
	samples, err := r.sendArrivals(ctx, instances, engines)
	if err != nil {
		return nil, err
	}
	onEnd(samples)
	result := &Result{
		Workload: r.Workload.Name, Policy: r.Policy.String(), Faults: r.Faults.String(),
		Load: r.Load, Seed: r.Seed, Seconds: (r.Length - r.Warmup).Seconds(),
	}
	result.computeFromSamples(samples)
	return result, result.computeWastedPrefill(engines)
}

// sendArrivals sends each request at its arrival time, injects the fault at half of
// Length, and returns the samples when all requests have ended.
func (r Round) sendArrivals(ctx context.Context, instances *instanceGroup, engines map[ident.EndpointID]*engineProcess) ([]Sample, error) {
	var (
		mu      sync.Mutex
		wg      sync.WaitGroup
		samples []Sample
	)
	addSample := func(s Sample) {
		if s.Arrival.Offset < r.Warmup {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		samples = append(samples, s)
	}
	start := time.Now()
	faultInjected := false
	for _, a := range r.Workload.Arrivals(r.Seed, r.Load, r.Length) {
		dueAt := start.Add(a.Offset)
		if !sleep(ctx, time.Until(dueAt)) {
			return nil, ctx.Err()
		}
		sendDelay := time.Since(dueAt)
		if !faultInjected && a.Offset > r.Length/2 {
			faultInjected = true
			if err := r.injectFault(ctx, &wg, instances, engines); err != nil {
				return nil, err
			}
		}
		if r.EnforceRates && !a.WithinRate {
			addSample(Sample{Arrival: a, Err: fault.New(fault.RateExceeded, "request exceeds the rate of its organisation")})
			continue
		}
		inst := instances.choose(a.BalancerKey)
		wg.Add(1)
		go func() {
			defer wg.Done()
			s := serveRequest(ctx, inst, a, dueAt)
			s.SendDelay, s.Instance = sendDelay, inst.id
			addSample(s)
		}()
	}
	wg.Wait()
	return samples, nil
}

// injectFault starts the round's fault. Goroutines that end it are added to wg.
func (r Round) injectFault(ctx context.Context, wg *sync.WaitGroup, instances *instanceGroup, engines map[ident.EndpointID]*engineProcess) error {
	firstDomain := r.Workload.Domains[0]
	switch r.Faults {
	case EngineDies:
		engines[engineNames(firstDomain, text.Decode)[0]].kill()
	case LinkStalls:
		stalled := engines[engineNames(firstDomain, text.Prefill)[0]]
		if err := stalled.injectFault(control.Fault{Kind: control.StallTransfer}); err != nil {
			return err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			sleep(ctx, stallDuration)
			_ = stalled.clearFaults()
		}()
	case InstanceReplaced:
		dispatcher := instances.dispatcherOf(firstDomain.Name)
		if r.onCrash != nil {
			r.onCrash(dispatcher)
		}
		dispatcher.close()
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = instances.replace(ctx, dispatcher, crashDetectionDelay)
		}()
	case NoFaults, ReportsLag:
	}
	return nil
}

// computeWastedPrefill computes the ratio of wasted to all prefill tokens from the
// counters of the engines. Those of killed engines are lost.
func (r *Result) computeWastedPrefill(engines map[ident.EndpointID]*engineProcess) error {
	var computed, wasted int64
	for _, p := range engines {
		record, err := p.fetchRecord()
		if err != nil {
			return err
		}
		computed += record.Counts.PrefillTokens
		wasted += record.Counts.WastedPrefillTokens + record.Counts.PulledNeverDecoded
	}
	r.WastedPrefill = float64(wasted) / float64(max(1, computed))
	return nil
}

// UnmarshalText implements encoding.TextUnmarshaler; it accepts the names of the
// constants.
func (f *Faults) UnmarshalText(name []byte) error {
	for candidate := NoFaults; candidate <= ReportsLag; candidate++ {
		if candidate.String() == string(name) {
			*f = candidate
			return nil
		}
	}
	return fmt.Errorf("unknown fault %q", name)
}
