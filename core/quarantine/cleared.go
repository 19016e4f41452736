package quarantine

import (
	"time"

	"monsoonfork/core/ident"
)

// clearGeneration is the number of parts after which the older half of the memory is dropped.
const clearGeneration = 4096

// clearTimes remembers when parts were last in an answered prompt. It holds the parts of the
// current and the previous generation, so that its size is bounded and parts in use stay.
type clearTimes struct {
	current, previous map[ident.PartID]time.Time
}

// record records that a prompt with the part was answered at a time.
func (c *clearTimes) record(p ident.PartID, at time.Time) {
	if last, ok := c.last(p); ok && last.After(at) {
		at = last
	}
	if c.current == nil || len(c.current) >= clearGeneration {
		c.current, c.previous = make(map[ident.PartID]time.Time), c.current
	}
	c.current[p] = at
}

// last returns when a prompt with the part was last answered. It is false if none is known.
func (c *clearTimes) last(p ident.PartID) (time.Time, bool) {
	if at, ok := c.current[p]; ok {
		return at, true
	}
	at, ok := c.previous[p]
	return at, ok
}
