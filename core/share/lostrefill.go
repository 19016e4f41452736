package share

import "time"

// lostRefillAge is how long lost refill can be restored. It is less than the mean time until an
// instance knows of an admission elsewhere, so that less is restored than has accrued since.
const lostRefillAge = reportInterval

// lossStep is the time within which losses share an entry, so that there are few of them.
const lossStep = 10 * time.Millisecond

// lostRefill holds what would have accrued lately if the bucket had not been full.
type lostRefill struct {
	losses []loss // Oldest first.
}

// loss is what a full bucket has lost within lossStep.
type loss struct {
	at     time.Time // Of the first refill.
	tokens float64
}

// add records a loss.
func (l *lostRefill) add(tokens float64, now time.Time) {
	l.expire(now)
	if tokens <= 0 {
		return
	}
	if n := len(l.losses); n > 0 && now.Sub(l.losses[n-1].at) < lossStep {
		l.losses[n-1].tokens += tokens
		return
	}
	l.losses = append(l.losses, loss{at: now, tokens: tokens})
}

// expire removes what can't be restored any more.
func (l *lostRefill) expire(now time.Time) {
	n := 0
	for n < len(l.losses) && now.Sub(l.losses[n].at) > lostRefillAge {
		n++
	}
	l.losses = l.losses[n:]
}

// take removes and returns up to the given number of tokens, the newest first.
func (l *lostRefill) take(tokens float64, now time.Time) float64 {
	l.expire(now)
	taken := 0.0
	for len(l.losses) > 0 && taken < tokens {
		newest := &l.losses[len(l.losses)-1]
		part := min(newest.tokens, tokens-taken)
		taken += part
		newest.tokens -= part
		if newest.tokens <= 0 {
			l.losses = l.losses[:len(l.losses)-1]
		}
	}
	return taken
}
