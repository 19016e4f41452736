package budget

import (
	"time"

	"monsoonfork/core/ident"
)

// Limit is what the text grants one organisation over all instances together.
type Limit struct {
	Rate  ident.TokensPerSecond
	Burst ident.Tokens
}

// window is the age at which minted tokens expire: the time in which the rate
// mints one burst. Tokens spent within any time W were therefore minted within
// W + window, which bounds them by Rate*W + Burst.
func (l Limit) window() time.Duration {
	return time.Duration(float64(l.Burst) / float64(l.Rate) * float64(time.Second))
}

// mintedIn returns the tokens that come up within d, at most a burst.
func (l Limit) mintedIn(d time.Duration) float64 {
	return min(float64(l.Rate)*d.Seconds(), float64(l.Burst))
}

// valid reports whether the organisation may spend anything at all.
func (l Limit) valid() bool { return l.Rate > 0 && l.Burst > 0 }

// part returns the rate of one of parts equal minting slots.
func (l Limit) part(parts int) ident.TokensPerSecond {
	return l.Rate / ident.TokensPerSecond(parts)
}

// shareGrowthGrace is how long a larger part of each slot waits: until the
// smaller parts are in force everywhere, and leases under the old number of
// slots are over.
const shareGrowthGrace = 4*time.Second + leaseLength + leaseMargin

// partsGate delays a growth of the slots' part of the rate. The number of equal
// parts is that of all slots in all domains.
type partsGate struct {
	parts   int     // In force; 0 before the first text.
	growTo  int     // Smaller number of parts that waits; 0 when none does.
	growsAt Instant // When it comes into force.
}

// update returns the number of parts in force now, given that of the text. A
// larger number takes effect at once. With a smaller one, each part grows: this
// waits, and then restart says that what was minted before must be forgotten.
func (g *partsGate) update(now Instant, wanted int) (parts int, restart bool) {
	if g.parts == 0 || wanted >= g.parts {
		g.parts = wanted
		g.growTo = 0
		return g.parts, false
	}
	if g.growTo != wanted {
		g.growTo = wanted
		g.growsAt = now.Add(shareGrowthGrace)
	}
	if now < g.growsAt {
		return g.parts, false
	}
	g.parts = wanted
	g.growTo = 0
	return g.parts, true
}
