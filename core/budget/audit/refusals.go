package audit

import (
	"sort"

	"monsoonfork/core/ident"
)

// Request is one request as its caller saw it.
type Request struct {
	Organisation ident.OrganisationID
	Cost         ident.Tokens
	MonotonicNs  int64 // When it was sent.
	Outcome      Outcome
}

// Outcome is what became of a request.
type Outcome int

// The outcomes of requests.
const (
	Admitted Outcome = iota
	Refused          // For the organisation's rate.
	Failed           // For another reason.
)

// Refusals sums up the requests of one organisation. A refusal is wrongful if
// one exact bucket over all instances, charged with all that was admitted
// before the request was sent, had its cost.
type Refusals struct {
	Requests, Refused, Failed, Wrongful int
	At                                  []int64 // When the wrongful ones were sent.
}

// Share returns the wrongful refusals among all requests.
func (r Refusals) Share() float64 { return float64(r.Wrongful) / float64(max(1, r.Requests)) }

// CountRefusals counts the requests of an organisation that were sent in the
// time from from to to, in monotonic nanoseconds.
func (l *Log) CountRefusals(org ident.OrganisationID, limit Limit, requests []Request, from, to int64) Refusals {
	requests = sorted(org, requests)
	bucket := newBucket(limit, l.events(org))
	var sum Refusals
	for _, q := range requests {
		level := bucket.levelAt(q.MonotonicNs)
		if q.MonotonicNs < from || q.MonotonicNs >= to {
			continue
		}
		sum.Requests++
		switch q.Outcome {
		case Admitted:
		case Failed:
			sum.Failed++
		case Refused:
			sum.Refused++
			if level >= float64(q.Cost) {
				sum.Wrongful++
				sum.At = append(sum.At, q.MonotonicNs)
			}
		}
	}
	return sum
}

// sorted returns the requests of an organisation by time.
func sorted(org ident.OrganisationID, requests []Request) []Request {
	var own []Request
	for _, q := range requests {
		if q.Organisation == org {
			own = append(own, q)
		}
	}
	sort.Slice(own, func(i, j int) bool { return own[i].MonotonicNs < own[j].MonotonicNs })
	return own
}

// events returns the admissions of an organisation by time, with what they used
// in the end.
func (l *Log) events(org ident.OrganisationID) []admission {
	var list []admission
	for k, a := range l.admissions {
		if k.org == org {
			list = append(list, *a)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].at < list[j].at })
	return list
}

// bucket is one exact bucket, full at the start.
type bucket struct {
	limit      Limit
	admissions []admission // Not charged yet.
	level      float64
	at         int64
}

// newBucket returns a full bucket that will be charged with admissions.
func newBucket(limit Limit, admissions []admission) *bucket {
	return &bucket{limit: limit, admissions: admissions, level: float64(limit.Burst)}
}

// levelAt charges all admissions up to a time and returns the tokens left then.
// Times must not go backwards.
func (b *bucket) levelAt(now int64) float64 {
	for len(b.admissions) > 0 && b.admissions[0].at <= now {
		b.fill(b.admissions[0].at)
		b.level -= float64(b.admissions[0].used)
		b.admissions = b.admissions[1:]
	}
	b.fill(now)
	return b.level
}

// fill adds what the rate gives until now.
func (b *bucket) fill(now int64) {
	b.level = min(float64(b.limit.Burst), b.level+float64(b.limit.Rate)*float64(now-b.at)/1e9)
	b.at = now
}
