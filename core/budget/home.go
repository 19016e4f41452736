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

// Sizes and times of a home.
const (
	shardCount      = 16
	maxRounds       = 4                      // Rounds of refilling for one request.
	sweepEvery      = 5 * time.Millisecond   // Between sweeps of the domain's slots for one organisation.
	probeEvery      = 500 * time.Millisecond // Between probes of other domains that seem empty.
	maxProbeDoubles = 2                      // A probe that finds nothing doubles the time to the next, this often.
	borrowAhead     = 25 * time.Millisecond  // Of minting is borrowed beyond what lacks: the oldest tokens expire on the way.
	minRetryAfter   = 50 * time.Millisecond
)

// account is one organisation at its home.
type account struct {
	pool    Pool
	demand  float64       // Tokens that waiting requests want.
	round   chan struct{} // Closed when the refill under way ends; nil when none is.
	sweptAt Instant       // When the domain's slots were last asked.
	swept   bool
	borrow  borrowing
	meter   meter
}

// shard holds the accounts of some organisations.
type shard struct {
	mu           sync.Mutex
	accounts     map[ident.OrganisationID]*account
	reservations *reservations
}

// home admits for the organisations that this instance owns in its domain.
type home struct {
	b      *Budget
	seed   maphash.Seed
	shards [shardCount]shard
}

// newHome returns an empty home.
func newHome(b *Budget) *home {
	h := &home{b: b, seed: maphash.MakeSeed()}
	for i := range h.shards {
		h.shards[i].accounts = make(map[ident.OrganisationID]*account)
		h.shards[i].reservations = newReservations(uint64(rand.Uint32())<<16 + 1)
	}
	return h
}

// shard returns the shard of an organisation.
func (h *home) shard(org ident.OrganisationID) *shard {
	return &h.shards[maphash.String(h.seed, string(org))%shardCount]
}

// account returns the account of an organisation. The shard is locked.
func (s *shard) account(org ident.OrganisationID) *account {
	a, ok := s.accounts[org]
	if !ok {
		a = &account{}
		s.accounts[org] = a
	}
	return a
}

// admit charges cost and opens a reservation. What the pool
// lacks is fetched from the domain's slots first and then from other domains.
func (h *home) admit(ctx context.Context, org ident.OrganisationID, limit Limit, cost ident.Tokens) (charge, error) {
	s := h.shard(org)
	for range maxRounds {
		if c, ok := h.charge(s, org, limit, cost); ok {
			return c, nil
		}
		more, err := h.refill(ctx, s, org, limit, float64(cost))
		if err != nil {
			return charge{}, err
		}
		if !more {
			break
		}
	}
	if c, ok := h.charge(s, org, limit, cost); ok {
		return c, nil
	}
	return charge{}, h.refusal(s, org, limit, cost)
}

// charge takes cost out of the pool if it suffices.
func (h *home) charge(s *shard, org ident.OrganisationID, limit Limit, cost ident.Tokens) (charge, bool) {
	now := h.b.clock.Now()
	s.mu.Lock()
	a := s.account(org)
	h.b.metrics.expired.Inc(int64(a.pool.Expire(now.Age, limit.window())))
	minted, ok := a.pool.Charge(now.Age, limit.window(), float64(cost))
	if !ok {
		s.mu.Unlock()
		return charge{}, false
	}
	res := reservation{org: org, charged: cost, at: now.Age, minted: minted}
	id := s.reservations.add(res)
	within := a.meter.admitted(now.Age, limit, cost)
	s.mu.Unlock()
	invariant.Check(h.b.log, "Budget.HomeWithinLimit", within, "organisation", string(org), "cost", int64(cost))
	h.b.admissions.admitted(now, org, id, cost)
	return charge{id: id, refundFor: res.refundFor(now.Age, limit.window())}, true
}

// refusal returns the error for a request that the organisation's tokens do
// not cover, with the time at which they may.
func (h *home) refusal(s *shard, org ident.OrganisationID, limit Limit, cost ident.Tokens) error {
	now := h.b.clock.Now()
	s.mu.Lock()
	lack := float64(cost) - s.account(org).pool.Amount()
	s.mu.Unlock()
	wait := max(minRetryAfter, timeFor(max(lack, 0), limit.Rate))
	return fault.New(fault.RateExceeded, "organisation %s is above its rate", org).WithRetryAfter(now.Wall.Add(wait))
}

// refill fetches tokens, or waits for a refill under way. It reports whether
// another try to charge is worthwhile.
func (h *home) refill(ctx context.Context, s *shard, org ident.OrganisationID, limit Limit, cost float64) (bool, error) {
	s.mu.Lock()
	a := s.account(org)
	a.demand += cost
	defer func() {
		s.mu.Lock()
		a.demand -= cost
		s.mu.Unlock()
	}()
	if round := a.round; round != nil {
		s.mu.Unlock()
		select {
		case <-round:
			return true, nil
		case <-ctx.Done():
			return false, fault.From(ctx.Err())
		}
	}
	round := make(chan struct{})
	a.round = round
	s.mu.Unlock()
	more := h.fetch(ctx, s, a, org, limit)
	s.mu.Lock()
	a.round = nil
	s.mu.Unlock()
	close(round)
	return more, nil
}

// fetch sweeps the domain's slots, then asks other domains for what still
// lacks. It reports whether any tokens came.
func (h *home) fetch(ctx context.Context, s *shard, a *account, org ident.OrganisationID, limit Limit) bool {
	domains, _ := h.b.layout()
	others := h.b.otherDomains()
	now := h.b.clock.Now()
	s.mu.Lock()
	hopeless := a.hopeless(now.Age, others, limit, domains)
	s.mu.Unlock()
	if hopeless {
		return false
	}
	swept := h.sweep(ctx, s, a, org)
	now = h.b.clock.Now()
	s.mu.Lock()
	a.pool.Expire(now.Age, limit.window())
	lack := a.demand - a.pool.Amount()
	var asks []ask
	if lack > 0 {
		asks = a.borrow.plan(now.Age, others, limit, domains, lack+limit.mintedIn(borrowAhead))
	}
	s.mu.Unlock()
	if lack <= 0 || len(asks) == 0 {
		return swept
	}
	return h.borrowAll(ctx, s, a, org, asks) || swept
}

// hopeless reports whether all that this domain's slots can have minted since
// the last sweep and all that other domains can have left do not cover the
// demand, so that no message need be sent. The shard is locked.
func (a *account) hopeless(now Instant, others []ident.DomainID, limit Limit, domains int) bool {
	if !a.swept || domains == 0 || now >= a.borrow.probeAt {
		return false
	}
	reach := float64(limit.Rate) / float64(domains) * now.Sub(a.sweptAt).Seconds()
	for _, d := range others {
		reach += a.borrow.estimate(d, now, limit, domains)
	}
	return a.demand > a.pool.Amount()+reach
}

// sweep moves to the pool what the slots of this domain have minted. It
// reports whether any came.
func (h *home) sweep(ctx context.Context, s *shard, a *account, org ident.OrganisationID) bool {
	now := h.b.clock.Now()
	s.mu.Lock()
	due := !a.swept || now.Age >= a.sweptAt.Add(sweepEvery)
	if due {
		a.swept = true
		a.sweptAt = now.Age
	}
	s.mu.Unlock()
	if !due {
		return false
	}
	return h.b.takers.takeAll(ctx, org)
}

// add puts tokens that arrived into the pool of an organisation.
func (h *home) add(org ident.OrganisationID, intervals []Interval) {
	s := h.shard(org)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(org).pool.Add(intervals...)
}

// settle closes a reservation and gives its unused tokens back, once.
func (h *home) settle(org ident.OrganisationID, id uint64, used ident.Tokens) {
	now := h.b.clock.Now()
	s := h.shard(org)
	s.mu.Lock()
	res, unused, ok := s.reservations.settle(id, used)
	if ok {
		a := s.account(res.org)
		a.pool.Add(unused...)
		a.meter.refunded(float64(res.charged - used))
	}
	s.mu.Unlock()
	if !ok {
		h.b.metrics.lateSettles.Inc(1)
		return
	}
	h.b.admissions.settled(now, org, id, res.charged, used)
}

// spare gives up to want tokens to a home in another domain, and returns what
// is left. Requests that wait here come first.
func (h *home) spare(ctx context.Context, org ident.OrganisationID, limit Limit, want float64) (given []Interval, left float64) {
	s := h.shard(org)
	s.mu.Lock()
	a := s.account(org)
	s.mu.Unlock()
	h.sweep(ctx, s, a, org)
	now := h.b.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	a.pool.Expire(now.Age, limit.window())
	free := max(0, a.pool.Amount()-a.demand)
	given = a.pool.Take(min(want, free))
	return given, max(0, a.pool.Amount()-a.demand)
}

// empty takes all tokens of an organisation out of the pool.
func (h *home) empty(org ident.OrganisationID, limit Limit) []Interval {
	now := h.b.clock.Now()
	s := h.shard(org)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[org]
	if !ok {
		return nil
	}
	a.pool.Expire(now.Age, limit.window())
	return a.pool.Take(a.pool.Amount())
}

// stocked returns the organisations that have tokens here.
func (h *home) stocked() []ident.OrganisationID {
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

// tidy drops what has expired: tokens, reservations and unused accounts.
func (h *home) tidy(now Instant) {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for org, a := range s.accounts {
			limit, ok := h.b.limits(org)
			if ok {
				a.pool.Expire(now, limit.window())
			} else {
				a.pool = Pool{}
			}
			if len(a.pool.segments) == 0 && a.round == nil && a.demand == 0 && now >= a.sweptAt.Add(accountIdle) {
				delete(s.accounts, org)
			}
		}
		s.reservations.dropExpired(now, h.b.windowOf)
		s.mu.Unlock()
	}
}

// accountIdle is how long an empty account stays after it was last refilled.
const accountIdle = time.Minute
