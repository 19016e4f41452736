package budget

import (
	"time"

	"monsoonfork/core/ident"
)

// Limit is what the operator's configuration grants one organisation over all
// instances together.
type Limit struct {
	Rate  ident.TokensPerSecond
	Burst ident.Tokens
}

// expiryWindow returns the age at which minted tokens expire: the time in
// which the rate mints one burst. Tokens spent within any time W were
// therefore minted within W + expiryWindow, which bounds them by Rate*W +
// Burst.
func (l Limit) expiryWindow() time.Duration {
	return time.Duration(float64(l.Burst) / float64(l.Rate) * float64(time.Second))
}

// mintedWithin returns the tokens that are minted within d, at most a burst.
func (l Limit) mintedWithin(d time.Duration) float64 {
	return min(float64(l.Rate)*d.Seconds(), float64(l.Burst))
}

// valid reports whether the organisation may spend any tokens.
func (l Limit) valid() bool { return l.Rate > 0 && l.Burst > 0 }

// slotRate returns the rate at which each of slotCount slots mints.
func (l Limit) slotRate(slotCount int) ident.TokensPerSecond {
	return l.Rate / ident.TokensPerSecond(slotCount)
}

// slotRateGrowthDelay is how long an increase of the rate of each slot is
// delayed: until all instances have applied the previous, lower rate, and
// leases under the old number of slots have ended.
const slotRateGrowthDelay = 4*time.Second + leaseLength + leaseMargin

// slotCountGate delays a reduction of the number of slots in all domains
// together, over which each rate is divided, since it increases the rate of
// each slot.
type slotCountGate struct {
	current   int     // In force; 0 before the first configuration.
	pending   int     // Smaller number that is to come into force; 0 if there is none.
	pendingAt Instant // When pending comes into force.
}

// update returns the slot count in force, given the configured one. An
// increase takes effect at once. A reduction takes effect after
// slotRateGrowthDelay; restart then reports that tokens minted before must be
// discarded.
func (g *slotCountGate) update(now Instant, configured int) (slotCount int, restart bool) {
	if g.current == 0 || configured >= g.current {
		g.current = configured
		g.pending = 0
		return g.current, false
	}
	if g.pending != configured {
		g.pending = configured
		g.pendingAt = now.Add(slotRateGrowthDelay)
	}
	if now < g.pendingAt {
		return g.current, false
	}
	g.current = configured
	g.pending = 0
	return g.current, true
}
