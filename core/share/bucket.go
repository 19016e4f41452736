package share

import (
	"time"

	"monsoonfork/core/admission"
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

	costs [admission.Classes]costHistory
	lost  lostRefill
	own   askedTokens // What this instance is asked for.

	largeClass admission.Class // Class of the last request that was not small.

	askedByClass  classTokens // The tokens in asked, by class.
	ownClasses    classDemand // What this instance is asked for, by class.
	othersClasses classDemand // What the other instances are asked for; nothing if unknown.
	askedLevel    float64     // The level if all requests had been admitted; not below overloadMemory of the rate.
}

// charge is a request that asks a bucket for tokens.
type charge struct {
	cost  ident.Tokens
	class admission.Class
	small bool    // The request takes little of the burst, and nothing is reserved before it.
	draw  float64 // Random number in [0, 1).
	open  bool    // The request may also take tokens that are reserved for more urgent ones.
}

// refill adds the tokens accrued since the last call. It uses the monotonic clock,
// so that no tokens accrue while the machine is suspended. While nothing is received from the
// others, they are taken to use what accrues, as far as they are asked for it.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		silent := max(0, min(elapsed, now.Sub(b.heardUntil).Seconds()))
		used := silent * min(b.othersDemand, b.rate*b.fraction)
		b.level += elapsed*b.rate*b.fraction - used
		b.estimated += used
		b.refilledAt = now
		b.refillAsked(elapsed * b.rate * b.fraction)
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

// tryCharge deducts the cost of a request from the bucket, or returns when to retry.
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
//
// Tokens that are reserved for more urgent requests are not available to it.
func (b *bucket) tryCharge(q charge, now time.Time) (ok bool, retryAt time.Time) {
	b.refill(now)
	b.recordDemand(q, now)
	cost, full := float64(q.cost), b.burst*b.fraction
	need, c := min(cost, full), b.claimOf(q, now)
	perSecond := max(b.rate*b.fraction, 1)
	if b.level < min(need+c.reserved, full) && !b.mayOverdraw(q, c) {
		if c.reserved > 0 {
			return false, b.lessUrgentRetry(need, c, now, q.draw)
		}
		return false, now.Add(time.Duration((need - b.level) / perSecond * float64(time.Second)))
	}
	if q.draw >= b.admissionProbability(q, c) {
		if c.reserved > 0 {
			return false, b.lessUrgentRetry(need, c, now, q.draw)
		}
		return false, now.Add(propagationTime)
	}
	if q.draw >= need/min(cost, b.burst) {
		b.level -= need
		return false, now.Add(time.Duration(need / perSecond * float64(time.Second)))
	}
	b.level -= cost
	b.admitted += int64(q.cost)
	return true, time.Time{}
}

// recordDemand counts what a request asks for.
func (b *bucket) recordDemand(q charge, now time.Time) {
	b.asked += int64(q.cost)
	b.requests++
	b.askedByClass[q.class] += int64(q.cost)
	b.own.add(int64(q.cost), 1, now)
	var byClass classTokens
	byClass[q.class] = int64(q.cost)
	b.ownClasses.add(byClass, int64(q.cost), now)
	b.chargeAsked(int64(q.cost))
	b.costs[q.class].add(q.cost)
}

const (
	// smallRequest is the largest request that may overdraw a bucket, as a fraction of the burst.
	smallRequest = 1.0 / 64
	// maxOverdraft is how much small requests may overdraw a bucket, as a fraction of the burst.
	maxOverdraft = 0.5
)

// mayOverdraw reports whether a request may be admitted though the bucket lacks its tokens. That
// holds for small requests, as long as all requests of their size fit in the rate beside larger
// ones by max-min fairness: the rate is then exceeded by no more than the overdraft. It also holds
// for open requests of any size, as more urgent ones leave them no tokens, but not for requests
// before which tokens are reserved.
func (b *bucket) mayOverdraw(q charge, c claim) bool {
	size, cost := b.burst*b.fraction, float64(q.cost)
	if c.reserved > 0 || b.level-cost < -maxOverdraft*size {
		return false
	}
	if q.open {
		return true
	}
	if cost > smallRequest*size {
		return false
	}
	sustained := b.rate * b.fraction / max(b.othersDemand*(1-c.yielding)+b.own.perSecond(), 1)
	return sustained >= 1 || cost <= b.fairLimit(q.class, sustained)
}

// fairLimit returns the most that a request gets of a proportion of the demand by max-min
// fairness. It is computed from the requests of its class at this instance, but is at least an
// equal part, which is all that is known of the others.
func (b *bucket) fairLimit(c admission.Class, proportion float64) float64 {
	return max(b.costs[c].fairLimit(proportion), proportion*b.othersMeanCost)
}

// admissionProbability returns the probability with which a request is admitted: 1 up to the
// fair limit, and for a larger one so much that it gets the limit on average. Open requests have
// been chosen at random already.
func (b *bucket) admissionProbability(q charge, c claim) float64 {
	proportion := b.admissibleProportion(float64(q.cost), c)
	if proportion >= 1 || q.open {
		return 1
	}
	return b.fairLimit(q.class, proportion) / max(float64(q.cost), 1)
}

// admissibleProportion returns the proportion of the demand at the other instances that
// can be admitted; what this instance admits is deducted at once. The level is spread
// over twice the time that the others need to know of an admission, since a level that
// is spent sooner swings between both signs. Demand that does not compete with the request
// is left out, and with it what more urgent requests ask for.
//
// A single request of that cost at the others is no demand yet: it is deducted from the
// level, and nothing shows that another one follows.
func (b *bucket) admissibleProportion(cost float64, c claim) float64 {
	available := max(b.rate*b.fraction-c.moreUrgent, 0) + max(b.level-c.reserved, 0)/(2*propagationTime.Seconds())
	demand := b.othersDemand*(1-c.yielding) - cost/demandWindow.Seconds()
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
