package placement

import (
	"github.com/go-kit/log"

	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
)

// checkWith returns a check that reports violations to logger.
func checkWith(logger log.Logger) func(string, bool, ...any) bool {
	return func(name string, ok bool, keyvals ...any) bool {
		return invariant.Check(logger, name, ok, keyvals...)
	}
}

// checkInvariants asserts that each request is waiting, or held, or has left.
func (d *Dispatcher) checkInvariants() {
	d.check("Placement.Queue", d.queue.length == len(d.waiting),
		"queued", d.queue.length, "waiting", len(d.waiting))
	c := d.counts
	left := c.Refused + c.Cancelled + c.Elsewhere + c.Granted + c.Closed
	d.check("Placement.Conservation", c.Submitted == left+int64(len(d.waiting)),
		"submitted", c.Submitted, "left", left, "waiting", len(d.waiting))
}

// checkGrant asserts that a grant has not reserved more than its engines hold.
func (d *Dispatcher) checkGrant(l *lease) {
	for _, e := range []*engineState{l.prefill, l.decode} {
		d.check("Placement.Slots", e.slots <= e.Slots,
			"engine", e.Name, "reserved", e.slots, "slots", e.Slots)
		d.check("Placement.Pieces", e.pieces <= e.MemoryPieces,
			"engine", e.Name, "reserved", e.pieces, "pieces", e.MemoryPieces)
	}
}

// audit asserts that the counts of each engine are the sums over its leases.
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
		d.check("Placement.Audit", e.slots == slots[e] && e.pieces == pieces[e],
			"engine", e.Name, "slots", e.slots, "sum", slots[e], "pieces", e.pieces, "sumPieces", pieces[e])
	}
}
