package share

import (
	"time"

	"monsoonfork/core/ident"
)

// bucket is the tokens of one organisation, as this instance knows them.
type bucket struct {
	rate  float64 // Tokens a second, of the whole fleet.
	burst float64
	part  float64 // Of rate and burst, that those who are heard may use.
	level float64 // Below 0 while others have used more than was known.
	at    time.Time

	admitted int64 // By this instance since it started.
}

// refill adds what has come up since the last call. The steady clock is used, so
// that nothing comes up while the machine is suspended.
func (b *bucket) refill(now time.Time) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level += passed * b.rate * b.part
		b.at = now
	}
	b.level = min(b.level, b.burst*b.part)
}

// limit sets the rate and burst. A new bucket is full for its part, so that an
// instance that was restarted adds that part of one burst.
func (b *bucket) limit(rate, burst, part float64, now time.Time) {
	if b.rate == 0 {
		b.rate, b.burst, b.part = rate, burst, part
	}
	b.refill(now)
	b.rate, b.burst, b.part = rate, burst, part
	b.level = min(b.level, burst*part)
}

// take takes tokens out, or returns when they will have come up. A request that is
// larger than the bucket needs a full one.
func (b *bucket) take(cost ident.Tokens, now time.Time) (ok bool, at time.Time) {
	b.refill(now)
	need := min(float64(cost), b.burst*b.part)
	if b.level >= need {
		b.level -= float64(cost)
		b.admitted += int64(cost)
		return true, time.Time{}
	}
	perSecond := max(b.rate*b.part, 1)
	return false, now.Add(time.Duration((need - b.level) / perSecond * float64(time.Second)))
}

// give gives tokens back.
func (b *bucket) give(cost ident.Tokens) {
	b.level += float64(cost)
	b.admitted -= int64(cost)
}

// used takes out what others have admitted.
func (b *bucket) used(tokens int64, now time.Time) {
	b.refill(now)
	b.level -= float64(tokens)
}
