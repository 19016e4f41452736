package bench

import (
	"context"
	"sync"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/placement"
	"monsoonfork/core/text"
)

// Times of a hand-over measurement.
const (
	watchInterval  = 20 * time.Millisecond
	handoverWindow = 3 * time.Second // Before and after the crash, in which requests are compared.
	slotsInMotion  = 3               // Slots that may differ because their messages are under way.
)

// Handover is what was seen when an instance crashed that dispatched in a
// domain at peak.
type Handover struct {
	Workload  string
	Seed      uint64
	Learning  bool
	Granted   time.Duration // From the crash to the first grant of the new dispatcher.
	Right     time.Duration // From the crash until its count agrees with the engines and stays so.
	Wrong     int           // Most slots by which the count differed.
	Before    Overcommit
	After     Overcommit
	Requests  [2]HandoverCounts // In the windows before and after the crash.
	WithOwner int               // Requests that were under way at the crashed instance.
}

// Overcommit sums up by how much decode engines of the domain held more
// requests than slots.
type Overcommit struct {
	Most        int     // On all engines together, at one moment.
	SlotSeconds float64 // Over the window.
}

// add takes one look at the engines.
func (o *Overcommit) add(slots int, passed time.Duration) {
	o.Most = max(o.Most, slots)
	o.SlotSeconds += float64(slots) * passed.Seconds()
}

// HandoverCounts counts what became of requests in rate at other instances.
type HandoverCounts struct {
	Requests, Good, Refused, Broken int
}

// watch follows the engines and the dispatcher of one domain.
type watch struct {
	all     *entries
	engines map[ident.EndpointID]*engineProcess
	domain  ident.DomainID
	result  *Handover

	mu      sync.Mutex
	started time.Time
	crashed time.Time
	old     *entry
	last    time.Time // When the engines were looked at last.
	wrongAt time.Time // When the count differed last.
}

// RunHandover crashes the instance that dispatches in the first domain in the
// middle of a round, and measures what follows.
func (r Round) RunHandover(ctx context.Context, learning bool) (*Handover, error) {
	r.Faults = InstanceReplaced
	if !learning {
		r.Placement = append(r.Placement, placement.WithoutRecovery())
	}
	h := &Handover{Workload: r.Workload.Name, Seed: r.Seed, Learning: learning}
	w := &watch{domain: r.Workload.Domains[0].Name, result: h}
	r.onReplace = w.crash
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	_, err := r.run(ctx, func(all *entries, engines map[ident.EndpointID]*engineProcess) {
		w.all, w.engines, w.started = all, engines, time.Now()
		wg.Go(func() { w.follow(watchCtx, r.Length) })
	}, func(samples []Sample) {
		stop()
		wg.Wait()
		w.count(samples)
	})
	if err != nil {
		return nil, err
	}
	h.Right = w.wrongAt.Sub(w.crashed)
	return h, nil
}

// crash notes the crash of the dispatching instance.
func (w *watch) crash(old *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.old, w.crashed = old, time.Now()
	w.wrongAt = w.crashed
	w.result.WithOwner = len(old.placement.OpenLeases())
}

// follow looks at the engines and the dispatcher until the arrivals end.
func (w *watch) follow(ctx context.Context, length time.Duration) {
	for sleep(ctx, watchInterval) && time.Since(w.started) < length {
		w.look(ctx)
	}
}

// look compares what the decode engines hold with their slots, and with what
// the dispatcher counts.
func (w *watch) look(ctx context.Context) {
	held, ok := w.held(ctx)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	passed := now.Sub(w.last)
	if w.last.IsZero() {
		passed = 0
	}
	w.last = now
	over := 0
	for _, leases := range held {
		over += max(0, len(leases)-decodeSlots)
	}
	switch {
	case w.crashed.IsZero() && now.After(w.started.Add(handoverWindow)):
		w.result.Before.add(over, passed)
	case !w.crashed.IsZero():
		w.result.After.add(over, passed)
		w.compare(held, now)
	}
}

// held returns the leases that the decode engines of the domain hold, together
// with those that live instances have placed there.
func (w *watch) held(ctx context.Context) (map[ident.EndpointID]map[string]bool, bool) {
	held := make(map[ident.EndpointID]map[string]bool)
	asker := w.all.live()[0]
	for _, name := range engineNames(w.all.workload.Domains[0], text.Decode) {
		list, err := asker.engines.Requests(ctx, w.engines[name].Address)
		if err != nil {
			return nil, false
		}
		held[name] = make(map[string]bool)
		for _, r := range list {
			held[name][r.Attempt] = true
		}
	}
	return held, true
}

// compare notes by how much the new dispatcher's count differs from what the
// engines hold. Reserved slots of running prefills are not on the engines yet.
func (w *watch) compare(held map[ident.EndpointID]map[string]bool, now time.Time) {
	e := w.all.dispatcherOf(w.domain)
	if e == nil || e == w.old {
		w.wrongAt = now
		return
	}
	dump, ok := e.placement.Dump().(placement.ServiceDump)
	if !ok || len(dump.Dispatchers) == 0 {
		w.wrongAt = now
		return
	}
	d := dump.Dispatchers[0]
	if w.result.Granted == 0 && d.Counts["Granted"] > 0 {
		w.result.Granted = now.Sub(w.crashed)
	}
	missing := 0
	for _, engine := range d.Engines {
		missing += max(0, len(held[engine.Name])-engine.ReservedSlots)
	}
	w.result.Wrong = max(w.result.Wrong, missing)
	if d.Learning || missing > slotsInMotion {
		w.wrongAt = now
	}
}

// count counts the requests of other instances before and after the crash.
func (w *watch) count(samples []Sample) {
	for _, s := range samples {
		sent := w.started.Add(s.Arrival.At)
		gap := sent.Sub(w.crashed)
		if !s.Arrival.InRate || s.Instance == w.old.id || gap < -handoverWindow || gap > handoverWindow {
			continue
		}
		c := &w.result.Requests[0]
		if gap > 0 {
			c = &w.result.Requests[1]
		}
		c.add(s)
	}
}

// add counts one request.
func (c *HandoverCounts) add(s Sample) {
	c.Requests++
	switch {
	case s.good():
		c.Good++
	case s.refusedInRate():
		c.Refused++
	case s.Err != nil && fault.From(s.Err).Ran != fault.NotRun:
		c.Broken++
	}
}
