package platformsoak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Timing of the schedule of faults.
const (
	firstFault          = time.Second
	shortestGap         = 400 * time.Millisecond // Shortest time between the beginnings of two faults.
	longestGap          = 1800 * time.Millisecond
	shortestFault       = 800 * time.Millisecond
	longestFault        = 6 * time.Second
	maxConcurrentFaults = 3
)

// firstFaultPart is the part of the run whose random source draws the details of the first
// fault; those of later faults follow.
const firstFaultPart = 1000

// target is the component that a fault is injected into. At most one of instance and
// replica is set.
type target struct {
	name     string
	instance *instance
	replica  *replica
	random   *rand.Rand // Draws the details of the fault.
}

// targetKind is the kind of component that a fault is injected into.
type targetKind int

// The kinds of targets.
const (
	instanceTarget targetKind = iota
	engineTarget
	soundEngineTarget // An engine that has no fault in the checks: callers must not notice.
	storeTarget
	copiedStoreTarget   // The store while a copy of it is made: it has no fault until the end of the fault.
	soundInstanceTarget // An instance that has no fault in the checks: all time bounds hold.
	operatorTarget
)

// isSound reports whether a target of the kind has no fault in the checks.
func (k targetKind) isSound() bool {
	return k == soundEngineTarget || k == soundInstanceTarget || k == copiedStoreTarget
}

// faultSpec describes one fault.
type faultSpec struct {
	name string
	kind targetKind
	// begin begins the fault and returns the function that ends it, which may be nil.
	begin func(r *run, t target) (end func() error, err error)
}

// runFaults injects faults until faultFreeTail before the end of the run, and waits
// until all have ended.
func (r *run) runFaults(ctx context.Context) {
	random := r.randomSource(2)
	var rows []faultSpec
	for _, e := range faultTable() {
		if len(r.cfg.Faults) == 0 || slices.Contains(r.cfg.Faults, e.name) {
			rows = append(rows, e)
		}
	}
	last := r.start.Add(r.cfg.Length - faultFreeTail)
	slots := make(chan struct{}, maxConcurrentFaults)
	var active sync.WaitGroup
	defer active.Wait()
	sleep(ctx, firstFault)
	for n := uint64(0); len(rows) > 0 && ctx.Err() == nil; n++ {
		e := rows[random.IntN(len(rows))]
		t := r.drawTarget(random, e.kind)
		t.random = r.randomSource(firstFaultPart + n)
		length := randomDuration(random, shortestFault, longestFault)
		if time.Now().Add(length).After(last) {
			return
		}
		slots <- struct{}{}
		if r.reserveTarget(t.name) {
			active.Go(func() {
				r.runFault(ctx, e, t, length)
				r.releaseTarget(t.name)
				<-slots
			})
		} else {
			<-slots
		}
		sleep(ctx, randomDuration(random, shortestGap, longestGap))
	}
}

// drawTarget draws a target of the given kind.
func (r *run) drawTarget(random *rand.Rand, kind targetKind) target {
	switch kind {
	case instanceTarget, soundInstanceTarget:
		i := r.testbed.instances[random.IntN(len(r.testbed.instances))]
		return target{name: i.name, instance: i}
	case engineTarget, soundEngineTarget:
		p := r.testbed.replicas[random.IntN(len(r.testbed.replicas))]
		return target{name: p.name, replica: p}
	case storeTarget, copiedStoreTarget:
		return target{name: storeName}
	default:
		return target{name: "operator"}
	}
}

// storeName is the name of the store as a target of faults.
const storeName = "store"

// runFault begins a fault and ends it after its length.
func (r *run) runFault(ctx context.Context, e faultSpec, t target, length time.Duration) {
	r.logf("%s on %s for %.1fs", e.name, t.name, length.Seconds())
	if !e.kind.isSound() {
		defer r.beginFault(t.name)()
	}
	end, err := e.begin(r, t)
	if err != nil {
		r.logf("%s on %s: %v", e.name, t.name, err)
	}
	sleep(ctx, length)
	if end == nil {
		return
	}
	if err := end(); err != nil {
		r.logf("end of %s on %s: %v", e.name, t.name, err)
	}
}

// reserveTarget reserves a target; it fails if the target has a fault already.
func (r *run) reserveTarget(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targetsInUse[name] {
		return false
	}
	r.targetsInUse[name] = true
	return true
}

// releaseTarget releases what reserveTarget reserved.
func (r *run) releaseTarget(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.targetsInUse, name)
}

// randomDuration draws a duration from low, inclusive, to high, exclusive.
func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
