// Package share keeps the rates of organisations over all instances together.
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
	// reportEvery is the time between two reports. It bounds what is admitted
	// before others know, and with it how far a rate can be exceeded.
	reportEvery = 150 * time.Millisecond
	// unheardAfter is how long what was heard last counts.
	unheardAfter = 800 * time.Millisecond
	// callTime bounds one report.
	callTime = 400 * time.Millisecond
)

// Shares admits tokens of organisations. It is safe for concurrent use.
type Shares struct {
	log    log.Logger
	now    func() time.Time
	view   func() *membership.View
	listed func() int // Instances that are registered.
	call   link.Caller

	mu        sync.Mutex
	buckets   map[ident.OrganisationID]*bucket
	collector ident.InstanceID // Who answered last.
	part      float64          // That the collector told.
	heardAt   time.Time
	others    map[ident.OrganisationID]int64 // What all others have admitted, by the collector's last word.

	sums sums
}

// New returns shares of an instance among the members of view and those that are
// registered.
func New(view func() *membership.View, listed func() int, call link.Caller, logger log.Logger, now func() time.Time) *Shares {
	return &Shares{
		log:     log.With(logger, "part", "Share"),
		now:     now,
		view:    view,
		listed:  listed,
		call:    call,
		buckets: make(map[ident.OrganisationID]*bucket),
		others:  make(map[ident.OrganisationID]int64),
		sums:    newSums(now),
	}
}

// Admit takes tokens of an organisation.
func (s *Shares) Admit(o *catalog.Organisation, cost ident.Tokens) forward.Share {
	if o.Rate <= 0 {
		return forward.Share{Granted: true, Refund: func() {}}
	}
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(o, now)
	ok, at := b.take(cost, now)
	if !ok {
		return forward.Share{RetryAt: at, Part: s.partNow(now), HeardAt: s.heardAt}
	}
	return forward.Share{Granted: true, Refund: sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		b.give(cost)
	})}
}

// bucket returns the bucket of an organisation, with its newest limits. The caller
// holds mu.
func (s *Shares) bucket(o *catalog.Organisation, now time.Time) *bucket {
	b := s.buckets[o.Name]
	if b == nil {
		b = &bucket{at: now, level: math.Inf(1)}
		s.buckets[o.Name] = b
	}
	b.limit(float64(o.Rate), float64(max(o.Burst, 1)), s.partNow(now), now)
	return b
}

// partNow returns the part of rates that this instance may count on: what the
// collector said, or its own alone. The caller holds mu.
func (s *Shares) partNow(now time.Time) float64 {
	if now.Sub(s.heardAt) < unheardAfter {
		return s.part
	}
	return 1 / float64(Expected(s.view(), s.listed()))
}

// Expected returns how many instances share the fleet's budgets: those that are
// registered, or those that may live by the view if they are more.
func Expected(v *membership.View, listed int) int {
	living := 0
	for _, m := range v.Members() {
		if m.State != membership.Gone {
			living++
		}
	}
	return max(1, living, listed)
}

// report returns what this instance has admitted.
func (s *Shares) report() []*Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*Usage, 0, len(s.buckets))
	for name, b := range s.buckets {
		list = append(list, &Usage{Organisation: string(name), Tokens: b.admitted})
	}
	return list
}

// heard takes over a collector's reply.
func (s *Shares) heard(collector ident.InstanceID, r *ReportReply) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	// A new collector's first word is where counting starts.
	known := s.collector == collector && now.Sub(s.heardAt) < unheardAfter
	for _, u := range r.GetOthers() {
		name := ident.OrganisationID(u.GetOrganisation())
		since := u.GetTokens() - s.others[name]
		s.others[name] = u.GetTokens()
		if b := s.buckets[name]; b != nil && known {
			b.used(since, now)
		}
	}
	if r.GetPart() != s.part || collector != s.collector {
		_ = level.Info(s.log).Log("msg", event.PartOfRates, "part", r.GetPart(), "was", s.part, "collector", collector, "expected", Expected(s.view(), s.listed()))
	}
	s.collector, s.part, s.heardAt = collector, r.GetPart(), now
}
