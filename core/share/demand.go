package share

import (
	"math"
	"time"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 500 * time.Millisecond

// admissionHistory is how long admissions of other instances are kept for new buckets.
const admissionHistory = 2 * time.Second

// demand is what instances were asked for, as an exponentially decaying sum, and what they have
// admitted lately. The sum does not decay between two additions.
type demand struct {
	sum        float64
	requests   float64 // Number of the requests that asked for sum.
	at         time.Time
	admissions []othersAdmission // Oldest first.
}

// othersAdmission is what other instances have admitted between two replies.
type othersAdmission struct {
	at     time.Time // When the second reply arrived.
	tokens int64
}

// add counts the usage of other instances since the previous reply.
func (d *demand) add(u usage, now time.Time) {
	decay := math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
	d.sum = d.sum*decay + float64(max(u.asked, 0))
	d.requests = d.requests*decay + float64(max(u.requests, 0))
	d.at = now
	d.admissions = append(d.admissions, othersAdmission{at: now, tokens: u.admitted})
	for now.Sub(d.admissions[0].at) > admissionHistory {
		d.admissions = d.admissions[1:]
	}
}

// resume keeps the sum over a time without comparable replies.
func (d *demand) resume(now time.Time) { d.at = now }

// end forgets the sum: a bucket that is full after a reply shows that the demand is over.
func (d *demand) end() { d.sum, d.requests = 0, 0 }

// meanCost returns the mean cost of the requests, or 0 if there are none.
func (d *demand) meanCost() float64 {
	if d.requests <= 0 {
		return 0
	}
	return d.sum / d.requests
}

// perSecond returns the average number of tokens that are asked for in a second.
func (d *demand) perSecond() float64 { return d.sum / demandWindow.Seconds() }
