package budget

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
)

// Limits and intervals of an accountOwner.
const (
	shardCount         = 16
	maxRefills         = 4                    // Attempts to fetch tokens for one request.
	minCollectInterval = 5 * time.Millisecond // Between collections from the domain's slots for one organisation.
	// Between requests to other domains that are estimated to have too little.
	probeInterval = 500 * time.Millisecond
	// probeInterval doubles with each consecutive failure, at most this often.
	maxProbeDoublings = 2
	// Tokens minted in this time are borrowed beyond the missing ones, since
	// the oldest expire in transit.
	extraBorrowTime = 25 * time.Millisecond
	minRetryAfter   = 50 * time.Millisecond
)

// account is the state of one organisation on the instance that owns it in
// this failure domain.
type account struct {
	pool          Pool
	waitingTokens float64       // Total cost of the requests that wait for a refill.
	refillDone    chan struct{} // Closed when the current refill ends; nil if there is none.
	collectedAt   Instant       // When tokens were last collected from the domain's slots; valid if hasCollected.
	hasCollected  bool
	borrowing     borrowState
	limitCheck    limitCheck
}

// shard holds the accounts and reservations of some organisations under one
// lock.
type shard struct {
	mu           sync.Mutex
	accounts     map[ident.OrganisationID]*account
	reservations *reservations
}

// accountOwner admits requests for the organisations that this instance owns
// in its failure domain.
type accountOwner struct {
	b      *Budget
	seed   maphash.Seed
	shards [shardCount]shard
}

// newAccountOwner returns an accountOwner without accounts. Each shard numbers
// its reservations from a random start.
func newAccountOwner(b *Budget) *accountOwner {
	h := &accountOwner{b: b, seed: maphash.MakeSeed()}
	for i := range h.shards {
		h.shards[i].accounts = make(map[ident.OrganisationID]*account)
		h.shards[i].reservations = newReservations(uint64(rand.Uint32())<<16 + 1)
	}
	return h
}

// shardFor returns the shard of an organisation.
func (h *accountOwner) shardFor(org ident.OrganisationID) *shard {
	return &h.shards[maphash.String(h.seed, string(org))%shardCount]
}

// account returns the account of an organisation and creates it if needed.
// The shard is locked.
func (s *shard) account(org ident.OrganisationID) *account {
	a, ok := s.accounts[org]
	if !ok {
		a = &account{}
		s.accounts[org] = a
	}
	return a
}

// admit charges cost and opens a reservation. Missing tokens are first
// collected from the domain's slots, then borrowed from other domains.
func (h *accountOwner) admit(ctx context.Context, org ident.OrganisationID, limit Limit, cost ident.Tokens) (admissionResult, error) {
	s := h.shardFor(org)
	for range maxRefills {
		if c, ok := h.charge(s, org, limit, cost); ok {
			return c, nil
		}
		retry, err := h.refill(ctx, s, org, limit, float64(cost))
		if err != nil {
			return admissionResult{}, err
		}
		if !retry {
			break
		}
	}
	if c, ok := h.charge(s, org, limit, cost); ok {
		return c, nil
	}
	return admissionResult{}, h.refusalError(s, org, limit, cost)
}

// charge withdraws cost from the pool if the pool has enough tokens, and
// opens a reservation.
func (h *accountOwner) charge(s *shard, org ident.OrganisationID, limit Limit, cost ident.Tokens) (admissionResult, bool) {
	now := h.b.clock.Now()
	s.mu.Lock()
	a := s.account(org)
	h.b.metrics.expired.Inc(int64(a.pool.Expire(now.ExpiryTime, limit.expiryWindow())))
	minted, ok := a.pool.Charge(now.ExpiryTime, limit.expiryWindow(), float64(cost))
	if !ok {
		s.mu.Unlock()
		return admissionResult{}, false
	}
	res := reservation{org: org, charged: cost, chargedAt: now.ExpiryTime, intervals: minted}
	id := s.reservations.add(res)
	within := a.limitCheck.recordAdmission(now.ExpiryTime, limit, cost)
	s.mu.Unlock()
	invariant.Check(h.b.log, "Budget.HomeWithinLimit", within, "organisation", string(org), "cost", int64(cost))
	h.b.admissions.logAdmission(now, org, id, cost)
	return admissionResult{reservationID: id, refundableFor: res.refundableFor(now.ExpiryTime, limit.expiryWindow())}, true
}

// refusalError returns the error for a request that the organisation's tokens
// do not cover, with an estimate of the time at which they will.
func (h *accountOwner) refusalError(s *shard, org ident.OrganisationID, limit Limit, cost ident.Tokens) error {
	now := h.b.clock.Now()
	s.mu.Lock()
	missing := float64(cost) - s.account(org).pool.Amount()
	s.mu.Unlock()
	wait := max(minRetryAfter, mintingTime(max(missing, 0), limit.Rate))
	return fault.New(fault.RateExceeded, "organisation %s is above its rate", org).WithRetryAfter(now.Wall.Add(wait))
}

// refill fetches tokens, or waits for the refill that another request has
// started. It reports whether charging should be attempted again.
func (h *accountOwner) refill(ctx context.Context, s *shard, org ident.OrganisationID, limit Limit, cost float64) (bool, error) {
	s.mu.Lock()
	a := s.account(org)
	a.waitingTokens += cost
	defer func() {
		s.mu.Lock()
		a.waitingTokens -= cost
		s.mu.Unlock()
	}()
	if done := a.refillDone; done != nil {
		s.mu.Unlock()
		select {
		case <-done:
			return true, nil
		case <-ctx.Done():
			return false, fault.From(ctx.Err())
		}
	}
	refillDone := make(chan struct{})
	a.refillDone = refillDone
	s.mu.Unlock()
	retry := h.fetchTokens(ctx, s, a, org, limit)
	s.mu.Lock()
	a.refillDone = nil
	s.mu.Unlock()
	close(refillDone)
	return retry, nil
}

// fetchTokens collects tokens from the domain's slots, then borrows what is
// still missing from other domains. It reports whether charging should be
// attempted again.
func (h *accountOwner) fetchTokens(ctx context.Context, s *shard, a *account, org ident.OrganisationID, limit Limit) bool {
	domains, _ := h.b.layout()
	others := h.b.otherDomains()
	now := h.b.clock.Now()
	s.mu.Lock()
	unreachable := a.demandUnreachable(now.ExpiryTime, others, limit, domains)
	s.mu.Unlock()
	if unreachable {
		return false
	}
	collected := h.collectFromSlots(ctx, s, a, org)
	now = h.b.clock.Now()
	s.mu.Lock()
	a.pool.Expire(now.ExpiryTime, limit.expiryWindow())
	missing := a.waitingTokens - a.pool.Amount()
	var requests []borrowRequest
	if missing > 0 {
		requests = a.borrowing.planRequests(now.ExpiryTime, others, limit, domains, missing+limit.mintedWithin(extraBorrowTime))
	}
	s.mu.Unlock()
	if missing <= 0 || len(requests) == 0 {
		return collected
	}
	return h.borrowFromDomains(ctx, s, a, org, requests) || collected
}

// demandUnreachable reports whether all that this domain's slots can have
// minted since the last collection and all that other domains can have left
// do not cover the waiting requests, so that no message needs to be sent. The
// shard is locked.
func (a *account) demandUnreachable(now Instant, others []ident.DomainID, limit Limit, domains int) bool {
	if !a.hasCollected || domains == 0 || now >= a.borrowing.nextProbeAt {
		return false
	}
	available := float64(limit.Rate) / float64(domains) * now.Sub(a.collectedAt).Seconds()
	for _, d := range others {
		available += a.borrowing.estimate(d, now, limit, domains)
	}
	return a.waitingTokens > a.pool.Amount()+available
}

// collectFromSlots moves the tokens that the slots of this domain have minted
// into the pool, unless minCollectInterval has not passed yet. It reports
// whether any tokens arrived.
func (h *accountOwner) collectFromSlots(ctx context.Context, s *shard, a *account, org ident.OrganisationID) bool {
	now := h.b.clock.Now()
	s.mu.Lock()
	due := !a.hasCollected || now.ExpiryTime >= a.collectedAt.Add(minCollectInterval)
	if due {
		a.hasCollected = true
		a.collectedAt = now.ExpiryTime
	}
	s.mu.Unlock()
	if !due {
		return false
	}
	return h.b.collector.collectAll(ctx, org)
}

// addTokens puts received tokens into the pool of an organisation.
func (h *accountOwner) addTokens(org ident.OrganisationID, intervals []Interval) {
	s := h.shardFor(org)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(org).pool.Add(intervals...)
}

// settle closes a reservation and refunds its unused tokens. A second
// settlement of the same reservation has no effect. A number of used tokens that
// the reservation doesn't hold counts as the nearest one that it does.
func (h *accountOwner) settle(org ident.OrganisationID, id uint64, used ident.Tokens) {
	now := h.b.clock.Now()
	s := h.shardFor(org)
	s.mu.Lock()
	res, unused, ok := s.reservations.settle(id, used)
	used = min(max(0, used), res.charged)
	if ok {
		a := s.account(res.org)
		a.pool.Add(unused...)
		a.limitCheck.recordRefund(float64(res.charged - used))
	}
	s.mu.Unlock()
	if !ok {
		h.b.metrics.lateSettles.Inc(1)
		return
	}
	h.b.admissions.logSettlement(now, org, id, res.charged, used)
}

// lend withdraws up to amount tokens for another domain, and returns them
// with the number of tokens left. Tokens for requests that wait here are not
// lent.
func (h *accountOwner) lend(ctx context.Context, org ident.OrganisationID, limit Limit, amount float64) (given []Interval, tokensLeft float64) {
	s := h.shardFor(org)
	s.mu.Lock()
	a := s.account(org)
	s.mu.Unlock()
	h.collectFromSlots(ctx, s, a, org)
	now := h.b.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	a.pool.Expire(now.ExpiryTime, limit.expiryWindow())
	available := max(0, a.pool.Amount()-a.waitingTokens)
	given = a.pool.Withdraw(min(amount, available))
	return given, max(0, a.pool.Amount()-a.waitingTokens)
}

// withdrawAll withdraws all tokens of an organisation.
func (h *accountOwner) withdrawAll(org ident.OrganisationID, limit Limit) []Interval {
	now := h.b.clock.Now()
	s := h.shardFor(org)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[org]
	if !ok {
		return nil
	}
	a.pool.Expire(now.ExpiryTime, limit.expiryWindow())
	return a.pool.Withdraw(a.pool.Amount())
}

// organisationsWithTokens returns the organisations whose pools here are not
// empty.
func (h *accountOwner) organisationsWithTokens() []ident.OrganisationID {
	var orgs []ident.OrganisationID
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for org, a := range s.accounts {
			if len(a.pool.segments) > 0 {
				orgs = append(orgs, org)
			}
		}
		s.mu.Unlock()
	}
	return orgs
}

// dropExpired drops expired tokens, expired reservations, and accounts that
// have been idle.
func (h *accountOwner) dropExpired(now Instant) {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for org, a := range s.accounts {
			limit, ok := h.b.limits(org)
			if ok {
				a.pool.Expire(now, limit.expiryWindow())
			} else {
				a.pool = Pool{}
			}
			if len(a.pool.segments) == 0 && a.refillDone == nil && a.waitingTokens == 0 && now >= a.collectedAt.Add(accountIdleTime) {
				delete(s.accounts, org)
			}
		}
		s.reservations.dropExpired(now, h.b.expiryWindow)
		s.mu.Unlock()
	}
}

// accountIdleTime is how long an empty account is kept after its last
// collection.
const accountIdleTime = time.Minute
