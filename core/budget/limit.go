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

// valid reports whether the organisation may spend anything at all.
func (l Limit) valid() bool { return l.Rate > 0 && l.Burst > 0 }

// part returns the rate of one of parts equal minting slots.
func (l Limit) part(parts int) ident.TokensPerSecond {
	return l.Rate / ident.TokensPerSecond(parts)
}
