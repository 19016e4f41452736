package share

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"monsoonfork/core/ident"
)

const (
	smallCost     = 200
	meanLargeCost = 7000
	smallFraction = 0.65 // Fraction of requests that are small.
)

// arrival is a request of a mixture of small and large ones.
type arrival struct {
	at   time.Duration // Since the start.
	to   float64       // Position of its instance among all, in [0, 1).
	cost ident.Tokens
}

// mixture returns the requests that arrive within a time. They ask for tokensPerSecond on
// average.
func mixture(seed uint64, tokensPerSecond float64, length time.Duration) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	meanCost := smallFraction*smallCost + (1-smallFraction)*meanLargeCost
	meanGap := meanCost / tokensPerSecond * float64(time.Second)
	var list []arrival
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() * meanGap) {
		cost := ident.Tokens(smallCost)
		if random.Float64() >= smallFraction {
			cost = ident.Tokens(meanLargeCost * (0.5 + random.Float64()))
		}
		list = append(list, arrival{at: at, to: random.Float64(), cost: cost})
	}
	return list
}

// play sends requests to all instances of a fleet.
func (l *load) play(d traffic, list []arrival) {
	start := l.fleet.now
	for i := 0; len(list) > 0 || len(l.waiting) > 0; i++ {
		l.fleet.now = l.fleet.now.Add(loadStep)
		l.returnDue(d)
		for len(list) > 0 && list[0].at <= l.fleet.now.Sub(start) {
			l.send(d, l.ids[int(list[0].to*float64(len(l.ids)))], list[0].cost, true)
			list = list[1:]
		}
		l.report(i)
	}
}

// servedAboveRate returns how many requests a fleet admits of a mixture that asks for three
// times the rate, after ten seconds at half of it.
func servedAboveRate(f *fleet, seed uint64, rate ident.TokensPerSecond) int {
	l := newLoadOn(f, seed)
	d := traffic{rate: rate}
	l.play(d, mixture(seed, 0.5*float64(rate), 10*time.Second))
	before := len(l.admitted)
	l.play(d, mixture(seed, 3*float64(rate), 15*time.Second))
	return len(l.admitted) - before
}

// TestSmallRequestsAreAdmittedAsByOneBucket guards against refusals of small requests of an
// organisation above its rate, as often as of large ones: one bucket for all instances has the
// tokens of a small request soon after it had too few for a large one.
func TestSmallRequestsAreAdmittedAsByOneBucket(t *testing.T) {
	const tolerated = 0.1 // Fraction of the requests that one bucket admits.
	const seeds = 3
	for _, c := range []struct {
		members int // In each of four domains.
		rate    ident.TokensPerSecond
	}{{1, 47_000}, {3, 47_000}, {15, 178_000}} {
		served, want := 0, 0
		for seed := range uint64(seeds) {
			served += servedAboveRate(newFleet(4, c.members), seed, c.rate)
			want += servedAboveRate(newFleet(1, 1), seed, c.rate)
		}
		if float64(served) < (1-tolerated)*float64(want) {
			t.Errorf("%d instances, %v tokens a second: %d requests admitted, %d by one bucket", 4*c.members, c.rate, served, want)
		}
	}
}

// TestFairLimitDividesTheProportion guards against an instance that admits more or less than its
// proportion of the tokens that it is asked for.
func TestFairLimitDividesTheProportion(t *testing.T) {
	h := &costHistory{}
	for _, cost := range []ident.Tokens{9000, 200, 200, 4000, 200, 400} {
		h.add(cost)
	}
	for _, proportion := range []float64{0.01, 0.1, 0.3, 0.7, 0.99} {
		limit := h.fairLimit(proportion)
		got := 3*min(200, limit) + min(400, limit) + min(4000, limit) + min(9000, limit)
		if want := 14_000 * proportion; math.Abs(got-want) > 1e-6*want {
			t.Errorf("proportion %v: limit %v gives %v tokens, want %v", proportion, limit, got, want)
		}
	}
	for range 2 * recentCosts {
		h.add(300)
	}
	if got := h.fairLimit(0.5); math.Abs(got-150) > 1e-6 {
		t.Errorf("limit %v of equal costs, want 150", got)
	}
}
