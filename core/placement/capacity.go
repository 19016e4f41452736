package placement

import (
	"time"

	"monsoonfork/core/ident"
)

// capacityTTL is how long the reported capacity of another domain is used.
const capacityTTL = 300 * time.Millisecond

// Capacity is the capacity of one domain for a model, as its dispatcher reports it
// to other domains.
type Capacity struct {
	Domain    ident.DomainID
	FreeSlots int // Free decode slots minus queued requests.
}

// domainCapacity is the last reported capacity of another domain.
type domainCapacity struct {
	freeSlots  int
	validUntil time.Time
}

// Capacity returns the capacity of this dispatcher's domain. It is 0 while leases
// are being restored, or if no prefill engine can take work now.
func (d *Dispatcher) Capacity() Capacity {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	capacity := Capacity{Domain: d.domain}
	if d.recovering || d.closeErr != nil {
		return capacity
	}
	prefillAvailable := anyEngine(d.prefillEngines, func(e *engineState) bool { return d.prefillOpen(e, now) })
	for _, e := range d.decodeEngines {
		if prefillAvailable && e.usable(now) {
			capacity.FreeSlots += e.freeSlots()
		}
	}
	capacity.FreeSlots = max(0, capacity.FreeSlots-d.queue.length)
	return capacity
}

// SetCapacity records the capacity of another domain.
func (d *Dispatcher) SetCapacity(capacity Capacity) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacities[capacity.Domain] = &domainCapacity{freeSlots: capacity.FreeSlots, validUntil: d.now().Add(capacityTTL)}
	d.reschedule()
}

// HasWaiting reports whether requests are waiting. Only then is the capacity of
// other domains needed.
func (d *Dispatcher) HasWaiting() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.length > 0
}

// redirectWaiting redirects requests that have waited for RedirectAfter to other
// domains with free slots. Each redirect takes one slot off the recorded capacity.
// Requests that came from another domain are not redirected again.
func (d *Dispatcher) redirectWaiting(now time.Time) {
	if d.queue.length == 0 || len(d.capacities) == 0 {
		return
	}
	for _, f := range d.queue.flowsByVirtualTime() {
		for len(f.requests) > 0 {
			w := f.requests[0]
			target := d.domainWithMostFreeSlots(now)
			if target == "" {
				return
			}
			if w.request.Forwarded || now.Sub(w.arrived) < d.tuning.RedirectAfter {
				break
			}
			d.capacities[target].freeSlots--
			d.counts.Redirected++
			d.resolve(w, Decision{RedirectTo: target})
		}
	}
}

// domainWithMostFreeSlots returns the other domain with the most free slots, or ""
// if none is known to have any.
func (d *Dispatcher) domainWithMostFreeSlots(now time.Time) ident.DomainID {
	var best ident.DomainID
	most := 0
	for id, r := range d.capacities {
		if now.After(r.validUntil) || r.freeSlots <= 0 {
			continue
		}
		if r.freeSlots > most || (r.freeSlots == most && id < best) {
			best, most = id, r.freeSlots
		}
	}
	return best
}
