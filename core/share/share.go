// Package share enforces the rate limits of organisations over all instances together.
package share

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/admission"
	"monsoonfork/core/boottime"
	"monsoonfork/core/catalog"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
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
	// propagationTime is how long it takes until all instances know what one of them has
	// admitted: a report, an exchange between collectors, and a reply.
	propagationTime = 3 * reportInterval
	// callTimeout bounds one call of a report or an exchange.
	callTimeout = 400 * time.Millisecond
)

// Shares admits requests against the rate limits of their organisations. It is safe
// for concurrent use.
type Shares struct {
	log        log.Logger
	now        func() time.Time
	bootTime   func() boottime.Instant
	view       func() *membership.View
	registered func() int // Number of instances in the register.
	call       link.CallFunc
	random     func() float64 // Uniform in [0, 1).
	pressure   *admission.Pressure

	mu         sync.Mutex
	buckets    map[ident.OrganisationID]*bucket
	collector  ident.InstanceID                 // Collector that answered last.
	fraction   float64                          // Fraction of the rates in the collector's last reply.
	reportedAt time.Time                        // When the report was sent that the reply answers.
	validUntil boottime.Instant                 // When that reply expires.
	others     map[ident.OrganisationID]usage   // Usage of all other instances, as of that reply.
	demands    map[ident.OrganisationID]*demand // Demand at all other instances.
	compared   bool                             // Whether two replies have been compared since the start.
	completeAt time.Time                        // From then on, the collector's replies contain the usage of all.
	heardUntil time.Time                        // From then on, what the others admit is estimated.

	acknowledged acknowledged
	totals       usageTotals
}

// Option configures a Shares.
type Option func(*Shares)

// WithBootTime sets the clock that the validity of reports and replies is measured with. It also
// counts the time in which the host is suspended.
func WithBootTime(f func() boottime.Instant) Option {
	return func(s *Shares) { s.bootTime = f }
}

// WithPressure has the reports also exchange which requests lack memory of engines.
func WithPressure(p *admission.Pressure) Option {
	return func(s *Shares) { s.pressure = p }
}

// New returns the Shares of an instance. view returns the known members, and
// registered the number of instances in the register.
func New(view func() *membership.View, registered func() int, call link.CallFunc, logger log.Logger, now func() time.Time, opts ...Option) *Shares {
	s := &Shares{
		log:        log.With(logger, "part", "Share"),
		now:        now,
		bootTime:   boottime.Now,
		view:       view,
		registered: registered,
		call:       call,
		random:     rand.Float64,
		pressure:   admission.NewPressure(now),
		buckets:    make(map[ident.OrganisationID]*bucket),
		others:     make(map[ident.OrganisationID]usage),
		demands:    make(map[ident.OrganisationID]*demand),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.totals = newUsageTotals(s.bootTime)
	return s
}

// Admit charges the cost of a request to an organisation's rate, or returns when to
// retry. If the organisation asks for more than its rate, the tokens go to its more urgent
// requests; a priority of 0 is the most urgent.
func (s *Shares) Admit(o *catalog.Organisation, cost ident.Tokens, priority int) forward.Admission {
	if o.Rate <= 0 {
		return forward.Admission{Granted: true, Refund: func() {}}
	}
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(o, now)
	q := b.newCharge(cost, priority, s.random())
	if p := b.openProbability(q.class, now); p > 0 {
		q.open = s.random() < p
	}
	ok, retryAt := b.tryCharge(q, now)
	if !ok {
		reserved := ident.Tokens(b.claimOf(q, now).reserved)
		return forward.Admission{RetryAt: retryAt, RateShare: s.currentFraction(), CollectorAnsweredAt: s.reportedAt, Reserved: reserved}
	}
	return forward.Admission{Granted: true, Refund: sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		b.refund(cost, now, s.now())
	})}
}

// bucket returns the bucket of an organisation after applying its current limits. The
// caller holds mu.
func (s *Shares) bucket(o *catalog.Organisation, now time.Time) *bucket {
	b := s.buckets[o.Name]
	demand, meanCost := s.othersDemand(o.Name)
	if b == nil {
		b = s.newBucket(o, now)
		s.buckets[o.Name] = b
	}
	b.heardUntil = s.heardUntil
	b.setLimit(float64(o.Rate), float64(max(o.Burst, 1)), s.currentFraction(), now)
	b.othersDemand, b.othersMeanCost = demand, meanCost
	b.othersClasses = s.othersClasses(o.Name)
	return b
}

// newBucket returns a bucket at the level that it would have if it had existed before:
// full for its fraction, less what other instances have admitted lately. Before that is
// known it holds only the share of this instance. The caller holds mu.
func (s *Shares) newBucket(o *catalog.Organisation, now time.Time) *bucket {
	b := &bucket{refilledAt: now, level: math.Inf(1), askedLevel: math.Inf(1)}
	rate, burst, fraction := float64(o.Rate), float64(max(o.Burst, 1)), s.currentFraction()
	if !s.compared {
		b.level = burst * s.ownFraction()
	}
	d := s.demands[o.Name]
	if d == nil || len(d.admissions) == 0 {
		return b
	}
	b.refilledAt = d.admissions[0].at
	b.setLimit(rate, burst, fraction, b.refilledAt)
	for _, a := range d.admissions {
		_ = b.chargeOthers(a.tokens, true, a.at)
	}
	b.level = max(b.level, 0)
	return b
}

// currentFraction returns the fraction of each rate that applies to this instance's
// buckets: the collector's, or that of one instance alone if no reply of a collector is
// valid. The caller holds mu.
func (s *Shares) currentFraction() float64 {
	if s.bootTime().Before(s.validUntil) {
		return s.fraction
	}
	return s.ownFraction()
}

// ownFraction returns the fraction of each rate that is set aside for one instance.
func (s *Shares) ownFraction() float64 {
	return 1 / float64(ExpectedInstances(s.view(), s.registered()))
}

// ExpectedInstances returns how many instances share the rate limits: the number of
// registered instances, or the number of members that the view does not count as gone,
// whichever is larger.
func ExpectedInstances(v *membership.View, registered int) int {
	return max(1, v.NotGone(), registered)
}

// ownTotals returns the usage of this instance since it started.
func (s *Shares) ownTotals() []*Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*Usage, 0, len(s.buckets))
	for name, b := range s.buckets {
		list = append(list, usage{admitted: b.admitted, asked: b.asked, requests: b.requests, byClass: b.askedByClass}.message(name))
	}
	return list
}

// applyReply applies a collector's reply to the buckets. The reply is valid from the time
// at which the report was sent, since this instance may have been paused since, to validUntil.
func (s *Shares) applyReply(collector ident.InstanceID, r *ReportReply, sentAt time.Time, validUntil boottime.Instant) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	// A collector counts from the first report that it received, so the totals of two
	// collectors can't be compared. The first reply of a new collector, or after a gap,
	// charges nothing; the following replies are compared with it. What is admitted until all
	// report to the new collector stays estimated.
	chargeable := s.collector == collector && validUntil.Before(s.validUntil.Add(reportTTL))
	if !chargeable {
		s.completeAt = now.Add(propagationTime)
		for _, b := range s.buckets {
			b.keepEstimate(now)
		}
	}
	changed := make(map[ident.OrganisationID]bool, len(r.GetOthers()))
	for _, u := range r.GetOthers() {
		name := ident.OrganisationID(u.GetOrganisation())
		delta := usageOf(u).minus(s.others[name])
		s.others[name], changed[name] = usageOf(u), true
		s.applyUsage(name, delta, chargeable, now)
	}
	for name := range s.others {
		if !changed[name] {
			s.applyUsage(name, usage{}, chargeable, now)
		}
	}
	s.compared = s.compared || chargeable
	if !now.Before(s.completeAt) {
		s.heardUntil = sentAt.Add(reportInterval)
	}
	if r.GetPart() != s.fraction || collector != s.collector {
		_ = level.Info(s.log).Log("msg", event.RateShareChanged, "part", r.GetPart(), "was", s.fraction, "collector", collector, "expected", ExpectedInstances(s.view(), s.registered()))
	}
	s.collector, s.fraction, s.reportedAt, s.validUntil = collector, r.GetPart(), sentAt, validUntil
}

// applyUsage applies what other instances have admitted and were asked for since the
// previous reply. If the replies can't be compared, it keeps what is known. The caller
// holds mu.
func (s *Shares) applyUsage(name ident.OrganisationID, delta usage, comparable bool, now time.Time) {
	d := s.demands[name]
	if d == nil {
		d = &demand{}
		s.demands[name] = d
	}
	if !comparable {
		d.resume(now)
		return
	}
	d.add(delta, now)
	if b := s.buckets[name]; b != nil {
		b.heardUntil = s.heardUntil
		b.chargeAsked(delta.asked)
		if !b.chargeOthers(delta.admitted, !now.Before(s.completeAt), now) {
			_ = level.Warn(s.log).Log("msg", event.PeerRecordIgnored, "from", string(s.collector), "record", "usage", "err", fault.New(fault.BadRequest, "%d tokens of organisation %.80q are more than accrue in %v", delta.admitted, name, maxReportedDebt))
		}
		if b.full() {
			d.end()
		}
	}
}

// othersDemand returns how many tokens per second the other instances are asked for, and by
// requests of what mean cost; 0 if no reply is valid: the share of this instance is then its own.
// The caller holds mu.
func (s *Shares) othersDemand(name ident.OrganisationID) (tokensPerSecond, meanCost float64) {
	d := s.demands[name]
	if d == nil || !s.bootTime().Before(s.validUntil) {
		return 0, 0
	}
	return d.perSecond(), d.meanCost()
}

// othersClasses returns what the other instances are asked for by class; nothing if no reply is
// valid. The caller holds mu.
func (s *Shares) othersClasses(name ident.OrganisationID) classDemand {
	d := s.demands[name]
	if d == nil || !s.bootTime().Before(s.validUntil) {
		return classDemand{}
	}
	return d.classes
}
