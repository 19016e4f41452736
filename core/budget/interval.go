package budget

import (
	"math"
	"time"

	"monsoonfork/core/ident"
)

// Interval is a set of tokens that were minted at a constant rate between two
// instants. It holds Rate * (End - Start) tokens.
type Interval struct {
	Start Instant
	End   Instant
	Rate  ident.TokensPerSecond
}

// tokens returns the number of tokens in the interval.
func (iv Interval) tokens() float64 {
	if iv.End <= iv.Start {
		return 0
	}
	return float64(iv.Rate) * iv.End.Sub(iv.Start).Seconds()
}

// mintedSince returns the part of the interval that was minted at or after t.
func (iv Interval) mintedSince(t Instant) Interval {
	if iv.Start < t {
		iv.Start = t
	}
	return iv
}

// empty reports whether the interval holds no tokens.
func (iv Interval) empty() bool { return iv.End <= iv.Start || iv.Rate <= 0 }

// mintingTime returns the time in which rate mints at least amount tokens, at
// most maxIntervalLength.
func mintingTime(amount float64, rate ident.TokensPerSecond) time.Duration {
	seconds := amount / float64(rate)
	if seconds >= maxIntervalLength.Seconds() {
		return maxIntervalLength
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// maxIntervalLength bounds the length of one interval.
const maxIntervalLength = 365 * 24 * time.Hour

// split divides the interval after its oldest amount tokens. The first part
// holds amount tokens, or up to a nanosecond's worth more, or all.
func (iv Interval) split(amount float64) (first, rest Interval) {
	first, rest = iv, iv
	cut := iv.Start.Add(mintingTime(amount, iv.Rate))
	if cut > iv.End {
		cut = iv.End
	}
	first.End = cut
	rest.Start = cut
	return first, rest
}

// totalTokens returns the number of tokens in all intervals.
func totalTokens(intervals []Interval) float64 {
	sum := 0.0
	for _, iv := range intervals {
		sum += iv.tokens()
	}
	return sum
}
