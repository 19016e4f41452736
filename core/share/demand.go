package share

import (
	"math"
	"time"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 500 * time.Millisecond

// admissionHistory is how long admissions of other instances are kept for new buckets.
const admissionHistory = 2 * time.Second

// askedTokens is what instances were asked for, as an exponentially decaying sum. It does not decay
// between two additions.
type askedTokens struct {
	sum      float64
	requests float64 // Number of the requests that asked for sum.
	at       time.Time
}

// add counts what was asked for since the last addition.
func (a *askedTokens) add(tokens, requests int64, now time.Time) {
	decay := math.Exp(-now.Sub(a.at).Seconds() / demandWindow.Seconds())
	a.sum = a.sum*decay + float64(max(tokens, 0))
	a.requests = a.requests*decay + float64(max(requests, 0))
	a.at = now
}

// perSecond returns the average number of tokens that are asked for in a second.
func (a *askedTokens) perSecond() float64 { return a.sum / demandWindow.Seconds() }

// meanCost returns the mean cost of the requests, or 0 if there are none.
func (a *askedTokens) meanCost() float64 {
	if a.requests <= 0 {
		return 0
	}
	return a.sum / a.requests
}

// demand is what the other instances were asked for, and what they have admitted lately. It does not
// decay without replies of a collector.
type demand struct {
	askedTokens
	classes    classDemand
	admissions []othersAdmission // Oldest first.
}

// othersAdmission is what other instances have admitted between two replies.
type othersAdmission struct {
	at     time.Time // When the second reply arrived.
	tokens int64
}

// add counts the usage of other instances since the previous reply.
func (d *demand) add(u usage, now time.Time) {
	d.askedTokens.add(u.asked, u.requests, now)
	d.classes.add(u.byClass, u.asked, now)
	d.admissions = append(d.admissions, othersAdmission{at: now, tokens: u.admitted})
	for now.Sub(d.admissions[0].at) > admissionHistory {
		d.admissions = d.admissions[1:]
	}
}

// resume keeps the sum over a time without comparable replies.
func (d *demand) resume(now time.Time) { d.at, d.classes.at = now, now }

// end forgets the sum: a bucket that is full after a reply shows that the demand is over.
func (d *demand) end() { d.sum, d.requests = 0, 0 }
