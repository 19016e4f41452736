package budget

import (
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/ident"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
)

// seams are what a Budget needs of other roles.
type seams struct {
	view   func() *membership.View
	limits func(ident.OrganisationID) (Limit, bool)
	orgs   func() []ident.OrganisationID
	layout func() (domains, slotsPerDomain int)
	peers  link.Caller
	store  slotStore
}

// option changes how a Budget is made.
type option func(*Budget)

// withLog sets the logger.
func withLog(l log.Logger) option {
	return func(b *Budget) { b.log = log.With(l, "part", "Budget") }
}

// withMetrics registers the counters in r.
func withMetrics(r metrics.Registry) option {
	return func(b *Budget) { b.metrics = newMetrics(r) }
}

// withNow sets how the time is read.
func withNow(now func() time.Time) option {
	return func(b *Budget) { b.clock = NewClock(now) }
}

// newBudget returns a Budget whose loops do not run yet.
func newBudget(self ident.InstanceID, domain ident.DomainID, s seams, opts ...option) *Budget {
	b := &Budget{
		self:    self,
		domain:  domain,
		log:     log.NewNopLogger(),
		clock:   NewClock(time.Now),
		view:    s.view,
		limits:  s.limits,
		orgs:    s.orgs,
		layout:  s.layout,
		peers:   s.peers,
		store:   s.store,
		metrics: newMetrics(metrics.NewRegistry()),
		poke:    make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(b)
	}
	b.readyBy = b.clock.Now().Age.Add(readyWithin)
	b.home = newHome(b)
	b.keeper = newKeeper(b)
	b.takers = newTakers(b)
	return b
}

// logAdmissions makes the Budget write its admission log to path.
func (b *Budget) logAdmissions(path string) error {
	if path == "" {
		return nil
	}
	l, err := openAdmissionLog(path, b.self, b.clock)
	if err != nil {
		return err
	}
	b.admissions = l
	return nil
}
