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

// referenceBucket is a single token bucket that represents all instances. Its
// tokens have minting times like those of a Pool, so that refunded tokens
// keep their age.
type referenceBucket struct {
	limit Limit

	mu          sync.Mutex
	pool        Pool
	mintedUntil Instant // Up to when tokens have been minted into the pool.
}

// fill mints tokens up to now. r is locked.
func (r *referenceBucket) fill(now Instant) {
	from := max(r.mintedUntil, now.Add(-r.limit.expiryWindow()))
	r.pool.Add(Interval{Start: from, End: now, Rate: r.limit.Rate})
	r.mintedUntil = now
	r.pool.Expire(now, r.limit.expiryWindow())
}

// covers reports whether the bucket has at least cost tokens.
func (r *referenceBucket) covers(now Instant, cost float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fill(now)
	return r.pool.Amount() >= cost
}

// charge withdraws cost tokens, or all if there are fewer.
func (r *referenceBucket) charge(now Instant, cost float64) []Interval {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fill(now)
	return r.pool.Withdraw(cost)
}

// refund returns the youngest part of the charged tokens, all beyond used.
func (r *referenceBucket) refund(minted []Interval, used float64) {
	_, unused := splitOldest(minted, used)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool.Add(unused...)
}

// load is open-loop traffic of one organisation through random instances.
type load struct {
	c            *cluster
	org          ident.OrganisationID
	rateMultiple float64 // Tokens requested, as a multiple of the rate.
	meanCost     float64
	usesAll      bool            // Whether requests use all tokens that they are charged.
	reference    referenceBucket // Charged with what the cluster admits; shows whether a refusal was wrongful.
	independent  referenceBucket // Decides on the same requests on its own, for comparison.

	mu         sync.Mutex
	tally      tally
	byDomain   map[ident.DomainID]tally
	maxLatency time.Duration
}

// tally counts the results of requests.
type tally struct {
	requests, admitted, refused, wrongful, failed int
	tokensCharged                                 float64
	tokensUsed                                    float64
	independentAdmitted                           int // Requests admitted by load.independent.
	independentUsed                               float64
}

// newLoad returns a load that is not running yet.
func newLoad(c *cluster, org ident.OrganisationID, rateMultiple, meanCost float64) *load {
	return &load{
		c: c, org: org, rateMultiple: rateMultiple, meanCost: meanCost,
		reference:   referenceBucket{limit: c.orgs[org]},
		independent: referenceBucket{limit: c.orgs[org]},
		byDomain:    make(map[ident.DomainID]tally),
	}
}

// run sends requests with exponentially distributed gaps until end.
func (l *load) run(seed uint64, end time.Time) {
	defer l.c.wg.Done()
	r := rand.New(rand.NewPCG(seed, 5))
	perSecond := l.rateMultiple * float64(l.c.orgs[l.org].Rate) / l.meanCost
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
		duration := time.Duration(r.Int64N(int64(4 * time.Second)))
		nodes := l.c.liveNodes()
		n := nodes[r.IntN(len(nodes))]
		if n.isPaused() {
			continue
		}
		l.c.wg.Add(1)
		go l.request(n, cost, used, duration)
	}
}

// request sends one request through a node.
func (l *load) request(n *node, cost, used float64, duration time.Duration) {
	defer l.c.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	begin := time.Now()
	l.c.wg.Add(1)
	go l.requestIndependent(cost, used, duration)
	affordable := l.reference.covers(l.referenceTime(), cost)
	grant, err := n.b.Admit(ctx, l.org, ident.Tokens(cost))
	l.count(n.member.Domain, time.Since(begin), cost, used, affordable, err)
	if err != nil {
		return
	}
	minted := l.reference.charge(l.referenceTime(), cost)
	time.Sleep(duration)
	n.waitWhilePaused()
	grant.Settle(ident.Tokens(used))
	l.reference.refund(minted, used)
}

// requestIndependent charges the same request to the independent bucket.
func (l *load) requestIndependent(cost, used float64, duration time.Duration) {
	defer l.c.wg.Done()
	if !l.independent.covers(l.referenceTime(), cost) {
		return
	}
	minted := l.independent.charge(l.referenceTime(), cost)
	l.mu.Lock()
	l.tally.independentAdmitted++
	l.tally.independentUsed += used
	l.mu.Unlock()
	time.Sleep(duration)
	l.independent.refund(minted, used)
}

// referenceTime returns the time on the clock of the buckets. It starts at
// one hour, so that they begin full.
func (l *load) referenceTime() Instant { return Instant(time.Since(l.c.startedAt) + time.Hour) }

// count records the result of a request.
func (l *load) count(d ident.DomainID, latency time.Duration, cost, used float64, affordable bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.byDomain[d]
	for _, t := range []*tally{&l.tally, &t} {
		t.requests++
		switch {
		case err == nil:
			t.admitted++
			t.tokensCharged += cost
			t.tokensUsed += used
		case !fault.Is(err, fault.RateExceeded):
			t.failed++
		default:
			t.refused++
			if affordable {
				t.wrongful++
			}
		}
	}
	l.byDomain[d] = t
	l.maxLatency = max(l.maxLatency, latency)
}

// checkAudit fails the test if an organisation exceeded its limit in any
// window.
func (c *cluster) checkAudit() {
	c.t.Helper()
	limits := make(map[ident.OrganisationID]audit.Limit)
	for org, l := range c.orgs {
		limits[org] = audit.Limit{Rate: l.Rate, Burst: l.Burst}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, res := range c.admissionLog.CheckLimits(limits) {
		c.t.Logf("audit: %s: %d admissions, %d tokens used, worst window %.1f tokens above the limit",
			res.Organisation, res.Admissions, res.Used, res.Excess)
		if res.Excess > tolerance {
			c.t.Errorf("organisation %s exceeded its limit by %.1f tokens in a window", res.Organisation, res.Excess)
		}
	}
}
