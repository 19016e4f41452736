package budget

import (
	"math"
	"time"

	"monsoonfork/core/ident"
)

// Interval is minted time: tokens that came up evenly between two instants.
// Its tokens are Rate * (End - Start).
type Interval struct {
	Start Instant
	End   Instant
	Rate  ident.TokensPerSecond
}

// amount returns the tokens of the interval.
func (iv Interval) amount() float64 {
	if iv.End <= iv.Start {
		return 0
	}
	return float64(iv.Rate) * iv.End.Sub(iv.Start).Seconds()
}

// after returns the part of the interval that was minted at or after t.
func (iv Interval) after(t Instant) Interval {
	if iv.Start < t {
		iv.Start = t
	}
	return iv
}

// empty reports whether the interval holds no tokens.
func (iv Interval) empty() bool { return iv.End <= iv.Start || iv.Rate <= 0 }

// timeFor returns the time in which rate mints at least amount tokens.
func timeFor(amount float64, rate ident.TokensPerSecond) time.Duration {
	seconds := amount / float64(rate)
	if seconds >= maxMintedTime.Seconds() {
		return maxMintedTime
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// maxMintedTime bounds the length of one interval.
const maxMintedTime = 365 * 24 * time.Hour

// split cuts the oldest amount tokens off the interval. The first part holds
// amount tokens, or a nanosecond's worth more, or all.
func (iv Interval) split(amount float64) (first, rest Interval) {
	first, rest = iv, iv
	cut := iv.Start.Add(timeFor(amount, iv.Rate))
	if cut > iv.End {
		cut = iv.End
	}
	first.End = cut
	rest.Start = cut
	return first, rest
}

// total returns the tokens of all intervals.
func total(intervals []Interval) float64 {
	sum := 0.0
	for _, iv := range intervals {
		sum += iv.amount()
	}
	return sum
}
