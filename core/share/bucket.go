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

	othersDemand   float64   // Tokens per second that the other instances are asked for; 0 if unknown.
	othersMeanCost float64   // Mean cost of the requests that ask for them.
	heardUntil     time.Time // From then on, what the others admit is estimated.
	estimated      float64   // Tokens deducted by an estimate that no reply has replaced yet.

	admitted int64 // Tokens admitted by this instance since it started, less refunds.
	asked    int64 // Tokens of all requests at this instance since it started.
	requests int64 // Number of these requests.

	costs costHistory
	lost  lostRefill
	own   askedTokens // What this instance is asked for.
}

// refill adds the tokens accrued since the last call. It uses the monotonic clock,
// so that no tokens accrue while the machine is suspended. While nothing is heard of the
// others, they are taken to use what accrues, as far as they are asked for it.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		silent := max(0, min(elapsed, now.Sub(b.heardUntil).Seconds()))
		used := silent * min(b.othersDemand, b.rate*b.fraction)
		b.level += elapsed*b.rate*b.fraction - used
		b.estimated += used
		b.refilledAt = now
		b.lost.add(min(b.level-b.burst*b.fraction, lostRefillAge.Seconds()*b.rate*b.fraction), now)
	}
	b.level = min(b.level, b.burst*b.fraction)
}

// setLimit sets the rate, the burst and the usable fraction of both. The tokens, and the debt, of
// a larger fraction are those of more instances: this bucket keeps its part of them.
func (b *bucket) setLimit(rate, burst, fraction float64, now time.Time) {
	if b.rate == 0 {
		b.rate, b.burst, b.fraction = rate, burst, fraction
	}
	b.refill(now)
	if fraction < b.fraction {
		b.level *= fraction / b.fraction
		b.estimated *= fraction / b.fraction
	}
	b.rate, b.burst, b.fraction = rate, burst, fraction
	b.level = min(b.level, burst*fraction)
}

// tryCharge deducts cost from the bucket, or returns when to retry. draw is a random
// number in [0, 1).
//
// Of a demand above what is available, each instance admits the same proportion of the
// tokens at random, as all have nearly the same level and each could admit all of it.
//
// A small request may overdraw the bucket. The level is negative after two instances have
// admitted large requests from the same tokens, which one bucket would not have done: it would
// still have the tokens of a small one.
//
// A request larger than the bucket needs a full bucket, and is admitted in the proportion
// that the bucket has to it, so that instances that are alone add no more than their
// shares together.
func (b *bucket) tryCharge(cost ident.Tokens, now time.Time, draw float64) (ok bool, retryAt time.Time) {
	b.refill(now)
	b.asked += int64(cost)
	b.requests++
	b.own.add(int64(cost), 1, now)
	b.costs.add(cost)
	need := min(float64(cost), b.burst*b.fraction)
	if b.level < need && !b.mayOverdraw(cost) {
		perSecond := max(b.rate*b.fraction, 1)
		return false, now.Add(time.Duration((need - b.level) / perSecond * float64(time.Second)))
	}
	if draw >= b.admissionProbability(cost) {
		return false, now.Add(propagationTime)
	}
	if draw >= need/min(float64(cost), b.burst) {
		b.level -= need
		return false, now.Add(time.Duration(need / max(b.rate*b.fraction, 1) * float64(time.Second)))
	}
	b.level -= float64(cost)
	b.admitted += int64(cost)
	return true, time.Time{}
}

const (
	// smallRequest is the largest request that may overdraw a bucket, as a fraction of the burst.
	smallRequest = 1.0 / 64
	// maxOverdraft is how much small requests may overdraw a bucket, as a fraction of the burst.
	maxOverdraft = 0.5
)

// mayOverdraw reports whether a request may be admitted though the bucket lacks its tokens. That
// holds for small requests, as long as all requests of their size fit in the rate beside larger
// ones by max-min fairness: the rate is then exceeded by no more than the overdraft.
func (b *bucket) mayOverdraw(cost ident.Tokens) bool {
	size := b.burst * b.fraction
	if float64(cost) > smallRequest*size || b.level-float64(cost) < -maxOverdraft*size {
		return false
	}
	sustained := b.rate * b.fraction / max(b.othersDemand+b.own.perSecond(), 1)
	return sustained >= 1 || float64(cost) <= b.fairLimit(sustained)
}

// fairLimit returns the most that a request gets of a proportion of the demand by max-min
// fairness. It is computed from the requests of this instance, but is at least an equal part,
// which is all that is known of the others.
func (b *bucket) fairLimit(proportion float64) float64 {
	return max(b.costs.fairLimit(proportion), proportion*b.othersMeanCost)
}

// admissionProbability returns the probability with which a request is admitted: 1 up to the
// fair limit, and for a larger one so much that it gets the limit on average.
func (b *bucket) admissionProbability(cost ident.Tokens) float64 {
	proportion := b.admissibleProportion(cost)
	if proportion >= 1 {
		return 1
	}
	return b.fairLimit(proportion) / max(float64(cost), 1)
}

// admissibleProportion returns the proportion of the demand at the other instances that
// can be admitted; what this instance admits is deducted at once. The level is spread
// over twice the time that the others need to know of an admission, since a level that
// is spent sooner swings between both signs.
//
// A single request of that cost at the others is no demand yet: it is deducted from the
// level, and nothing shows that another one follows.
func (b *bucket) admissibleProportion(cost ident.Tokens) float64 {
	available := b.rate*b.fraction + max(b.level, 0)/(2*propagationTime.Seconds())
	demand := b.othersDemand - float64(cost)/demandWindow.Seconds()
	return available / max(demand, 1)
}

// refund returns the tokens of a request that was admitted at a time. Tokens that a
// bucket holds at any time have accrued within the time in which it fills. Older ones
// are not returned: they would come on top of a whole bucket that has accrued since.
func (b *bucket) refund(cost ident.Tokens, admittedAt, now time.Time) {
	if now.Sub(admittedAt).Seconds() > b.burst/b.rate {
		return
	}
	b.level += float64(cost)
	b.admitted -= int64(cost)
}

// maxReportedDebt is how much accrued rate the debt that other instances report can be at most. It
// is far longer than the windows in which rates are judged, and ends what absurd reports do.
const maxReportedDebt = time.Minute

// chargeOthers deducts tokens that other instances have admitted. They replace the estimate:
// all of it if the tokens are those of all others, otherwise as much as they are. What accrued
// since the admissions, in a bucket that seemed full, is not lost. It returns false if tokens
// were left out because of maxReportedDebt.
func (b *bucket) chargeOthers(tokens int64, ofAll bool, now time.Time) bool {
	b.refill(now)
	replaced := b.estimated
	if !ofAll {
		replaced = min(replaced, max(0, float64(tokens)))
	}
	b.estimated -= replaced
	before := min(b.level+replaced, b.burst*b.fraction)
	floor := min(before, -b.rate*b.fraction*maxReportedDebt.Seconds())
	b.level = max(floor, before-float64(tokens)+b.lost.take(float64(tokens), now))
	return b.level > floor || tokens <= 0
}

// keepEstimate makes the estimate final: no reply will contain what it stands for.
func (b *bucket) keepEstimate(now time.Time) {
	b.refill(now)
	b.estimated = 0
}

// full reports whether the bucket holds all tokens that it can hold.
func (b *bucket) full() bool { return b.level >= b.burst*b.fraction }
