package bench

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"monsoonfork/core/ident"
)

// Arrival is one request of the open-loop load.
type Arrival struct {
	At           time.Duration // Since the start of the round.
	Organisation ident.OrganisationID
	Prompt       []int // Token ids.
	MaxTokens    ident.Tokens
	Caller       uint64 // Chooses the instance, as a balancer does.
	InRate       bool   // Whether one exact bucket over all instances admits it.
}

// cost returns the tokens that the request is charged.
func (a Arrival) cost() float64 { return float64(len(a.Prompt)) + float64(a.MaxTokens) }

// vocabularySize is the number of different prompt tokens.
const vocabularySize = 50_000

// Arrivals returns the load of a round, by time. load is the part of the
// capacity that organisations ask for within their rates. The same seed gives
// the same load.
func (w Workload) Arrivals(seed uint64, load float64, length time.Duration) []Arrival {
	var list []Arrival
	for i, d := range w.Demands {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		rate := w.Capacity() * d.Share * d.Times * load
		for at := exponential(random, rate); at < length; at += exponential(random, rate) {
			list = append(list, w.arrival(random, at, d.Organisation))
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	w.judge(list, load)
	return list
}

// arrival returns one random request.
func (w Workload) arrival(random *rand.Rand, at time.Duration, o ident.OrganisationID) Arrival {
	n := w.Prompt.draw(random)
	prompt := make([]int, 0, n)
	if random.Float64() < w.Repeated {
		document := random.IntN(w.Documents)
		for i := range min(n, w.Beginning) {
			prompt = append(prompt, (document*7919+int(i)*31)%vocabularySize)
		}
	}
	for len(prompt) < int(n) {
		prompt = append(prompt, random.IntN(vocabularySize))
	}
	return Arrival{At: at, Organisation: o, Prompt: prompt, MaxTokens: w.Answer.draw(random), Caller: random.Uint64()}
}

// judge marks what one exact bucket for each organisation admits. The rates
// grow with the load above 1, so that a round above the capacity is one in
// which more is sold than the engines can do.
func (w Workload) judge(list []Arrival, load float64) {
	buckets := make(map[ident.OrganisationID]*bucket)
	for _, d := range w.Demands {
		rate := float64(w.Rate(d)) * max(1, load)
		buckets[d.Organisation] = &bucket{rate: rate, burst: rate * burstSeconds, tokens: rate * burstSeconds}
	}
	for i := range list {
		list[i].InRate = buckets[list[i].Organisation].take(list[i].At, list[i].cost())
	}
}

// bucket is an exact token bucket.
type bucket struct {
	rate, burst, tokens float64
	last                time.Duration
}

// take takes n tokens if they are there.
func (b *bucket) take(at time.Duration, n float64) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.last).Seconds())
	b.last = at
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// exponential returns a random time between two arrivals at a rate.
func exponential(random *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
}

// draw returns a random size.
func (s Sizes) draw(random *rand.Rand) ident.Tokens {
	return s.at(random.NormFloat64())
}

// at returns the size at a number of standard deviations.
func (s Sizes) at(deviations float64) ident.Tokens {
	n := ident.Tokens(float64(s.Median) * math.Exp(s.Spread*deviations))
	return min(max(n, s.Least), s.Most)
}

// mean returns the mean size, from a fixed sample.
func (s Sizes) mean() float64 {
	const n = 20_000
	random := rand.New(rand.NewPCG(1, 1))
	sum := 0.0
	for range n {
		sum += float64(s.draw(random))
	}
	return sum / n
}
