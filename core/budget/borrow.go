package budget

import (
	"context"
	"slices"
	"sort"
	"sync"

	"monsoonfork/core/ident"
)

// borrowing is what a home knows of the stock of other domains for one
// organisation. It bounds the messages: a domain that has told what it has left
// cannot have more than that and what its slots minted since, so that it is not
// asked while this cannot help.
type borrowing struct {
	domains map[ident.DomainID]*lender
	probeAt Instant // From then on domains are asked even if they seem empty.
	misses  int     // Probes in a row that found nothing.
}

// lender is one other domain.
type lender struct {
	left   float64
	asOf   Instant
	holdTo Instant // Not asked before: it did not answer.
	fails  int
}

// ask is one question to another domain.
type ask struct {
	domain ident.DomainID
	tokens float64
}

// estimate returns the most that a domain can be expected to have: all of its
// part when it was never asked.
func (r *borrowing) estimate(d ident.DomainID, now Instant, limit Limit, domains int) float64 {
	part := float64(limit.Burst) / float64(domains)
	l, known := r.domains[d]
	if !known {
		return part
	}
	if now < l.holdTo {
		return 0
	}
	minted := float64(limit.Rate) / float64(domains) * now.Sub(l.asOf).Seconds()
	return l.left + min(part, minted)
}

// plan returns the questions that may bring lack tokens, the fewest, the
// richest domain first. It is empty while asking cannot help.
func (r *borrowing) plan(now Instant, others []ident.DomainID, limit Limit, domains int, lack float64) []ask {
	var asks []ask
	sum := 0.0
	for _, d := range others {
		if tokens := r.estimate(d, now, limit, max(domains, 1)); tokens > 0 {
			asks = append(asks, ask{d, tokens})
			sum += tokens
		}
	}
	if sum < lack {
		if now < r.probeAt {
			return nil
		}
		r.probeAt = now.Add(probeEvery << min(r.misses, maxProbeDoubles))
		r.misses++
		for i := range asks {
			asks[i].tokens = lack
		}
		return asks
	}
	sort.Slice(asks, func(i, j int) bool { return asks[i].tokens > asks[j].tokens })
	left := lack
	for i := range asks {
		asks[i].tokens = min(asks[i].tokens, left)
		left -= asks[i].tokens
		if left <= 0 {
			return asks[:i+1]
		}
	}
	return asks
}

// answered records what a domain has left.
func (r *borrowing) answered(d ident.DomainID, asked Instant, left float64, got bool) {
	r.lender(d).left = left
	r.domains[d].asOf = asked
	r.domains[d].fails = 0
	if got {
		r.misses = 0
	}
}

// failed records that a domain did not answer.
func (r *borrowing) failed(d ident.DomainID, now Instant) {
	l := r.lender(d)
	l.holdTo = now.Add(probeEvery << min(l.fails, maxProbeDoubles))
	l.fails++
}

// lender returns the record of a domain.
func (r *borrowing) lender(d ident.DomainID) *lender {
	if r.domains == nil {
		r.domains = make(map[ident.DomainID]*lender)
	}
	l, ok := r.domains[d]
	if !ok {
		l = &lender{}
		r.domains[d] = l
	}
	return l
}

// borrowAll asks several domains at once and adds what they give to the pool.
// It reports whether asking again may help: some gave, or some did not answer,
// so that others will be asked instead.
func (h *home) borrowAll(ctx context.Context, s *shard, a *account, org ident.OrganisationID, asks []ask) bool {
	var wg sync.WaitGroup
	again := make([]bool, len(asks))
	for i, q := range asks {
		wg.Add(1)
		go func() {
			defer wg.Done()
			again[i] = h.borrowFrom(ctx, s, a, org, q)
		}()
	}
	wg.Wait()
	return slices.Contains(again, true)
}

// borrowFrom asks one domain's home of the organisation. It is false when that
// home answered that it has nothing.
func (h *home) borrowFrom(ctx context.Context, s *shard, a *account, org ident.OrganisationID, q ask) bool {
	h.b.metrics.spareCalls.Inc(1)
	asked := h.b.clock.Now()
	reply := &SpareReply{}
	owner, ok := h.b.view().Owner(q.domain, string(org))
	var intervals []Interval
	var err error
	if ok {
		req := &SpareRequest{Organisation: string(org), Tokens: q.tokens}
		err = h.b.call(context.WithoutCancel(ctx), fetchTimeout, owner.ID, methodSpare, req, reply)
	}
	if err == nil {
		intervals, err = intervalsFrom(reply.GetStock(), asked.Age)
	}
	now := h.b.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || !ok {
		a.borrow.failed(q.domain, now.Age)
		return true
	}
	a.pool.Add(intervals...)
	a.borrow.answered(q.domain, asked.Age, reply.GetLeft(), len(intervals) > 0)
	h.b.metrics.borrowed.Inc(int64(total(intervals)))
	return len(intervals) > 0
}
