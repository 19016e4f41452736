package placement

import (
	"math"
	"time"

	"monsoonfork/core/ident"
)

// rateWindow is the time constant of the average in tokenRate.
const rateWindow = 2 * time.Second

// tokenRate is an exponentially decaying average of the tokens placed per second.
type tokenRate struct {
	tokens  float64   // Decaying sum of placed tokens.
	last    time.Time // Time of the last decay.
	started time.Time // Time of the first observation.
}

// decay decays the sum to the present time.
func (r *tokenRate) decay(now time.Time) {
	if r.last.IsZero() {
		r.started, r.last = now, now
		return
	}
	r.tokens *= math.Exp(-now.Sub(r.last).Seconds() / rateWindow.Seconds())
	r.last = now
}

// add counts n tokens of a request that was placed.
func (r *tokenRate) add(now time.Time, n ident.Tokens) {
	r.decay(now)
	r.tokens += float64(n)
}

// perSecond returns the rate, or 0 until a full rateWindow has been observed.
func (r *tokenRate) perSecond(now time.Time) float64 {
	if r.started.IsZero() || now.Sub(r.started) < rateWindow {
		return 0
	}
	r.decay(now)
	return r.tokens / rateWindow.Seconds()
}

// predictedWait returns how long a new request would wait for the queued requests
// of its organisation, if they are placed at the organisation's fair share of the
// current rate. It returns 0 while the rate is not known.
func (d *Dispatcher) predictedWait(r Request, now time.Time) time.Duration {
	rate := d.serviceRate.perSecond(now)
	f, ok := d.queue.flows[r.Organisation]
	if !ok || rate <= 0 {
		return 0
	}
	return secondsToDuration(float64(f.tokens) / (rate * d.queue.fairShare(r.Organisation)))
}

// aboveFairShare reports whether an organisation holds more than its weighted share
// of the tokens reserved by leases. Organisations with leases or waiting requests
// count in the shares.
func (d *Dispatcher) aboveFairShare(o ident.OrganisationID) bool {
	reserved := make(map[ident.OrganisationID]float64)
	var sum float64
	for _, l := range d.leases {
		n := float64(l.record.PromptTokens + l.record.MaxTokens)
		reserved[l.record.Organisation] += n
		sum += n
	}
	for _, w := range d.waiting {
		reserved[w.request.Organisation] += 0
	}
	var weights float64
	for other := range reserved {
		weights += d.queue.weightOf(other)
	}
	return reserved[o] > sum*d.queue.weightOf(o)/weights
}
