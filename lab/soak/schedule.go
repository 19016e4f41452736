package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Timing of the schedule of faults.
const (
	firstFault    = 1 * time.Second
	longestGap    = 2 * time.Second // Longest time between the beginnings of two faults.
	shortestGap   = 500 * time.Millisecond
	longestFault  = 6 * time.Second
	shortestFault = 1 * time.Second
	faultFreeTail = 2 * time.Second
)

// target is the component of the fleet that a fault is injected into.
type target struct {
	name     string
	index    int      // Index among the components of its kind.
	affected []string // Names of further components that the fault affects.
}

// faultSpec describes one fault: where it can be injected, and how it begins and ends.
type faultSpec struct {
	name      string
	kind      targetKind
	editsText bool // Whether the fault edits the text.
	begin     func(ctx context.Context, r *run, t target) error
	finish    func(ctx context.Context, r *run, t target) error
}

// plannedFault is one fault of the schedule.
type plannedFault struct {
	spec   faultSpec
	target target
	start  time.Duration
	length time.Duration
}

// planFaults derives the whole schedule from the seed.
func (r *run) planFaults() []plannedFault {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 2))
	faults := newFaultSampler(random, r.enabledFaults())
	var schedule []plannedFault
	at := firstFault
	for {
		spec, ok := faults.next()
		if !ok {
			break
		}
		length := randomDuration(random, shortestFault, longestFault)
		if at+length+faultFreeTail > r.cfg.Length {
			break
		}
		schedule = append(schedule, plannedFault{spec: spec, target: r.drawTarget(random, spec.kind), start: at, length: length})
		at += randomDuration(random, shortestGap, longestGap)
		if r.cfg.SingleFaults {
			at += length
		}
	}
	return schedule
}

// randomDuration draws a duration from low, inclusive, to high, exclusive.
func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// enabledFaults returns the faults that the run draws from.
func (r *run) enabledFaults() []faultSpec {
	if len(r.cfg.Faults) == 0 {
		return faultTable()
	}
	var enabled []faultSpec
	for _, spec := range faultTable() {
		if slices.Contains(r.cfg.Faults, spec.name) {
			enabled = append(enabled, spec)
		}
	}
	return enabled
}

// runFaults injects the planned faults in order and waits until all have ended. At most
// two are active at a time, and one per target: a fault waits until fewer than two are
// active, and is skipped if its target has a fault then.
func (r *run) runFaults(ctx context.Context) {
	var active sync.WaitGroup
	defer active.Wait()
	slots := make(chan struct{}, 2)
	start := time.Now()
	for _, p := range r.planFaults() {
		if sleep(ctx, time.Until(start.Add(p.start))) != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		if time.Since(start)+p.length+faultFreeTail > r.cfg.Length {
			return
		}
		if !r.reserveTarget(p.target) {
			<-slots
			continue
		}
		active.Go(func() {
			r.runFault(ctx, p)
			r.releaseTarget(p.target)
			<-slots
		})
	}
}

// runFault begins a fault and ends it after its length.
func (r *run) runFault(ctx context.Context, p plannedFault) {
	r.logf("%s on %s for %.1fs", p.spec.name, p.target.name, p.length.Seconds())
	if err := p.spec.begin(ctx, r, p.target); err != nil {
		r.logf("%s on %s: %v", p.spec.name, p.target.name, err)
	}
	_ = sleep(ctx, p.length)
	// The fault is ended even if the run was cancelled.
	if err := p.spec.finish(context.WithoutCancel(ctx), r, p.target); err != nil {
		r.logf("end of %s on %s: %v", p.spec.name, p.target.name, err)
	}
}

// reserveTarget reserves a target and all it affects; it fails if any of them is in use.
func (r *run) reserveTarget(t target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := append([]string{t.name}, t.affected...)
	for _, name := range names {
		if r.targetsInUse[name] {
			return false
		}
	}
	for _, name := range names {
		r.targetsInUse[name] = true
	}
	return true
}

// releaseTarget releases what reserveTarget reserved.
func (r *run) releaseTarget(t target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range append([]string{t.name}, t.affected...) {
		delete(r.targetsInUse, name)
	}
}

// hasFault reports whether the named component has a fault.
func (r *run) hasFault(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targetsInUse[name]
}

// sleep waits for d; it returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
