package placement

import (
	"math"
	"time"

	"monsoonfork/core/ident"
)

// drainWindow is the time over which the rate of service is averaged.
const drainWindow = 2 * time.Second

// drainRate is an average of the tokens that are served each second.
type drainRate struct {
	tokens float64 // Decaying sum.
	last   time.Time
	since  time.Time
}

// decay ages the sum to now.
func (r *drainRate) decay(now time.Time) {
	if r.last.IsZero() {
		r.since, r.last = now, now
		return
	}
	r.tokens *= math.Exp(-now.Sub(r.last).Seconds() / drainWindow.Seconds())
	r.last = now
}

// placed counts tokens that were placed.
func (r *drainRate) placed(now time.Time, n ident.Tokens) {
	r.decay(now)
	r.tokens += float64(n)
}

// perSecond returns the rate, or 0 while too little was seen.
func (r *drainRate) perSecond(now time.Time) float64 {
	if r.since.IsZero() || now.Sub(r.since) < drainWindow {
		return 0
	}
	r.decay(now)
	return r.tokens / drainWindow.Seconds()
}

// predictedWait returns how long a new request of the organisation would wait
// behind its own queue at its fair share of the present rate; 0 while the rate
// is not known.
func (d *Dispatcher) predictedWait(r Request, now time.Time) time.Duration {
	rate := d.drain.perSecond(now)
	f, ok := d.queue.flows[r.Organisation]
	if !ok || rate <= 0 {
		return 0
	}
	return seconds(float64(f.tokens) / (rate * d.queue.share(r.Organisation)))
}

// loud reports whether an organisation holds more than its share of the
// reserved tokens among those that wait or hold now.
func (d *Dispatcher) loud(o ident.OrganisationID) bool {
	held := make(map[ident.OrganisationID]float64)
	var sum float64
	for _, l := range d.leases {
		n := float64(l.held.PromptTokens + l.held.MaxTokens)
		held[l.held.Organisation] += n
		sum += n
	}
	for _, w := range d.waiting {
		held[w.request.Organisation] += 0
	}
	var weights float64
	for other := range held {
		weights += d.queue.weightOf(other)
	}
	return held[o] > sum*d.queue.weightOf(o)/weights
}
