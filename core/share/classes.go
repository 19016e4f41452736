package share

import (
	"math"
	"time"

	"monsoonfork/core/admission"
	"monsoonfork/core/ident"
)

const (
	// classWindow is the time over which the demand of each class is averaged. It is longer than
	// the pauses between the requests of a class that asks for a small part of a rate.
	classWindow = 2 * time.Second
	// overloadMemory is how long an organisation may count as above its rate after the demand has
	// ended, in time at the rate.
	overloadMemory = time.Second
	// minClassShare is the least ratio of the admitted part of a class to the admitted part of
	// all. It is above the quarter that is guaranteed, as not all open requests find tokens.
	minClassShare = 0.3
	// maxLessUrgentWait limits the time for which a less urgent request is refused.
	maxLessUrgentWait = 3 * time.Second
)

// classDemand is what requests of each class have asked for lately, in tokens, as exponentially
// decaying sums.
type classDemand struct {
	byClass [admission.Classes]float64
	all     float64 // With requests of unknown class.
	at      time.Time
}

// add counts what was asked for.
func (d *classDemand) add(byClass classTokens, all int64, now time.Time) {
	decay := d.decay(now)
	for c := range d.byClass {
		d.byClass[c] = d.byClass[c]*decay + float64(max(byClass[c], 0))
	}
	d.all = d.all*decay + float64(max(all, 0))
	d.at = now
}

// decay returns the factor by which the sums have decayed.
func (d *classDemand) decay(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(d.at).Seconds()) / classWindow.Seconds())
}

// of returns the sum of a class now.
func (d *classDemand) of(c admission.Class, now time.Time) float64 {
	return d.byClass[c] * d.decay(now)
}

// split returns the sums now: of more urgent classes, of less urgent ones, and of all.
func (d *classDemand) split(c admission.Class, now time.Time) (moreUrgent, lessUrgent, all float64) {
	decay := d.decay(now)
	for other, sum := range d.byClass {
		if admission.Class(other) < c {
			moreUrgent += sum * decay
		}
		if admission.Class(other) > c {
			lessUrgent += sum * decay
		}
	}
	return moreUrgent, lessUrgent, d.all * decay
}

// claim is what the requests of one class can claim of a bucket beside those of other classes. If
// all requests have the same class, it is the zero value.
type claim struct {
	reserved   float64 // Tokens that are kept for more urgent requests.
	moreUrgent float64 // Tokens per second that more urgent requests ask for, if tokens are reserved.
	yielding   float64 // The part of the demand at the other instances that does not compete with the class.
}

// newCharge returns the charge of a request. A small request counts with the class of the latest
// request that was not small: it takes so little that refusing it would hardly help more urgent ones.
func (b *bucket) newCharge(cost ident.Tokens, priority int, draw float64) charge {
	if float64(cost) <= smallRequest*b.burst {
		return charge{cost: cost, class: b.largeClass, small: true, draw: draw}
	}
	b.largeClass = admission.ClassOf(priority)
	return charge{cost: cost, class: b.largeClass, draw: draw}
}

// claimOf returns what a request can claim. While the organisation asks for no more than its rate,
// or the request is open or small, nothing is reserved.
func (b *bucket) claimOf(q charge, now time.Time) claim {
	if q.small {
		return claim{}
	}
	urgentHere, _, _ := b.ownClasses.split(q.class, now)
	urgentThere, lessUrgentThere, allThere := b.othersClasses.split(q.class, now)
	c := claim{yielding: lessUrgentThere / max(allThere, 1)}
	urgent := urgentHere + urgentThere
	if b.askedLevel >= 0 || urgent <= 0 || q.open {
		return c
	}
	c.reserved = b.reservedBefore(q.class, now)
	c.moreUrgent = urgent / classWindow.Seconds()
	c.yielding += urgentThere / max(allThere, 1)
	return c
}

// reservedBefore returns how many tokens are kept for requests that are more urgent than those of a
// class. For each of their classes it is nearly what they have asked for lately, if that is small
// against what is left of the bucket, and always less than what is left: a bucket in which less
// urgent requests are admitted only when it is full loses what accrues.
func (b *bucket) reservedBefore(class admission.Class, now time.Time) float64 {
	size := b.burst * b.fraction
	left := size
	for c := range class {
		asked := b.ownClasses.of(c, now) + b.othersClasses.of(c, now)
		left -= left * asked / max(left+asked, 1)
	}
	return size - left
}

// openProbability returns the probability with which a request of a class is open. It is above 0
// only if more urgent requests leave the class less than minClassShare of the rate.
func (b *bucket) openProbability(c admission.Class, now time.Time) float64 {
	urgentHere, _, allHere := b.ownClasses.split(c, now)
	urgentThere, _, allThere := b.othersClasses.split(c, now)
	rate := b.rate * b.fraction * classWindow.Seconds()
	urgent, all := urgentHere+urgentThere, allHere+allThere
	open := minClassShare * rate / max(all, 1)
	if b.askedLevel >= 0 || rate-urgent >= open*(all-urgent) {
		return 0
	}
	return open
}

// refillAsked adds what accrues to the level that the bucket would have if all requests were
// admitted. It is negative while the organisation asks for more than its rate and its burst.
func (b *bucket) refillAsked(tokens float64) {
	b.askedLevel = min(b.askedLevel+tokens, b.burst*b.fraction)
	if b.full() {
		b.askedLevel = max(b.askedLevel, 0)
	}
}

// chargeAsked deducts what was asked for from that level.
func (b *bucket) chargeAsked(tokens int64) {
	floor := -b.rate * b.fraction * overloadMemory.Seconds()
	b.askedLevel = max(floor, b.askedLevel-float64(max(tokens, 0)))
}

// lessUrgentRetry returns when a request may return that was refused while tokens are reserved for
// more urgent ones. It is later than for those, and spread.
func (b *bucket) lessUrgentRetry(need float64, c claim, now time.Time, draw float64) time.Time {
	left := max(b.rate*b.fraction-c.moreUrgent, minClassShare*b.rate*b.fraction, 1)
	wait := (need + c.reserved - b.level) / left
	wait = min(max(wait, 2*propagationTime.Seconds()), maxLessUrgentWait.Seconds())
	return now.Add(time.Duration(wait * (1 + draw/2) * float64(time.Second)))
}
