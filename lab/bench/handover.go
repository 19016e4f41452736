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

// Parameters of a handover measurement.
const (
	pollInterval      = 20 * time.Millisecond
	comparisonWindow  = 3 * time.Second // Length of the windows before and after the crash in which requests are counted.
	inFlightTolerance = 3               // Held slots that may be missing from the count because their messages are in flight.
)

// Handover is the result of crashing the dispatcher of a failure domain under
// load and waiting for the next dispatcher to take over.
type Handover struct {
	Workload          string
	Seed              uint64
	Learning          bool              // Whether the new dispatcher recovers the held slots before it places requests.
	FirstGrantDelay   time.Duration     // Time from the crash until the new dispatcher granted its first lease.
	ReconcileDelay    time.Duration     // Time from the crash to the last poll at which there was no new dispatcher or its count did not match the engines.
	MaxUncountedSlots int               // Largest number of held slots missing from the count at one poll.
	OvercommitBefore  Overcommit        // From comparisonWindow after the start to the crash.
	OvercommitAfter   Overcommit        // From the crash to the end of the arrivals.
	Requests          [2]HandoverCounts // In the windows of comparisonWindow before and after the crash.
	LeasesAtCrash     int               // Leases that were open at the crashed instance.
}

// Overcommit is the number of requests that the decode engines of the failure
// domain held in excess of their slots.
type Overcommit struct {
	MaxSlots    int     // Maximum over all polls of the sum over the engines.
	SlotSeconds float64 // Excess slots integrated over time.
}

// addPoll adds one poll of the engines: the excess slots and the time since the
// previous poll.
func (o *Overcommit) addPoll(slots int, elapsed time.Duration) {
	o.MaxSlots = max(o.MaxSlots, slots)
	o.SlotSeconds += float64(slots) * elapsed.Seconds()
}

// HandoverCounts counts the outcomes of requests within the organisations' rates
// that arrived at other instances than the crashed one. Failed requests are those
// that ended with an error and may have run on an engine.
type HandoverCounts struct {
	Requests, WithinTargets, Refused, Failed int
}

// handoverMonitor polls the decode engines and the dispatcher of one failure
// domain during a round.
type handoverMonitor struct {
	instances *instanceGroup
	engines   map[ident.EndpointID]*engineProcess
	domain    ident.DomainID
	result    *Handover

	mu              sync.Mutex
	startedAt       time.Time
	crashedAt       time.Time
	crashedInstance *instance
	lastPoll        time.Time
	lastMismatch    time.Time // Last poll without a new dispatcher, or with one that was recovering or miscounted.
}

// RunHandover runs a round in which the dispatcher of the first failure domain
// crashes halfway, and measures how the next dispatcher takes over. Without
// recovery, the next dispatcher places requests at once.
func (r Round) RunHandover(ctx context.Context, recovery bool) (*Handover, error) {
	r.Faults = InstanceReplaced
	if !recovery {
		r.Placement = append(r.Placement, placement.WithoutRecovery())
	}
	h := &Handover{Workload: r.Workload.Name, Seed: r.Seed, Learning: recovery}
	monitor := &handoverMonitor{domain: r.Workload.Domains[0].Name, result: h}
	r.onCrash = monitor.recordCrash
	monitorCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	_, err := r.run(ctx, func(instances *instanceGroup, engines map[ident.EndpointID]*engineProcess) {
		monitor.instances, monitor.engines, monitor.startedAt = instances, engines, time.Now()
		wg.Go(func() { monitor.pollUntilEnd(monitorCtx, r.Length) })
	}, func(samples []Sample) {
		stop()
		wg.Wait()
		monitor.countRequests(samples)
	})
	if err != nil {
		return nil, err
	}
	h.ReconcileDelay = monitor.lastMismatch.Sub(monitor.crashedAt)
	return h, nil
}

// recordCrash records the time of the crash and the number of leases that were open
// at the crashed dispatcher.
func (m *handoverMonitor) recordCrash(crashed *instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashedInstance, m.crashedAt = crashed, time.Now()
	m.lastMismatch = m.crashedAt
	m.result.LeasesAtCrash = len(crashed.placement.OpenLeases())
}

// pollUntilEnd polls every pollInterval until length has passed since the start of
// the round.
func (m *handoverMonitor) pollUntilEnd(ctx context.Context, length time.Duration) {
	for sleep(ctx, pollInterval) && time.Since(m.startedAt) < length {
		m.poll(ctx)
	}
}

// poll compares the requests that the decode engines hold with the engines' slots
// and, after the crash, with the slots that the new dispatcher counts as reserved.
func (m *handoverMonitor) poll(ctx context.Context) {
	held, ok := m.heldLeases(ctx)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(m.lastPoll)
	if m.lastPoll.IsZero() {
		elapsed = 0
	}
	m.lastPoll = now
	overcommitted := 0
	for _, leases := range held {
		overcommitted += max(0, len(leases)-decodeSlots)
	}
	switch {
	case m.crashedAt.IsZero() && now.After(m.startedAt.Add(comparisonWindow)):
		m.result.OvercommitBefore.addPoll(overcommitted, elapsed)
	case !m.crashedAt.IsZero():
		m.result.OvercommitAfter.addPoll(overcommitted, elapsed)
		m.compareCounts(held, now)
	}
}

// heldLeases returns the ids of the leases whose requests each decode engine of the
// failure domain holds, and whether all engines could be queried.
func (m *handoverMonitor) heldLeases(ctx context.Context) (map[ident.EndpointID]map[string]bool, bool) {
	held := make(map[ident.EndpointID]map[string]bool)
	client := m.instances.live()[0]
	for _, name := range engineNames(m.instances.workload.Domains[0], text.Decode) {
		requests, err := client.engineClient.Requests(ctx, m.engines[name].Address)
		if err != nil {
			return nil, false
		}
		held[name] = make(map[string]bool)
		for _, r := range requests {
			held[name][r.Attempt] = true
		}
	}
	return held, true
}

// compareCounts records how many of the slots held on the engines are missing from
// the new dispatcher's count. Slots that it counts in excess are no mismatch: they
// are reserved for requests that are still in prefill.
func (m *handoverMonitor) compareCounts(held map[ident.EndpointID]map[string]bool, now time.Time) {
	dispatcher := m.instances.dispatcherOf(m.domain)
	if dispatcher == nil || dispatcher == m.crashedInstance {
		m.lastMismatch = now
		return
	}
	dump, ok := dispatcher.placement.Dump().(placement.ServiceDump)
	if !ok || len(dump.Dispatchers) == 0 {
		m.lastMismatch = now
		return
	}
	state := dump.Dispatchers[0]
	if m.result.FirstGrantDelay == 0 && state.Counts["Granted"] > 0 {
		m.result.FirstGrantDelay = now.Sub(m.crashedAt)
	}
	uncounted := 0
	for _, engine := range state.Engines {
		uncounted += max(0, len(held[engine.Name])-engine.ReservedSlots)
	}
	m.result.MaxUncountedSlots = max(m.result.MaxUncountedSlots, uncounted)
	if state.Recovering || uncounted > inFlightTolerance {
		m.lastMismatch = now
	}
}

// countRequests counts the requests at other instances in the windows before and
// after the crash.
func (m *handoverMonitor) countRequests(samples []Sample) {
	for _, s := range samples {
		dueAt := m.startedAt.Add(s.Arrival.Offset)
		sinceCrash := dueAt.Sub(m.crashedAt)
		if !s.Arrival.WithinRate || s.Instance == m.crashedInstance.id || sinceCrash < -comparisonWindow || sinceCrash > comparisonWindow {
			continue
		}
		counts := &m.result.Requests[0]
		if sinceCrash > 0 {
			counts = &m.result.Requests[1]
		}
		counts.addSample(s)
	}
}

// addSample counts the outcome of one request.
func (c *HandoverCounts) addSample(s Sample) {
	c.Requests++
	switch {
	case s.withinTargets():
		c.WithinTargets++
	case s.wrongfullyRefused():
		c.Refused++
	case s.Err != nil && fault.From(s.Err).Ran != fault.NotRun:
		c.Failed++
	}
}
