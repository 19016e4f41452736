// Package share enforces the rate limits of organisations over all instances together.
package share

import (
	"math"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/catalog"
	"monsoonfork/core/event"
	"monsoonfork/core/forward"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
)

const (
	// reportInterval is the time between two reports. It bounds how much an instance
	// admits before the others are informed, and so how far a rate can be exceeded.
	reportInterval = 150 * time.Millisecond
	// reportTTL is how long a report, or the reply to one, is valid.
	reportTTL = 800 * time.Millisecond
	// callTimeout bounds one call of a report or an exchange.
	callTimeout = 400 * time.Millisecond
)

// Shares admits requests against the rate limits of their organisations. It is safe
// for concurrent use.
type Shares struct {
	log        log.Logger
	now        func() time.Time
	view       func() *membership.View
	registered func() int // Number of instances in the register.
	call       link.CallFunc

	mu             sync.Mutex
	buckets        map[ident.OrganisationID]*bucket
	collector      ident.InstanceID               // Collector that answered last.
	fraction       float64                        // Fraction of the rates in the collector's last reply.
	repliedAt      time.Time                      // When that reply arrived.
	othersAdmitted map[ident.OrganisationID]int64 // Tokens admitted by all other instances, as of that reply.

	totals usageTotals
}

// New returns the Shares of an instance. view returns the known members, and
// registered the number of instances in the register.
func New(view func() *membership.View, registered func() int, call link.CallFunc, logger log.Logger, now func() time.Time) *Shares {
	return &Shares{
		log:            log.With(logger, "part", "Share"),
		now:            now,
		view:           view,
		registered:     registered,
		call:           call,
		buckets:        make(map[ident.OrganisationID]*bucket),
		othersAdmitted: make(map[ident.OrganisationID]int64),
		totals:         newUsageTotals(now),
	}
}

// Admit charges the cost of a request to an organisation's rate, or returns when to
// retry.
func (s *Shares) Admit(o *catalog.Organisation, cost ident.Tokens) forward.Admission {
	if o.Rate <= 0 {
		return forward.Admission{Granted: true, Refund: func() {}}
	}
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(o, now)
	ok, retryAt := b.tryCharge(cost, now)
	if !ok {
		return forward.Admission{RetryAt: retryAt, RateShare: s.currentFraction(now), CollectorAnsweredAt: s.repliedAt}
	}
	return forward.Admission{Granted: true, Refund: sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		b.refund(cost)
	})}
}

// bucket returns the bucket of an organisation after applying its current limits. The
// caller holds mu.
func (s *Shares) bucket(o *catalog.Organisation, now time.Time) *bucket {
	b := s.buckets[o.Name]
	if b == nil {
		b = &bucket{refilledAt: now, level: math.Inf(1)}
		s.buckets[o.Name] = b
	}
	b.setLimit(float64(o.Rate), float64(max(o.Burst, 1)), s.currentFraction(now), now)
	return b
}

// currentFraction returns the fraction of each rate that applies to this instance's
// buckets: the collector's, or that of one instance alone if no reply of a collector is
// valid. The caller holds mu.
func (s *Shares) currentFraction(now time.Time) float64 {
	if now.Sub(s.repliedAt) < reportTTL {
		return s.fraction
	}
	return 1 / float64(ExpectedInstances(s.view(), s.registered()))
}

// ExpectedInstances returns how many instances share the rate limits: the number of
// registered instances, or the number of members that the view does not count as gone,
// whichever is larger.
func ExpectedInstances(v *membership.View, registered int) int {
	live := 0
	for _, m := range v.Members() {
		if m.State != membership.Gone {
			live++
		}
	}
	return max(1, live, registered)
}

// admittedTotals returns the tokens that this instance has admitted since it started.
func (s *Shares) admittedTotals() []*Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*Usage, 0, len(s.buckets))
	for name, b := range s.buckets {
		list = append(list, &Usage{Organisation: string(name), Tokens: b.admitted})
	}
	return list
}

// applyReply applies a collector's reply to the buckets.
func (s *Shares) applyReply(collector ident.InstanceID, r *ReportReply) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	// A collector counts from the first report that it received, so the totals of two
	// collectors can't be compared. The first reply of a new collector, or after a gap,
	// charges nothing; the following replies are compared with it.
	chargeable := s.collector == collector && now.Sub(s.repliedAt) < reportTTL
	for _, u := range r.GetOthers() {
		name := ident.OrganisationID(u.GetOrganisation())
		delta := u.GetTokens() - s.othersAdmitted[name]
		s.othersAdmitted[name] = u.GetTokens()
		if b := s.buckets[name]; b != nil && chargeable {
			b.chargeOthers(delta, now)
		}
	}
	if r.GetPart() != s.fraction || collector != s.collector {
		_ = level.Info(s.log).Log("msg", event.RateShareChanged, "part", r.GetPart(), "was", s.fraction, "collector", collector, "expected", ExpectedInstances(s.view(), s.registered()))
	}
	s.collector, s.fraction, s.repliedAt = collector, r.GetPart(), now
}
