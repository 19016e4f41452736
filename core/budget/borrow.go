package budget

import (
	"context"
	"slices"
	"sort"
	"sync"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// borrowState holds the token counts of one organisation that other failure
// domains reported. It limits the number of borrow
// requests: a domain that has reported its remaining tokens cannot have more
// than those plus what its slots have minted since, so no request is sent
// while it could not help.
type borrowState struct {
	lenders      map[ident.DomainID]*lender
	nextProbeAt  Instant // From then on, domains are asked even if they are estimated to have too little.
	failedProbes int     // Consecutive probes that returned no tokens.
}

// lender is the state of borrowing from one other domain.
type lender struct {
	tokensLeft float64 // As last reported.
	reportedAt Instant // When the request for that report was sent.
	retryAt    Instant // Not asked before then, after a request failed.
	failures   int     // Consecutive failed requests.
}

// borrowRequest is a request for a number of tokens to another domain.
type borrowRequest struct {
	domain ident.DomainID
	tokens float64
}

// estimate returns the most tokens that a domain can have: its whole share of
// the burst if it has never been asked, and none while it is not to be
// retried.
func (r *borrowState) estimate(d ident.DomainID, now Instant, limit Limit, domains int) float64 {
	domainBurst := float64(limit.Burst) / float64(domains)
	l, known := r.lenders[d]
	if !known {
		return domainBurst
	}
	if now < l.retryAt {
		return 0
	}
	minted := float64(limit.Rate) / float64(domains) * now.Sub(l.reportedAt).Seconds()
	return l.tokensLeft + min(domainBurst, minted)
}

// planRequests returns the fewest requests that may bring the missing tokens,
// starting with the domain that is estimated to have the most. If all domains
// together seem to have too few, it returns a probe of all of them, at most
// once every probeInterval with backoff, and otherwise nothing.
func (r *borrowState) planRequests(now Instant, others []ident.DomainID, limit Limit, domains int, missing float64) []borrowRequest {
	var requests []borrowRequest
	available := 0.0
	for _, d := range others {
		if tokens := r.estimate(d, now, limit, max(domains, 1)); tokens > 0 {
			requests = append(requests, borrowRequest{d, tokens})
			available += tokens
		}
	}
	if available < missing {
		if now < r.nextProbeAt {
			return nil
		}
		r.nextProbeAt = now.Add(probeInterval << min(r.failedProbes, maxProbeDoublings))
		r.failedProbes++
		for i := range requests {
			requests[i].tokens = missing
		}
		return requests
	}
	sort.Slice(requests, func(i, j int) bool { return requests[i].tokens > requests[j].tokens })
	remaining := missing
	for i := range requests {
		requests[i].tokens = min(requests[i].tokens, remaining)
		remaining -= requests[i].tokens
		if remaining <= 0 {
			return requests[:i+1]
		}
	}
	return requests
}

// recordReply records the tokens that a domain reported to have left.
func (r *borrowState) recordReply(d ident.DomainID, sentAt Instant, tokensLeft float64, received bool) {
	r.lender(d).tokensLeft = tokensLeft
	r.lenders[d].reportedAt = sentAt
	r.lenders[d].failures = 0
	if received {
		r.failedProbes = 0
	}
}

// recordFailure records that a request to a domain failed, and delays the
// next one with exponential backoff.
func (r *borrowState) recordFailure(d ident.DomainID, now Instant) {
	l := r.lender(d)
	l.retryAt = now.Add(probeInterval << min(l.failures, maxProbeDoublings))
	l.failures++
}

// lender returns the state of a domain and creates it if needed.
func (r *borrowState) lender(d ident.DomainID) *lender {
	if r.lenders == nil {
		r.lenders = make(map[ident.DomainID]*lender)
	}
	l, ok := r.lenders[d]
	if !ok {
		l = &lender{}
		r.lenders[d] = l
	}
	return l
}

// borrowFromDomains sends the requests concurrently and adds the received
// tokens to the pool. It reports whether a further attempt may help: some
// tokens arrived, or a request failed, so that the next attempt will ask
// other domains.
func (h *accountOwner) borrowFromDomains(ctx context.Context, s *shard, a *account, org ident.OrganisationID, requests []borrowRequest) bool {
	var wg sync.WaitGroup
	retry := make([]bool, len(requests))
	for i, q := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			retry[i] = h.borrowFromDomain(ctx, s, a, org, q)
		}()
	}
	wg.Wait()
	return slices.Contains(retry, true)
}

// borrowFromDomain sends one request to the instance that owns the
// organisation in another domain. It returns false only if that instance
// replied that it has no tokens to lend.
func (h *accountOwner) borrowFromDomain(ctx context.Context, s *shard, a *account, org ident.OrganisationID, q borrowRequest) bool {
	h.b.metrics.borrowCalls.Inc(1)
	sentAt := h.b.clock.Now()
	reply := &SpareReply{}
	owner, ok := h.b.view().Owner(q.domain, string(org))
	var err error
	if ok {
		req := &SpareRequest{Organisation: string(org), Tokens: q.tokens}
		err = h.b.call(context.WithoutCancel(ctx), tokenRequestTimeout, owner.ID, methodSpare, req, reply)
	}
	intervals := h.b.decodeStock(owner.ID, reply.GetStock(), sentAt.ExpiryTime) // Not used after an error.
	now := h.b.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || !ok {
		a.borrowing.recordFailure(q.domain, now.ExpiryTime)
		return true
	}
	a.pool.Add(intervals...)
	a.borrowing.recordReply(q.domain, sentAt.ExpiryTime, h.tokensLeft(owner.ID, reply), len(intervals) > 0)
	h.b.metrics.borrowed.Inc(int64(totalTokens(intervals)))
	return len(intervals) > 0
}

// maxLoanTokens bounds the tokens that a request for a loan, or its reply, may name.
const maxLoanTokens = 1e18

// tokensLeft returns the tokens that a lender has left: none if it reports an invalid number.
func (h *accountOwner) tokensLeft(lender ident.InstanceID, reply *SpareReply) float64 {
	left := reply.GetLeft()
	if left >= 0 && left <= maxLoanTokens { // NaN is not in the range.
		return left
	}
	err := fault.New(fault.BadRequest, "%v tokens are left", left)
	_ = level.Warn(h.b.log).Log("msg", event.PeerRecordIgnored, "from", string(lender), "record", "tokens left", "err", err)
	return 0
}
