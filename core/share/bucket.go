package share

import (
	"time"

	"monsoonfork/core/ident"
)

// bucket is the token bucket of one organisation in this instance.
type bucket struct {
	rate       float64 // Tokens per second for all instances together.
	burst      float64
	fraction   float64 // Fraction of rate and burst that the reachable instances may use together.
	level      float64 // Available tokens; negative when other instances used more than was left.
	refilledAt time.Time

	admitted int64 // Tokens admitted by this instance since it started, less refunds.
}

// refill adds the tokens accrued since the last call. It uses the monotonic clock,
// so that no tokens accrue while the machine is suspended.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.level += elapsed * b.rate * b.fraction
		b.refilledAt = now
	}
	b.level = min(b.level, b.burst*b.fraction)
}

// setLimit sets the rate, the burst and the usable fraction of both. A new bucket
// starts full at its fraction, so a restarted instance can admit that fraction of one
// burst in addition.
func (b *bucket) setLimit(rate, burst, fraction float64, now time.Time) {
	if b.rate == 0 {
		b.rate, b.burst, b.fraction = rate, burst, fraction
	}
	b.refill(now)
	b.rate, b.burst, b.fraction = rate, burst, fraction
	b.level = min(b.level, burst*fraction)
}

// tryCharge deducts cost from the bucket, or returns when enough will have accrued. A
// request larger than the bucket is admitted when the bucket is full.
func (b *bucket) tryCharge(cost ident.Tokens, now time.Time) (ok bool, retryAt time.Time) {
	b.refill(now)
	need := min(float64(cost), b.burst*b.fraction)
	if b.level >= need {
		b.level -= float64(cost)
		b.admitted += int64(cost)
		return true, time.Time{}
	}
	perSecond := max(b.rate*b.fraction, 1)
	return false, now.Add(time.Duration((need - b.level) / perSecond * float64(time.Second)))
}

// refund returns the tokens of a request that was admitted.
func (b *bucket) refund(cost ident.Tokens) {
	b.level += float64(cost)
	b.admitted -= int64(cost)
}

// chargeOthers deducts tokens that other instances have admitted.
func (b *bucket) chargeOthers(tokens int64, now time.Time) {
	b.refill(now)
	b.level -= float64(tokens)
}
