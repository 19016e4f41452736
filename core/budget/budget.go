// Package budget admits the tokens of organisations: over all instances
// together no more than rate and burst, whatever fails.
package budget

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
)

// Times and numbers of the way of a request.
const (
	admitTimeout  = 300 * time.Millisecond // For one home; the next one is asked after it.
	settleTimeout = 500 * time.Millisecond
	maxHomes      = 3 // Homes asked for one request.
	tidyEvery     = time.Second
)

// Budget admits requests on this instance. It is a home for some organisations
// of its domain, and may hold minting slots.
type Budget struct {
	self   ident.InstanceID
	domain ident.DomainID
	log    log.Logger
	clock  *Clock

	view   func() *membership.View                  // Live instances.
	limits func(ident.OrganisationID) (Limit, bool) // From the text.
	orgs   func() []ident.OrganisationID            // From the text.
	layout func() (domains, slotsPerDomain int)     // From the text; 0 before the first one.
	peers  link.Caller
	store  slotStore

	home       *home
	keeper     *keeper
	takers     *takers
	metrics    *budgetMetrics
	admissions *admissionLog
	poke       chan struct{} // Wakes the claim loop.
	readyBy    Instant       // From then on Ready does not wait for holders of slots.

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Grant is an admitted request. Settle must be called once it has ended.
type Grant struct {
	b       *Budget
	org     ident.OrganisationID
	home    ident.InstanceID
	id      uint64
	charged ident.Tokens
	until   Instant // A refund after it is worth nothing.
	once    sync.Once
}

// Charged returns the tokens that were charged.
func (g *Grant) Charged() ident.Tokens { return g.charged }

// Admit charges cost to an organisation, as the upper bound of what a request
// may use. Errors have kind RateExceeded, with the time from which a retry may
// work; RequestTooLarge when cost is above the organisation's burst, so that it
// can never be admitted; Forbidden when the text does not have the
// organisation; or those of ctx. Nothing has run when it returns an error.
func (b *Budget) Admit(ctx context.Context, org ident.OrganisationID, cost ident.Tokens) (*Grant, error) {
	limit, err := b.check(org, cost)
	if err != nil {
		return nil, err
	}
	if cost == 0 {
		return &Grant{b: b, org: org, home: b.self}, nil
	}
	var last error
	for _, home := range b.homes(org) {
		asked := b.clock.Now()
		c, err := b.admitAt(ctx, home, org, limit, cost)
		if err == nil {
			b.metrics.admitted.Inc(1)
			until := asked.Age.Add(c.refundFor)
			return &Grant{b: b, org: org, home: home, id: c.id, charged: cost, until: until}, nil
		}
		if ctx.Err() != nil {
			return nil, fault.From(ctx.Err())
		}
		last = err
		if !homeFailed(err) {
			break
		}
		b.metrics.homeFailures.Inc(1)
	}
	b.metrics.refused.Inc(1)
	return nil, last
}

// homeFailed reports whether a home did not answer, so that another may.
func homeFailed(err error) bool {
	kind := fault.KindOf(err)
	return slices.Contains(homeFailures, kind)
}

// homeFailures are the kinds of errors by which a home is left out.
var homeFailures = []fault.Kind{
	fault.PeerUnavailable, fault.DeadlineExceeded, fault.CallerGone, fault.ShuttingDown, fault.NotFound,
}

// check returns the organisation's limit, or why cost can never be admitted.
func (b *Budget) check(org ident.OrganisationID, cost ident.Tokens) (Limit, error) {
	limit, ok := b.limits(org)
	if !ok {
		return Limit{}, fault.New(fault.Forbidden, "organisation %s has no rate", org)
	}
	if cost < 0 {
		return Limit{}, fault.New(fault.BadRequest, "the request has a negative number of tokens")
	}
	if cost > limit.Burst {
		return Limit{}, fault.New(fault.RequestTooLarge,
			"the request may use %d tokens, above the burst of %d of organisation %s; lower max_tokens or shorten the prompt", cost, limit.Burst, org)
	}
	return limit, nil
}

// homes returns the instances to ask, the organisation's home first and this
// instance last.
func (b *Budget) homes(org ident.OrganisationID) []ident.InstanceID {
	v := b.view()
	owner, ok := v.Owner(b.domain, string(org))
	if !ok || owner.ID == b.self {
		return []ident.InstanceID{b.self}
	}
	list := []ident.InstanceID{owner.ID}
	for _, m := range v.Ranked(b.domain, string(org)) {
		if len(list) < maxHomes-1 && m.ID != owner.ID && m.ID != b.self {
			list = append(list, m.ID)
		}
	}
	return append(list, b.self)
}

// admitAt charges at one home.
func (b *Budget) admitAt(ctx context.Context, home ident.InstanceID, org ident.OrganisationID, limit Limit, cost ident.Tokens) (charge, error) {
	if home == b.self {
		return b.home.admit(ctx, org, limit, cost)
	}
	req := &AdmitRequest{Organisation: string(org), Tokens: int64(cost)}
	reply := &AdmitReply{}
	err := b.call(ctx, admitTimeout, home, methodAdmit, req, reply)
	return charge{id: reply.GetReservation(), refundFor: time.Duration(reply.GetRefundNs())}, err
}

// Settle says how many tokens the request used. The rest goes back to the
// organisation. It returns at once; only the first call counts.
func (g *Grant) Settle(used ident.Tokens) {
	g.once.Do(func() { g.b.settle(g, used) })
}

// settle sends a settlement to the grant's home, unless nothing is left to give
// back. It is sent once: a lost one costs the organisation the unused tokens.
func (b *Budget) settle(g *Grant, used ident.Tokens) {
	invariant.Check(b.log, "Budget.UsedWithinCharge", 0 <= used && used <= g.charged,
		"organisation", string(g.org), "charged", int64(g.charged), "used", int64(used))
	if used >= g.charged {
		return
	}
	if g.home == b.self {
		b.home.settle(g.org, g.id, used)
		return
	}
	if b.clock.Now().Age >= g.until {
		b.metrics.skippedSettles.Inc(1)
		return
	}
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		req := &SettleRequest{Organisation: string(g.org), Reservation: g.id, UsedTokens: int64(used)}
		if err := b.call(context.Background(), settleTimeout, g.home, methodSettle, req, &Done{}); err != nil {
			b.metrics.lostSettles.Inc(1)
		}
	}()
}

// call calls a method of another instance within a timeout.
func (b *Budget) call(ctx context.Context, timeout time.Duration, to ident.InstanceID, method string, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	b.metrics.calls.Inc(1)
	return b.peers(ctx, to, method, req, resp)
}

// ended reports whether the process of an instance has ended for sure.
func (b *Budget) ended(id ident.InstanceID) bool {
	m, ok := b.view().Member(id)
	return ok && m.State == membership.Gone
}

// otherDomains returns the other domains in which instances live.
func (b *Budget) otherDomains() []ident.DomainID {
	var others []ident.DomainID
	for _, d := range b.view().Domains() {
		if d != b.domain {
			others = append(others, d)
		}
	}
	return others
}

// windowOf returns the age at which an organisation's tokens expire.
func (b *Budget) windowOf(org ident.OrganisationID) time.Duration {
	limit, ok := b.limits(org)
	if !ok {
		return 0
	}
	return limit.window()
}
