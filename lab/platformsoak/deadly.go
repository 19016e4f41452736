package platformsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"monsoonfork/platform/standin"
)

// Timing and shares of the part of prompts that crashes engines.
const (
	deadlyName       = "DeadlyPart" // Its name among the faults of Config.
	deadlyID         = "dead"
	deadlyShare      = 0.3                     // Share of the streams with the part, in its time.
	deadlyLength     = 9 * time.Second         // Time in which requests have the part.
	deadlyDownTime   = 1500 * time.Millisecond // From a crash until another engine takes the place.
	deadlySource     = 3                       // Part of the run that draws the requests with the part.
	deadlyCrashLimit = 5                       // Crashes after which no more than maxDeadlySent requests may reach engines,
	deadlyWindow     = 3 * time.Second         // when this time has passed.
	maxDeadlySent    = 3
)

// deadlyPart is the part of prompts that crashes engines in one span of a run.
type deadlyPart struct {
	random   *rand.Rand // Used by sendRequests only.
	from, to time.Time  // Both zero if the run has no such part.
	restarts sync.WaitGroup

	mu      sync.Mutex
	crashes []time.Time
}

// drawDeadlyPart draws when requests have the part.
func (r *run) drawDeadlyPart() {
	d := &r.deadly
	d.random = r.randomSource(deadlySource)
	latest := r.cfg.Length - faultFreeTail - deadlyLength
	if latest <= firstFault || len(r.cfg.Faults) > 0 && !slices.Contains(r.cfg.Faults, deadlyName) {
		return
	}
	d.from = r.start.Add(randomDuration(d.random, firstFault, latest))
	d.to = d.from.Add(deadlyLength)
	r.testbed.engines.SetCrashes(r.crashUnder)
	r.logf("%s from %.1fs to %.1fs", deadlyName, d.from.Sub(r.start).Seconds(), d.to.Sub(r.start).Seconds())
}

// drawParts draws the parts of the prompt of the stream with number n.
func (r *run) drawParts(a *request, n int) {
	if !a.Stream {
		return
	}
	now, drawn := time.Now(), r.deadly.random.Float64()
	a.Parts = []string{fmt.Sprintf("%x", a.organisation)}
	if now.After(r.deadly.from) && now.Before(r.deadly.to) && drawn < deadlyShare {
		a.deadly = true
		a.Parts = append(a.Parts, deadlyID)
	}
	a.Parts = append(a.Parts, fmt.Sprintf("%x", n))
}

// crashUnder crashes an engine that begins to answer a prompt with the part, unless the engine
// has another fault. Another engine takes its place after a while.
func (r *run) crashUnder(e *standin.Engine, parts []string) bool {
	if !slices.Contains(parts, deadlyID) {
		return false
	}
	p := r.testbed.replicaNamed(r.testbed.replicaOf(e.ID))
	if p == nil || !r.reserveTarget(p.name) {
		return true // The connection is closed, and the engine lives on.
	}
	endFault := r.beginFault(p.name)
	r.deadly.mu.Lock()
	r.deadly.crashes = append(r.deadly.crashes, time.Now())
	r.deadly.mu.Unlock()
	r.logf("%s crashes %s", deadlyName, p.name)
	e.Stop(true)
	r.deadly.restarts.Go(func() {
		defer r.releaseTarget(p.name)
		defer endFault()
		time.Sleep(deadlyDownTime)
		e.Stop(false)
		if err := r.testbed.startEngine(p); err != nil {
			r.logf("restart of %s: %v", p.name, err)
		}
	})
	return true
}

// replicaNamed returns the replica with a name, or nil.
func (w *testbed) replicaNamed(name string) *replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.IndexFunc(w.replicas, func(p *replica) bool { return p.name == name })
	if i < 0 {
		return nil
	}
	return w.replicas[i]
}

// checkDeadly reports prompts with the part that reached engines after several crashes, sent by
// instances without a fault that could learn of the crashes.
func (r *run) checkDeadly(requests map[string]*request, arrivals []standin.Arrival) {
	r.deadly.mu.Lock()
	crashes := slices.Clone(r.deadly.crashes)
	r.deadly.mu.Unlock()
	if len(crashes) < deadlyCrashLimit {
		return
	}
	slices.SortFunc(crashes, time.Time.Compare)
	last := crashes[deadlyCrashLimit-1]
	sent := 0
	for _, t := range arrivals {
		a := requests[t.Request]
		if a == nil || !a.deadly || t.At.Before(last.Add(deadlyWindow)) {
			continue
		}
		if r.faultFree(a.instance, last, t.At) && r.faultFree(storeName, last, t.At) {
			sent++
		}
	}
	if sent > maxDeadlySent {
		r.addFinding(DeadlyPromptsAreHeld, "%d requests with the part reached engines later than %v after the crash number %d of %d", sent, deadlyWindow, deadlyCrashLimit, len(crashes))
	}
}
