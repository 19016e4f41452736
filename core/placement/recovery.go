package placement

import (
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// leaseExpiryGrace is how long after its deadline a lease becomes stale.
const leaseExpiryGrace = 5 * time.Second

// RestoreLeases adds leases that were granted by an earlier dispatcher. Leases
// that are known already, or have ended meanwhile, are skipped.
func (d *Dispatcher) RestoreLeases(list []LeaseRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, h := range list {
		if _, known := d.leases[h.Lease]; known || d.tombstones[h.Lease] {
			continue
		}
		d.restoreLease(h, now)
	}
	d.reschedule()
}

// restoreLease reserves the engines of a lease that an earlier dispatcher granted.
func (d *Dispatcher) restoreLease(h LeaseRecord, now time.Time) {
	l := &lease{
		record:     h,
		prefill:    d.engines[h.Prefill],
		decode:     d.engines[h.Decode],
		prefilling: h.Phase == Prefilling,
		grantedAt:  now,
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
		d.predictPrefillEnd(l.prefill, now)
	}
}

// FinishRecovery ends the recovery: the dispatcher places requests from now on.
func (d *Dispatcher) FinishRecovery() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recovering = false
	d.tombstones = make(map[LeaseID]bool)
	d.reschedule()
}

// Recovering reports whether the dispatcher is still restoring leases and places
// no requests.
func (d *Dispatcher) Recovering() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recovering
}

// StaleLeases returns the leases whose holder is not live, or whose deadline has
// passed by more than leaseExpiryGrace. The event that ended them may have been
// lost.
func (d *Dispatcher) StaleLeases(live func(ident.InstanceID) bool) []LeaseRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var list []LeaseRecord
	for _, l := range d.leases {
		if !live(l.record.Holder) || now.After(l.record.Deadline.Add(leaseExpiryGrace)) {
			list = append(list, l.record)
		}
	}
	return list
}

// DropLeases ends stale leases that their engines no longer list. They count as
// cancelled, with no refund of tokens.
func (d *Dispatcher) DropLeases(ids []LeaseID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, id := range ids {
		if l, ok := d.leases[id]; ok {
			d.end(l, Outcome{Result: Cancelled, OutputTokens: l.record.MaxTokens}, now)
		}
	}
	d.reschedule()
}

// Close refuses all waiting and all later requests with err. Leases are not ended:
// the next dispatcher restores them.
func (d *Dispatcher) Close(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeErr = err
	for _, w := range d.waiting {
		d.counts.Closed++
		d.resolve(w, Decision{Err: err})
	}
}

// ReportLoad updates the foreign work of a decode engine from its load report,
// which may lag. Reports of other engines are ignored.
func (d *Dispatcher) ReportLoad(id ident.EndpointID, load Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.engines[id]
	if !ok || e.Role != text.Decode {
		return
	}
	e.foreign.observe(load, e.reservedSlots, e.reservedPieces)
	d.reschedule()
}

// CacheEvent is one event of an engine's prefix cache.
type CacheEvent struct {
	Type   string // "stored", "removed" or "cleared".
	Hashes []string
}

// ReportCache updates the prefix index with cache events of an engine. If gap is
// set, events before these were lost, and all earlier prefixes of the engine are
// removed from the index first.
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
