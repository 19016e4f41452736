package budget

import (
	"context"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Times of requests that wait for tokens at their home.
const (
	admitWait   = 200 * time.Millisecond // Longest wait.
	replyMargin = 50 * time.Millisecond  // Left of the caller's deadline for the answer.
	waitStep    = 10 * time.Millisecond  // Shortest time between two tries.
)

// admit charges cost and opens a reservation. A request that the tokens here
// do not cover waits a little for more, behind the organisation's others. It is
// refused at once if not even the whole rate could cover it in time, so that a
// loud organisation's requests do not gather.
func (h *home) admit(ctx context.Context, org ident.OrganisationID, limit Limit, cost ident.Tokens) (charge, error) {
	if !h.queued(org) {
		c, err := h.try(ctx, org, limit, cost)
		if !fault.Is(err, fault.RateExceeded) {
			return c, err
		}
	}
	wait := waitFor(ctx)
	leave, ok := h.enter(org, limit, cost, wait)
	if !ok {
		return charge{}, h.refusal(h.shard(org), org, limit, cost)
	}
	defer leave()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	c, err := h.tryUntil(ctx, org, limit, cost)
	if fault.Is(err, fault.DeadlineExceeded) {
		return charge{}, h.refusal(h.shard(org), org, limit, cost)
	}
	return c, err
}

// waitFor returns how long a request with this context may wait.
func waitFor(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return admitWait
	}
	return max(0, min(admitWait, time.Until(deadline)-replyMargin))
}

// queued reports whether requests of the organisation wait.
func (h *home) queued(org ident.OrganisationID) bool {
	s := h.shard(org)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[org]
	return ok && a.waiting > 0
}

// enter adds a request to those that wait, unless the organisation's rate
// cannot cover all of them in time.
func (h *home) enter(org ident.OrganisationID, limit Limit, cost ident.Tokens, wait time.Duration) (leave func(), ok bool) {
	s := h.shard(org)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(org)
	lack := a.waiting + float64(cost) - a.pool.Amount()
	if wait == 0 || lack > limit.mintedIn(wait) {
		return nil, false
	}
	a.waiting += float64(cost)
	h.b.metrics.waited.Inc(1)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		a.waiting -= float64(cost)
	}, true
}

// tryUntil waits for its turn among the organisation's requests, which come in
// the order of their arrival, and tries until ctx ends.
func (h *home) tryUntil(ctx context.Context, org ident.OrganisationID, limit Limit, cost ident.Tokens) (charge, error) {
	s := h.shard(org)
	s.mu.Lock()
	turn := s.account(org).turn
	s.mu.Unlock()
	select {
	case turn <- struct{}{}:
		defer func() { <-turn }()
	case <-ctx.Done():
		return charge{}, fault.From(ctx.Err())
	}
	for {
		c, err := h.try(ctx, org, limit, cost)
		if !fault.Is(err, fault.RateExceeded) {
			return c, err
		}
		select {
		case <-time.After(waitStep):
		case <-ctx.Done():
			return charge{}, fault.From(ctx.Err())
		}
	}
}
