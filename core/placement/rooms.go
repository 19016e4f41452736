package placement

import (
	"time"

	"monsoonfork/core/ident"
)

// roomTrust is how long a summary of another domain is used.
const roomTrust = 300 * time.Millisecond

// Room is a summary of what a dispatcher could take now.
type Room struct {
	Domain    ident.DomainID
	FreeSlots int // Decode slots that are free beyond its own queue.
}

// room is a summary of another domain with its end of use.
type room struct {
	free  int
	until time.Time
}

// Room returns the summary of this dispatcher.
func (d *Dispatcher) Room() Room {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	r := Room{Domain: d.domain}
	if d.learning || d.closed != nil {
		return r
	}
	open := anyEngine(d.prefills, func(e *engineState) bool { return d.prefillOpen(e, now) })
	for _, e := range d.decodes {
		if open && e.usable(now) {
			r.FreeSlots += e.freeSlots()
		}
	}
	r.FreeSlots = max(0, r.FreeSlots-d.queue.length)
	return r
}

// SetRoom takes the summary of another domain.
func (d *Dispatcher) SetRoom(r Room) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rooms[r.Domain] = &room{free: r.FreeSlots, until: d.now().Add(roomTrust)}
	d.changed()
}

// Pressed reports whether requests wait, so that summaries of other domains
// are of use.
func (d *Dispatcher) Pressed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.length > 0
}

// sendElsewhere passes requests that have waited to domains with room. Each
// one sent takes a slot off the summary.
func (d *Dispatcher) sendElsewhere(now time.Time) {
	if d.queue.length == 0 || len(d.rooms) == 0 {
		return
	}
	for _, f := range d.queue.order() {
		for len(f.requests) > 0 {
			w := f.requests[0]
			target := d.roomiestDomain(now)
			if target == "" {
				return
			}
			if w.request.Forwarded || now.Sub(w.arrived) < d.tuning.ElsewhereAfter {
				break
			}
			d.rooms[target].free--
			d.counts.Elsewhere++
			d.answer(w, Decision{Elsewhere: target})
		}
	}
}

// roomiestDomain returns the domain with the most free slots, or "".
func (d *Dispatcher) roomiestDomain(now time.Time) ident.DomainID {
	var best ident.DomainID
	most := 0
	for id, r := range d.rooms {
		if now.After(r.until) || r.free <= 0 {
			continue
		}
		if r.free > most || (r.free == most && id < best) {
			best, most = id, r.free
		}
	}
	return best
}
