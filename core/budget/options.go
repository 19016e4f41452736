package budget

import (
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/ident"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
)

// dependencies are the functions of other roles that a Budget uses.
type dependencies struct {
	view          func() *membership.View
	limits        func(ident.OrganisationID) (Limit, bool)
	organisations func() []ident.OrganisationID
	layout        func() (domains, slotsPerDomain int)
	peers         link.CallFunc
	store         slotStore
}

// option configures a new Budget.
type option func(*Budget)

// withLog sets the logger.
func withLog(l log.Logger) option {
	return func(b *Budget) { b.log = log.With(l, "part", "Budget") }
}

// withMetrics registers the counters in r.
func withMetrics(r metrics.Registry) option {
	return func(b *Budget) { b.metrics = newMetrics(r) }
}

// withTimeSource sets the function that reads the current time.
func withTimeSource(now func() time.Time) option {
	return func(b *Budget) { b.clock = NewClock(now) }
}

// newBudget returns a Budget whose background loops are not running yet.
func newBudget(self ident.InstanceID, domain ident.DomainID, deps dependencies, opts ...option) *Budget {
	b := &Budget{
		self:          self,
		domain:        domain,
		log:           log.NewNopLogger(),
		clock:         NewClock(time.Now),
		view:          deps.view,
		limits:        deps.limits,
		organisations: deps.organisations,
		layout:        deps.layout,
		peers:         deps.peers,
		store:         deps.store,
		metrics:       newMetrics(metrics.NewRegistry()),
		wakeClaimLoop: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(b)
	}
	b.readyDeadline = b.clock.Now().ExpiryTime.Add(maxReadyWait)
	b.accounts = newAccountOwner(b)
	b.slots = newSlotManager(b)
	b.collector = newCollector(b)
	return b
}

// logAdmissions enables the admission log at path, unless path is empty.
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
