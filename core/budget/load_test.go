package budget

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"monsoonfork/core/budget/audit"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// reference is one exact bucket over all instances. It is charged with what the
// cluster admits, so that it tells at any time whether a refusal was wrongful.
// Minted time counts in it as everywhere: a refund keeps its age.
type reference struct {
	limit Limit

	mu     sync.Mutex
	pool   Pool
	minted Instant // Up to when the pool was filled.
}

// fill mints up to now. The mutex is held.
func (r *reference) fill(now Instant) {
	from := max(r.minted, now.Add(-r.limit.window()))
	r.pool.Add(Interval{Start: from, End: now, Rate: r.limit.Rate})
	r.minted = now
	r.pool.Expire(now, r.limit.window())
}

// covers reports whether the bucket has cost.
func (r *reference) covers(now Instant, cost float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fill(now)
	return r.pool.Amount() >= cost
}

// charge takes cost out of the bucket, or all it has.
func (r *reference) charge(now Instant, cost float64) []Interval {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fill(now)
	return r.pool.Take(cost)
}

// refund gives back the youngest part of what was charged.
func (r *reference) refund(minted []Interval, used float64) {
	_, unused := cut(minted, used)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool.Add(unused...)
}

// load is open-loop traffic of one organisation over all instances.
type load struct {
	c        *cluster
	org      ident.OrganisationID
	factor   float64 // Tokens asked for, as a multiple of the rate.
	meanCost float64
	usesAll  bool      // Whether requests use all that they are charged.
	ref      reference // Charged with what the cluster admits.
	exact    reference // Charged with what it would admit itself.

	mu       sync.Mutex
	tally    tally
	byDomain map[ident.DomainID]tally
	slowest  time.Duration
}

// tally counts the outcomes of requests.
type tally struct {
	requests, admitted, refused, wrongful, failed int
	tokens                                        float64 // Charged.
	used                                          float64
	exactAdmitted                                 int // By one exact bucket fed with the same requests.
	exactUsed                                     float64
}

// newLoad returns traffic that has not begun.
func newLoad(c *cluster, org ident.OrganisationID, factor, meanCost float64) *load {
	return &load{
		c: c, org: org, factor: factor, meanCost: meanCost,
		ref:      reference{limit: c.orgs[org]},
		exact:    reference{limit: c.orgs[org]},
		byDomain: make(map[ident.DomainID]tally),
	}
}

// run sends requests with exponential gaps until end.
func (l *load) run(seed uint64, end time.Time) {
	defer l.c.wg.Done()
	r := rand.New(rand.NewPCG(seed, 5))
	perSecond := l.factor * float64(l.c.orgs[l.org].Rate) / l.meanCost
	for {
		gap := time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		time.Sleep(gap)
		if !time.Now().Before(end) {
			return
		}
		cost := max(1, math.Ceil(l.meanCost*(0.25+1.5*r.Float64())))
		used := math.Floor(cost * (0.3 + 0.7*r.Float64()))
		if l.usesAll {
			used = cost
		}
		length := time.Duration(r.Int64N(int64(4 * time.Second)))
		nodes := l.c.all()
		n := nodes[r.IntN(len(nodes))]
		if n.isPaused() {
			continue
		}
		l.c.wg.Add(1)
		go l.request(n, cost, used, length)
	}
}

// request sends one request through a node.
func (l *load) request(n *node, cost, used float64, length time.Duration) {
	defer l.c.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	begin := time.Now()
	l.c.wg.Add(1)
	go l.requestExact(cost, used, length)
	covered := l.ref.covers(l.instant(), cost)
	grant, err := n.b.Admit(ctx, l.org, ident.Tokens(cost))
	l.count(n.member.Domain, time.Since(begin), cost, used, covered, err)
	if err != nil {
		return
	}
	minted := l.ref.charge(l.instant(), cost)
	time.Sleep(length)
	n.wait()
	grant.Settle(ident.Tokens(used))
	l.ref.refund(minted, used)
}

// requestExact puts the same request to the exact bucket.
func (l *load) requestExact(cost, used float64, length time.Duration) {
	defer l.c.wg.Done()
	if !l.exact.covers(l.instant(), cost) {
		return
	}
	minted := l.exact.charge(l.instant(), cost)
	l.mu.Lock()
	l.tally.exactAdmitted++
	l.tally.exactUsed += used
	l.mu.Unlock()
	time.Sleep(length)
	l.exact.refund(minted, used)
}

// instant returns the time of the reference.
func (l *load) instant() Instant { return Instant(time.Since(l.c.start) + time.Hour) }

// count records an outcome.
func (l *load) count(d ident.DomainID, took time.Duration, cost, used float64, covered bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.byDomain[d]
	for _, t := range []*tally{&l.tally, &t} {
		t.requests++
		switch {
		case err == nil:
			t.admitted++
			t.tokens += cost
			t.used += used
		case !fault.Is(err, fault.RateExceeded):
			t.failed++
		default:
			t.refused++
			if covered {
				t.wrongful++
			}
		}
	}
	l.byDomain[d] = t
	l.slowest = max(l.slowest, took)
}

// checkAudit fails the test if any window of any organisation is above its
// limit.
func (c *cluster) checkAudit() {
	c.t.Helper()
	limits := make(map[ident.OrganisationID]audit.Limit)
	for org, l := range c.orgs {
		limits[org] = audit.Limit{Rate: l.Rate, Burst: l.Burst}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, res := range c.log.Check(limits) {
		c.t.Logf("audit: %s: %d admissions, %d tokens used, worst window %.1f tokens above the limit",
			res.Organisation, res.Admissions, res.Used, res.Excess)
		if res.Excess > tolerance {
			c.t.Errorf("organisation %s is %.1f tokens above its limit in a window", res.Organisation, res.Excess)
		}
	}
}
