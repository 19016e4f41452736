package placement

import (
	"github.com/go-kit/log"

	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
)

// checkWith returns an invariant check that reports violations to logger.
func checkWith(logger log.Logger) func(string, bool, ...any) bool {
	return func(name string, ok bool, keyvals ...any) bool {
		return invariant.Check(logger, name, ok, keyvals...)
	}
}

// checkInvariants asserts that the queue and the map of waiting requests have
// the same size, and that every submitted request is either waiting or counted
// under exactly one outcome.
func (d *Dispatcher) checkInvariants() {
	d.check("Placement.Queue", d.queue.length == len(d.waiting),
		"queued", d.queue.length, "waiting", len(d.waiting))
	c := d.counts
	finished := c.Refused + c.Cancelled + c.Redirected + c.Granted + c.Closed
	d.check("Placement.Conservation", c.Submitted == finished+int64(len(d.waiting)),
		"submitted", c.Submitted, "left", finished, "waiting", len(d.waiting))
}

// checkGrant asserts that a grant has not reserved more slots or memory than its
// engines have.
func (d *Dispatcher) checkGrant(l *lease) {
	for _, e := range []*engineState{l.prefill, l.decode} {
		d.check("Placement.Slots", e.reservedSlots <= e.Slots,
			"engine", e.Name, "reserved", e.reservedSlots, "slots", e.Slots)
		d.check("Placement.Pieces", e.reservedPieces <= e.MemoryPieces,
			"engine", e.Name, "reserved", e.reservedPieces, "pieces", e.MemoryPieces)
	}
}

// audit asserts that the reservation counters of each engine equal the sums over
// its leases.
func (d *Dispatcher) audit() {
	slots := make(map[*engineState]int)
	pieces := make(map[*engineState]ident.Pieces)
	for _, l := range d.leases {
		if l.decode != nil {
			slots[l.decode]++
			pieces[l.decode] += l.decodePieces
		}
		if l.prefill != nil && l.prefilling {
			slots[l.prefill]++
		}
		if l.prefill != nil {
			pieces[l.prefill] += l.prefillPieces
		}
	}
	for _, e := range d.engines {
		d.check("Placement.Audit", e.reservedSlots == slots[e] && e.reservedPieces == pieces[e],
			"engine", e.Name, "slots", e.reservedSlots, "sum", slots[e], "pieces", e.reservedPieces, "sumPieces", pieces[e])
	}
}
