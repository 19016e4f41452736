package placement

import (
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// suspectGrace is how long after its deadline a lease is still believed.
const suspectGrace = 5 * time.Second

// Learn takes leases that were granted by an earlier dispatcher. Those that
// are known, or ended meanwhile, have no effect.
func (d *Dispatcher) Learn(list []Held) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, h := range list {
		if _, known := d.leases[h.Lease]; known || d.tombstones[h.Lease] {
			continue
		}
		d.adopt(h, now)
	}
	d.changed()
}

// adopt counts a lease that this dispatcher did not grant.
func (d *Dispatcher) adopt(h Held, now time.Time) {
	l := &lease{
		held:       h,
		prefill:    d.engines[h.Prefill],
		decode:     d.engines[h.Decode],
		prefilling: h.Phase == Prefilling,
		granted:    now,
	}
	if l.decode != nil {
		l.decodePieces = l.decode.piecesFor(h.PromptTokens + h.MaxTokens)
	}
	if l.prefill != nil && l.prefilling {
		l.prefillPieces = l.prefill.piecesFor(h.PromptTokens)
		l.prefillTokens = h.PromptTokens
	}
	l.reserve()
	d.leases[h.Lease] = l
	if l.prefilling && l.prefill != nil {
		d.recount(l.prefill, now)
	}
}

// Learned ends the learning: the dispatcher places from now on.
func (d *Dispatcher) Learned() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learning = false
	d.tombstones = make(map[LeaseID]bool)
	d.changed()
}

// Learning reports whether the dispatcher still learns what is held.
func (d *Dispatcher) Learning() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.learning
}

// Suspects returns the leases whose holder is not live, or whose deadline has
// passed: their ends may have been lost.
func (d *Dispatcher) Suspects(live func(ident.InstanceID) bool) []Held {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var list []Held
	for _, l := range d.leases {
		if !live(l.held.Holder) || now.After(l.held.Deadline.Add(suspectGrace)) {
			list = append(list, l.held)
		}
	}
	return list
}

// Drop ends suspect leases that their engines no longer list.
func (d *Dispatcher) Drop(ids []LeaseID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, id := range ids {
		if l, ok := d.leases[id]; ok {
			d.end(l, Outcome{Result: Cancelled, OutputTokens: l.held.MaxTokens}, now)
		}
	}
	d.changed()
}

// Close refuses all that waits, and whatever comes later, with err. Leases
// stay with the dispatcher that follows.
func (d *Dispatcher) Close(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = err
	for _, w := range d.waiting {
		d.counts.Closed++
		d.answer(w, Decision{Err: err})
	}
}

// ReportLoad takes a lagging load report of an engine.
func (d *Dispatcher) ReportLoad(id ident.EndpointID, load Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.engines[id]
	if !ok || e.Role != text.Decode {
		return
	}
	e.foreign.observe(load, e.slots, e.pieces)
	d.changed()
}

// CacheEvent is one event of an engine's prefix cache.
type CacheEvent struct {
	Type   string // "stored", "removed" or "cleared".
	Hashes []string
}

// ReportCache takes cache events of an engine. gap says that events before
// them were lost: what was known of the engine is then forgotten.
func (d *Dispatcher) ReportCache(id ident.EndpointID, events []CacheEvent, gap bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if gap {
		d.prefixes.cleared(id)
	}
	for _, ev := range events {
		switch ev.Type {
		case "cleared":
			d.prefixes.cleared(id)
		case "removed":
			for _, h := range ev.Hashes {
				d.prefixes.removed(id, h)
			}
		case "stored":
			for _, h := range ev.Hashes {
				d.prefixes.stored(id, h)
			}
		}
	}
}
