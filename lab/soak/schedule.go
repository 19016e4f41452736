package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Times of the schedule.
const (
	firstFault    = 1 * time.Second
	longestGap    = 2 * time.Second // Between the beginnings of faults.
	shortestGap   = 500 * time.Millisecond
	longestFault  = 6 * time.Second
	shortestFault = 1 * time.Second
	quietAtEnd    = 2 * time.Second
)

// target is what a fault is drawn for: one of the fleet's parts.
type target struct {
	name string
	pick int      // Index among the parts of its sort.
	also []string // Names of further parts that it touches.
}

// faultEntry is one row of the table of faults.
type faultEntry struct {
	name   string
	sort   sort
	edits  bool // It edits the text.
	begin  func(ctx context.Context, r *run, t target) error
	finish func(ctx context.Context, r *run, t target) error
}

// planned is one fault of the schedule.
type planned struct {
	entry  faultEntry
	target target
	at     time.Duration
	length time.Duration
}

// plan draws the whole schedule from the seed.
func (r *run) plan() []planned {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 2))
	faults := newDeck(random, r.entries())
	var schedule []planned
	at := firstFault
	for {
		entry, ok := faults.next()
		if !ok {
			break
		}
		length := between(random, shortestFault, longestFault)
		if at+length+quietAtEnd > r.cfg.Length {
			break
		}
		schedule = append(schedule, planned{entry: entry, target: r.draw(random, entry.sort), at: at, length: length})
		at += between(random, shortestGap, longestGap)
		if r.cfg.Alone {
			at += length
		}
	}
	return schedule
}

// between draws a duration.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// entries returns the rows of the table that the run draws from.
func (r *run) entries() []faultEntry {
	if len(r.cfg.Faults) == 0 {
		return faultTable()
	}
	var chosen []faultEntry
	for _, entry := range faultTable() {
		if slices.Contains(r.cfg.Faults, entry.name) {
			chosen = append(chosen, entry)
		}
	}
	return chosen
}

// schedule makes the faults of the plan in their order and waits for their ends.
// At most two are active at a time, and never two on one target: a fault waits
// for the end of another, and is left out while its target is busy.
func (r *run) schedule(ctx context.Context) {
	var active sync.WaitGroup
	defer active.Wait()
	slots := make(chan struct{}, 2)
	start := time.Now()
	for _, p := range r.plan() {
		if wait(ctx, time.Until(start.Add(p.at))) != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		if time.Since(start)+p.length+quietAtEnd > r.cfg.Length {
			return
		}
		if !r.claim(p.target) {
			<-slots
			continue
		}
		active.Go(func() {
			r.makeFault(ctx, p)
			r.unclaim(p.target)
			<-slots
		})
	}
}

// makeFault begins a fault and ends it after its length.
func (r *run) makeFault(ctx context.Context, p planned) {
	r.note("%s on %s for %.1fs", p.entry.name, p.target.name, p.length.Seconds())
	if err := p.entry.begin(ctx, r, p.target); err != nil {
		r.note("%s on %s: %v", p.entry.name, p.target.name, err)
	}
	_ = wait(ctx, p.length)
	// The end is made also when the run is being stopped.
	if err := p.entry.finish(context.WithoutCancel(ctx), r, p.target); err != nil {
		r.note("end of %s on %s: %v", p.entry.name, p.target.name, err)
	}
}

// claim marks a target as busy; it fails when a part of it is.
func (r *run) claim(t target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := append([]string{t.name}, t.also...)
	for _, name := range names {
		if r.busy[name] {
			return false
		}
	}
	for _, name := range names {
		r.busy[name] = true
	}
	return true
}

// unclaim ends the mark of claim.
func (r *run) unclaim(t target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range append([]string{t.name}, t.also...) {
		delete(r.busy, name)
	}
}

// isBusy reports whether a fault is on the part with the name.
func (r *run) isBusy(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.busy[name]
}

// wait waits for d, or until ctx ends.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
