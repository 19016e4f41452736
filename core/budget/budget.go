// Package budget admits requests of organisations by the number of tokens
// that they may use. Over all instances together, an organisation never gets
// more than rate x W + burst tokens in any time window of length W, whatever
// fails.
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

// Timeouts and limits for admission and settlement.
const (
	admitTimeout         = 300 * time.Millisecond // For one instance; the next candidate is asked after it.
	settleTimeout        = 500 * time.Millisecond
	maxAdmissionAttempts = 3           // Instances asked for one request.
	cleanupInterval      = time.Second // Between removals of expired tokens and reservations.
)

// Budget admits requests on this instance. In its failure domain, it owns the
// accounts of some organisations, chosen by rendezvous hashing, and may hold
// minting slots: leases on the right to mint a fixed share of every
// organisation's rate.
type Budget struct {
	self   ident.InstanceID
	domain ident.DomainID
	log    log.Logger
	clock  *Clock

	view          func() *membership.View                  // The known instances.
	limits        func(ident.OrganisationID) (Limit, bool) // From the operator's configuration.
	organisations func() []ident.OrganisationID            // From the operator's configuration.
	// From the operator's configuration; 0 before the first one.
	layout func() (domains, slotsPerDomain int)
	peers  link.CallFunc
	store  slotStore

	accounts      *accountOwner // Accounts of the organisations that this instance owns.
	slots         *slotManager  // Minting slots of this domain.
	collector     *collector    // Collects minted tokens from the slot holders.
	metrics       *budgetMetrics
	admissions    *admissionLog
	wakeClaimLoop chan struct{} // Starts the next round of claimLoop at once.
	readyDeadline Instant       // From then on, Ready returns nil even if slots have no holder.

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Grant is an admitted request. The caller must call Settle once the request
// has ended.
type Grant struct {
	b               *Budget
	org             ident.OrganisationID
	owner           ident.InstanceID // The instance that charged the request.
	id              uint64           // Of the reservation at owner.
	charged         ident.Tokens
	refundableUntil Instant // All charged tokens have expired after it, so that a refund has no effect.
	once            sync.Once
}

// Charged returns the number of tokens that were charged.
func (g *Grant) Charged() ident.Tokens { return g.charged }

// Admit charges cost, the upper bound of what a request may use, to an
// organisation. It returns an error of kind RateExceeded, with the time at
// which a retry may succeed; RequestTooLarge if cost is above the
// organisation's burst, so that it can never be admitted; Forbidden if the
// configuration has no such organisation; or the error of ctx. An error means
// that the request must not run.
func (b *Budget) Admit(ctx context.Context, org ident.OrganisationID, cost ident.Tokens) (*Grant, error) {
	limit, err := b.checkCost(org, cost)
	if err != nil {
		return nil, err
	}
	if cost == 0 {
		return &Grant{b: b, org: org, owner: b.self}, nil
	}
	var last error
	for _, instance := range b.admissionCandidates(org) {
		sentAt := b.clock.Now()
		c, err := b.admitOn(ctx, instance, org, limit, cost)
		if err == nil {
			b.metrics.admitted.Inc(1)
			refundableUntil := sentAt.ExpiryTime.Add(c.refundableFor)
			return &Grant{b: b, org: org, owner: instance, id: c.reservationID, charged: cost, refundableUntil: refundableUntil}, nil
		}
		if ctx.Err() != nil {
			return nil, fault.From(ctx.Err())
		}
		last = err
		if !ownerFailed(err) {
			break
		}
		b.metrics.ownerFailures.Inc(1)
	}
	b.metrics.refused.Inc(1)
	return nil, last
}

// ownerFailed reports whether an instance could not decide on an admission,
// so that the next candidate is asked.
func ownerFailed(err error) bool {
	kind := fault.KindOf(err)
	return slices.Contains(ownerFailureKinds, kind)
}

// ownerFailureKinds are the kinds of errors after which the next candidate is
// asked.
var ownerFailureKinds = []fault.Kind{
	fault.PeerUnavailable, fault.DeadlineExceeded, fault.CallerGone, fault.ShuttingDown, fault.NotFound,
}

// checkCost returns the organisation's limit, or an error if cost can never
// be admitted.
func (b *Budget) checkCost(org ident.OrganisationID, cost ident.Tokens) (Limit, error) {
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

// admissionCandidates returns the instances to ask for an admission, in
// order: the owner of the organisation's account, lower-ranked instances, and
// this instance last.
func (b *Budget) admissionCandidates(org ident.OrganisationID) []ident.InstanceID {
	v := b.view()
	owner, ok := v.Owner(b.domain, string(org))
	if !ok || owner.ID == b.self {
		return []ident.InstanceID{b.self}
	}
	list := []ident.InstanceID{owner.ID}
	for _, m := range v.Ranked(b.domain, string(org)) {
		if len(list) < maxAdmissionAttempts-1 && m.ID != owner.ID && m.ID != b.self {
			list = append(list, m.ID)
		}
	}
	return append(list, b.self)
}

// admitOn charges cost on one instance, which may be this one.
func (b *Budget) admitOn(ctx context.Context, instance ident.InstanceID, org ident.OrganisationID, limit Limit, cost ident.Tokens) (admissionResult, error) {
	if instance == b.self {
		return b.accounts.admit(ctx, org, limit, cost)
	}
	req := &AdmitRequest{Organisation: string(org), Tokens: int64(cost)}
	reply := &AdmitReply{}
	err := b.call(ctx, admitTimeout, instance, methodAdmit, req, reply)
	return admissionResult{reservationID: reply.GetReservation(), refundableFor: time.Duration(reply.GetRefundNs())}, err
}

// Settle reports the number of tokens that the request used, and refunds the
// rest to the organisation. It returns without waiting for the owner; only
// the first call has an effect.
func (g *Grant) Settle(used ident.Tokens) {
	g.once.Do(func() { g.b.settle(g, used) })
}

// settle sends a settlement to the instance that charged the grant, unless
// nothing can be refunded. It is sent only once; if it is lost, the
// organisation loses the unused tokens.
func (b *Budget) settle(g *Grant, used ident.Tokens) {
	invariant.Check(b.log, "Budget.UsedWithinCharge", 0 <= used && used <= g.charged,
		"organisation", string(g.org), "charged", int64(g.charged), "used", int64(used))
	if used >= g.charged {
		return
	}
	if g.owner == b.self {
		b.accounts.settle(g.org, g.id, used)
		return
	}
	if b.clock.Now().ExpiryTime >= g.refundableUntil {
		b.metrics.skippedSettles.Inc(1)
		return
	}
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		req := &SettleRequest{Organisation: string(g.org), Reservation: g.id, UsedTokens: int64(used)}
		if err := b.call(context.Background(), settleTimeout, g.owner, methodSettle, req, &Done{}); err != nil {
			b.metrics.lostSettles.Inc(1)
		}
	}()
}

// call sends a request to another instance with a timeout.
func (b *Budget) call(ctx context.Context, timeout time.Duration, to ident.InstanceID, method string, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	b.metrics.calls.Inc(1)
	return b.peers(ctx, to, method, req, resp)
}

// ended reports whether the process of an instance is known to have ended.
func (b *Budget) ended(id ident.InstanceID) bool {
	m, ok := b.view().Member(id)
	return ok && m.State == membership.Gone
}

// otherDomains returns the failure domains of known instances, except this
// instance's own.
func (b *Budget) otherDomains() []ident.DomainID {
	var others []ident.DomainID
	for _, d := range b.view().Domains() {
		if d != b.domain {
			others = append(others, d)
		}
	}
	return others
}

// expiryWindow returns the age at which an organisation's tokens expire, or 0
// for an unknown organisation.
func (b *Budget) expiryWindow(org ident.OrganisationID) time.Duration {
	limit, ok := b.limits(org)
	if !ok {
		return 0
	}
	return limit.expiryWindow()
}
