package audit

import (
	"sort"

	"monsoonfork/core/ident"
)

// Request is one request as recorded by its caller.
type Request struct {
	Organisation ident.OrganisationID
	Cost         ident.Tokens
	MonotonicNs  int64 // When it was sent, in monotonic nanoseconds.
	Outcome      Outcome
}

// Outcome is the result of a request.
type Outcome int

// The outcomes of requests.
const (
	Admitted Outcome = iota
	Refused          // Because of the organisation's rate.
	Failed           // For any other reason.
)

// RequestCounts counts the requests of one organisation by outcome. A refusal is
// wrongful if a single token bucket over all instances, charged with all
// requests admitted before the refused one was sent, had enough tokens for
// it.
type RequestCounts struct {
	Requests, Refused, Failed, Wrongful int
	WrongfulNs                          []int64 // When the wrongfully refused requests were sent.
}

// WrongfulFraction returns the fraction of all requests that were wrongfully refused.
func (r RequestCounts) WrongfulFraction() float64 {
	return float64(r.Wrongful) / float64(max(1, r.Requests))
}

// CountRequests counts the requests of an organisation that were sent in the
// half-open time range from from to to, in monotonic nanoseconds.
func (l *Admissions) CountRequests(org ident.OrganisationID, limit Limit, requests []Request, from, to int64) RequestCounts {
	requests = requestsByTime(org, requests)
	bucket := newBucket(limit, l.admissionsByTime(org))
	var counts RequestCounts
	for _, q := range requests {
		level := bucket.levelAt(q.MonotonicNs)
		if q.MonotonicNs < from || q.MonotonicNs >= to {
			continue
		}
		counts.Requests++
		switch q.Outcome {
		case Admitted:
		case Failed:
			counts.Failed++
		case Refused:
			counts.Refused++
			if level >= float64(q.Cost) {
				counts.Wrongful++
				counts.WrongfulNs = append(counts.WrongfulNs, q.MonotonicNs)
			}
		}
	}
	return counts
}

// requestsByTime returns the requests of an organisation, sorted by time.
func requestsByTime(org ident.OrganisationID, requests []Request) []Request {
	var list []Request
	for _, q := range requests {
		if q.Organisation == org {
			list = append(list, q)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].MonotonicNs < list[j].MonotonicNs })
	return list
}

// admissionsByTime returns the admissions of an organisation, sorted by time,
// with the tokens that they finally used.
func (l *Admissions) admissionsByTime(org ident.OrganisationID) []admission {
	var list []admission
	for k, a := range l.admissions {
		if k.org == org {
			list = append(list, *a)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].admittedAt < list[j].admittedAt })
	return list
}

// bucket is a token bucket that replays a list of admissions.
type bucket struct {
	limit      Limit
	admissions []admission // Not charged yet, sorted by time.
	level      float64
	updatedAt  int64 // Monotonic nanoseconds up to which level is computed.
}

// newBucket returns a full bucket that will be charged with admissions.
func newBucket(limit Limit, admissions []admission) *bucket {
	return &bucket{limit: limit, admissions: admissions, level: float64(limit.Burst)}
}

// levelAt charges all admissions up to now and returns the tokens left then.
// Successive calls must not go back in time.
func (b *bucket) levelAt(now int64) float64 {
	for len(b.admissions) > 0 && b.admissions[0].admittedAt <= now {
		b.refill(b.admissions[0].admittedAt)
		b.level -= float64(b.admissions[0].used)
		b.admissions = b.admissions[1:]
	}
	b.refill(now)
	return b.level
}

// refill adds the tokens that the rate yields up to now.
func (b *bucket) refill(now int64) {
	b.level = min(float64(b.limit.Burst), b.level+float64(b.limit.Rate)*float64(now-b.updatedAt)/1e9)
	b.updatedAt = now
}
