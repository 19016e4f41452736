package platformsoak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Times of the schedule.
const (
	firstFault    = time.Second
	shortestGap   = 400 * time.Millisecond // Between the beginnings of faults.
	longestGap    = 1800 * time.Millisecond
	shortestFault = 800 * time.Millisecond
	longestFault  = 6 * time.Second
	faultsAtOnce  = 3
)

// target is what a fault is made on: one of them is set, or none.
type target struct {
	name     string
	instance *instance
	place    *place
}

// sort is what a fault is made on.
type sort int

// The sorts.
const (
	onInstance sort = iota
	onEngine
	onStore
	onOperator
)

// entry is one row of the table of faults.
type entry struct {
	name string
	sort sort
	// begin makes the fault and returns its end, which may be nil.
	begin func(r *run, t target) (end func() error, err error)
}

// schedule makes faults until it is time to be quiet, and waits for their ends.
func (r *run) schedule(ctx context.Context) {
	random := r.random(2)
	var rows []entry
	for _, e := range table() {
		if len(r.cfg.Faults) == 0 || slices.Contains(r.cfg.Faults, e.name) {
			rows = append(rows, e)
		}
	}
	last := r.start.Add(r.cfg.Length - quietAtEnd)
	slots := make(chan struct{}, faultsAtOnce)
	var active sync.WaitGroup
	defer active.Wait()
	wait(ctx, firstFault)
	for len(rows) > 0 && ctx.Err() == nil {
		e := rows[random.IntN(len(rows))]
		t := r.target(random, e.sort)
		length := between(random, shortestFault, longestFault)
		if time.Now().Add(length).After(last) {
			return
		}
		slots <- struct{}{}
		if r.claim(t.name) {
			active.Go(func() {
				r.make(ctx, e, t, length)
				r.unclaim(t.name)
				<-slots
			})
		} else {
			<-slots
		}
		wait(ctx, between(random, shortestGap, longestGap))
	}
}

// target draws what a fault is made on.
func (r *run) target(random *rand.Rand, s sort) target {
	switch s {
	case onInstance:
		i := r.world.instances[random.IntN(len(r.world.instances))]
		return target{name: i.name, instance: i}
	case onEngine:
		p := r.world.places[random.IntN(len(r.world.places))]
		return target{name: p.name, place: p}
	case onStore:
		return target{name: storeName}
	default:
		return target{name: "operator"}
	}
}

// storeName names the store among what faults touch.
const storeName = "store"

// make makes one fault and ends it after its length.
func (r *run) make(ctx context.Context, e entry, t target, length time.Duration) {
	r.note("%s on %s for %.1fs", e.name, t.name, length.Seconds())
	defer r.touch(t.name)()
	end, err := e.begin(r, t)
	if err != nil {
		r.note("%s on %s: %v", e.name, t.name, err)
	}
	wait(ctx, length)
	if end == nil {
		return
	}
	if err := end(); err != nil {
		r.note("end of %s on %s: %v", e.name, t.name, err)
	}
}

// claim marks a target as in use; it fails if it is.
func (r *run) claim(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[name] {
		return false
	}
	r.busy[name] = true
	return true
}

// unclaim ends the mark of claim.
func (r *run) unclaim(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, name)
}

// between draws a time.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// wait waits, or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
