package share

import (
	"time"

	"monsoonfork/core/ident"
)

// bucket is the tokens of one organisation, as this instance knows them.
type bucket struct {
	rate  float64 // Tokens a second, of the whole fleet.
	burst float64
	slack float64 // Tokens beyond the burst that may be admitted too.
	part  float64 // Of all three, that those who are heard may use.
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
	b.level = min(b.level, b.size())
}

// size is what a full bucket holds.
func (b *bucket) size() float64 { return (b.burst + b.slack) * b.part }

// limit sets the rate, the burst and the slack. A new bucket holds its part of one
// burst, so that an instance that was restarted adds no more than that.
func (b *bucket) limit(rate, burst, slack, part float64, now time.Time) {
	fresh := b.rate == 0
	if fresh {
		b.rate, b.burst, b.slack, b.part = rate, burst, slack, part
	}
	b.refill(now)
	b.rate, b.burst, b.slack, b.part = rate, burst, slack, part
	b.level = min(b.level, b.size())
	if fresh {
		b.level = min(b.level, burst*part)
	}
}

// take takes tokens out, or returns when they will have come up. The slack may only
// be used when it is spare. A request that is larger than the bucket needs a full
// one.
func (b *bucket) take(cost ident.Tokens, spare bool, now time.Time) (ok bool, at time.Time) {
	b.refill(now)
	kept := b.slack * b.part
	if spare {
		kept = 0
	}
	need := kept + min(float64(cost), b.size()-kept)
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
