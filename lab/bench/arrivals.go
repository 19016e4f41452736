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
	Offset       time.Duration // Scheduled send time since the start of the round.
	Organisation ident.OrganisationID
	PromptTokens []int // Token ids.
	MaxTokens    ident.Tokens
	BalancerKey  uint64 // Random number that selects the instance, as a load balancer would.
	WithinRate   bool   // Whether one exact token bucket for all instances together admits it.
}

// cost returns the tokens that the request is charged: the prompt and the maximum
// completion.
func (a Arrival) cost() float64 { return float64(len(a.PromptTokens)) + float64(a.MaxTokens) }

// vocabularySize is the number of different prompt tokens.
const vocabularySize = 50_000

// Arrivals returns the requests of a round, ordered by time. Each organisation's
// requests are a Poisson process. load is the demand within the organisations'
// rates, divided by the capacity. The same seed gives the same requests.
func (w Workload) Arrivals(seed uint64, load float64, length time.Duration) []Arrival {
	var list []Arrival
	for i, d := range w.Demands {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		rate := w.Capacity() * d.Share * d.RateMultiple * load
		for offset := randomInterval(random, rate); offset < length; offset += randomInterval(random, rate) {
			list = append(list, w.randomArrival(random, offset, d.Organisation))
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Offset < list[j].Offset })
	w.markWithinRate(list, load)
	return list
}

// randomArrival returns a request with a random prompt, which may begin with one of
// the shared prefixes.
func (w Workload) randomArrival(random *rand.Rand, offset time.Duration, organisation ident.OrganisationID) Arrival {
	n := w.PromptLength.sample(random)
	prompt := make([]int, 0, n)
	if random.Float64() < w.SharedPrefixRatio {
		prefix := random.IntN(w.SharedPrefixes)
		for i := range min(n, w.SharedPrefixLength) {
			prompt = append(prompt, (prefix*7919+int(i)*31)%vocabularySize)
		}
	}
	for len(prompt) < int(n) {
		prompt = append(prompt, random.IntN(vocabularySize))
	}
	return Arrival{Offset: offset, Organisation: organisation, PromptTokens: prompt, MaxTokens: w.CompletionLength.sample(random), BalancerKey: random.Uint64()}
}

// markWithinRate sets WithinRate on the requests that one exact token bucket per
// organisation admits. For a load above 1 the rates scale with the load, so that a
// round above the capacity models organisations whose rates add up to more than the
// engines can serve.
func (w Workload) markWithinRate(list []Arrival, load float64) {
	buckets := make(map[ident.OrganisationID]*tokenBucket)
	for _, d := range w.Demands {
		rate := float64(w.Rate(d)) * max(1, load)
		buckets[d.Organisation] = &tokenBucket{rate: rate, burst: rate * burstSeconds, tokens: rate * burstSeconds}
	}
	for i := range list {
		list[i].WithinRate = buckets[list[i].Organisation].tryTake(list[i].Offset, list[i].cost())
	}
}

// tokenBucket is a token bucket on the time line of the round.
type tokenBucket struct {
	rate, burst, tokens float64
	lastRefill          time.Duration
}

// tryTake removes n tokens and returns true if the bucket holds as many at now.
func (b *tokenBucket) tryTake(now time.Duration, n float64) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.lastRefill).Seconds())
	b.lastRefill = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// randomInterval returns the exponentially distributed time between two arrivals of
// a Poisson process.
func randomInterval(random *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
}

// sample returns a random number of tokens.
func (s TokenDistribution) sample(random *rand.Rand) ident.Tokens {
	return s.atDeviations(random.NormFloat64())
}

// atDeviations returns the number of tokens at that many standard deviations from
// the median of the logarithm, limited to Min and Max.
func (s TokenDistribution) atDeviations(deviations float64) ident.Tokens {
	n := ident.Tokens(float64(s.Median) * math.Exp(s.LogStdDev*deviations))
	return min(max(n, s.Min), s.Max)
}

// mean returns the mean number of tokens, estimated from a sample with a fixed seed.
func (s TokenDistribution) mean() float64 {
	const n = 20_000
	random := rand.New(rand.NewPCG(1, 1))
	sum := 0.0
	for range n {
		sum += float64(s.sample(random))
	}
	return sum / n
}
