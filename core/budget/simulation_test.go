package budget

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"monsoonfork/core/ident"
)

// tolerance, in tokens, allows for rounding errors in sums of floating-point
// amounts.
const tolerance = 0.01

// admissionRecord is one admission with the tokens that it finally used.
type admissionRecord struct {
	at   time.Duration // Simulated time.
	used float64
}

// simulation models slots and pools without a network: each pool has a clock
// with its own offset, and messages may be late or lost.
type simulation struct {
	rng            *rand.Rand
	limit          Limit
	poolWindow     time.Duration // Age at which pools drop tokens; Limit.expiryWindow unless a test changes it.
	now            time.Duration
	slots          []*Slot
	pools          []*Pool
	reservations   []*reservations
	clockOffsets   []Instant
	messages       []func(lost bool) // Messages in transit; calling one delivers or loses it.
	admissions     []admissionRecord
	admissionIndex map[string]int // Index in admissions, by pool and reservation.
	tokensIssued   float64        // Tokens handed out by slots.
	tokensInFlight float64        // Tokens in messages.
	tokensDropped  float64        // Tokens lost in transit or expired.
	callersActive  bool           // Whether requests arrive; otherwise time passes.

	repeatRefunds bool // Injected fault: a settled reservation stays open.
}

// newSimulation returns a simulation in which every slot has minted for a
// whole window.
func newSimulation(seed uint64, limit Limit, slots, pools int) *simulation {
	w := &simulation{
		rng:            rand.New(rand.NewPCG(seed, 1)),
		limit:          limit,
		poolWindow:     limit.expiryWindow(),
		now:            limit.expiryWindow(),
		admissionIndex: make(map[string]int),
	}
	for range slots {
		w.slots = append(w.slots, NewSlot(0))
	}
	for range pools {
		w.pools = append(w.pools, &Pool{})
		w.reservations = append(w.reservations, newReservations(1))
		w.clockOffsets = append(w.clockOffsets, Instant(w.rng.Int64N(int64(time.Hour))))
	}
	return w
}

// clock returns the time on the clock of a pool.
func (w *simulation) clock(pool int) Instant { return Instant(w.now) + w.clockOffsets[pool] }

// randomStep takes one random action. Idle periods, in which tokens
// accumulate, alternate with busy ones, in which requests spend them quickly.
func (w *simulation) randomStep() {
	pool := w.rng.IntN(len(w.pools))
	if w.rng.IntN(40) == 0 {
		w.callersActive = !w.callersActive
	}
	switch w.rng.IntN(6) {
	case 0:
		if !w.callersActive || w.rng.IntN(10) == 0 {
			w.now += time.Duration(w.rng.Int64N(int64(w.limit.expiryWindow() / 4)))
		}
	case 1:
		w.collect(pool, w.rng.IntN(len(w.slots)))
	case 2:
		w.transfer(pool, w.rng.IntN(len(w.pools)))
	case 3:
		if w.callersActive {
			w.admit(pool)
		}
	case 4:
		w.settle(pool)
	case 5:
		w.deliver()
	}
}

// collect sends tokens from a slot to a pool.
func (w *simulation) collect(pool, slot int) {
	sentAt := w.clock(pool)
	w.now += time.Duration(w.rng.Int64N(int64(10 * time.Millisecond)))
	rate := w.limit.slotRate(len(w.slots))
	ages := w.slots[slot].Collect(Instant(w.now), "org", rate, w.limit.expiryWindow())
	w.tokensIssued += ages.interval(0).tokens()
	w.send(pool, ages.interval(sentAt))
}

// transfer sends tokens from one pool to another.
func (w *simulation) transfer(from, to int) {
	now := w.clock(from)
	sentAt := w.clock(to)
	w.tokensDropped += w.pools[from].Expire(now, w.poolWindow)
	for _, iv := range w.pools[from].Withdraw(float64(w.limit.Burst) * w.rng.Float64()) {
		w.send(to, iv.ages(now).interval(sentAt))
	}
}

// send adds a message that brings tokens to a pool.
func (w *simulation) send(pool int, iv Interval) {
	w.tokensInFlight += iv.tokens()
	w.messages = append(w.messages, func(lost bool) {
		w.tokensInFlight -= iv.tokens()
		if lost {
			w.tokensDropped += iv.tokens()
			return
		}
		w.pools[pool].Add(iv)
	})
}

// admit charges one request of random cost to a pool.
func (w *simulation) admit(pool int) {
	cost := math.Ceil(float64(w.limit.Burst) * w.rng.Float64() / 3)
	w.tokensDropped += w.pools[pool].Expire(w.clock(pool), w.poolWindow)
	minted, ok := w.pools[pool].Charge(w.clock(pool), w.poolWindow, cost)
	if !ok {
		return
	}
	id := w.reservations[pool].add(reservation{org: "org", charged: ident.Tokens(cost), intervals: minted})
	w.admissionIndex[fmt.Sprint(pool, id)] = len(w.admissions)
	w.admissions = append(w.admissions, admissionRecord{at: w.now, used: cost})
}

// settle refunds a random part of a random reservation of a pool, and
// delivers the settlement twice.
func (w *simulation) settle(pool int) {
	id := uint64(1 + w.rng.IntN(len(w.admissions)+1))
	for range 2 {
		res, unused, ok := w.reservations[pool].settle(id, ident.Tokens(w.rng.Int64N(int64(w.limit.Burst)/3+1)))
		if !ok {
			return
		}
		w.pools[pool].Add(unused...)
		if w.repeatRefunds {
			w.reservations[pool].open[id] = res
		}
		w.admissions[w.admissionIndex[fmt.Sprint(pool, id)]].used = float64(res.charged) - totalTokens(unused)
	}
}

// deliver delivers some random messages and loses a few of them.
func (w *simulation) deliver() {
	for range min(len(w.messages), 10) {
		k := w.rng.IntN(len(w.messages))
		w.messages[k](w.rng.IntN(20) == 0)
		w.messages = append(w.messages[:k], w.messages[k+1:]...)
	}
}

// tokensInPools returns the number of tokens in all pools.
func (w *simulation) tokensInPools() float64 {
	sum := 0.0
	for _, p := range w.pools {
		sum += p.Amount()
	}
	return sum
}

// tokensUsed returns the number of tokens used by all admissions.
func (w *simulation) tokensUsed() float64 {
	sum := 0.0
	for _, s := range w.admissions {
		sum += s.used
	}
	return sum
}

// tokensConserved reports whether all tokens handed out by slots are
// accounted for.
func (w *simulation) tokensConserved() bool {
	return math.Abs(w.tokensInPools()+w.tokensUsed()+w.tokensInFlight+w.tokensDropped-w.tokensIssued) <= tolerance
}

// worstExcess returns the most tokens by which the admissions of any window
// exceed the limit. It checks every pair of admissions.
func worstExcess(admissions []admissionRecord, limit Limit) float64 {
	sort.SliceStable(admissions, func(i, j int) bool { return admissions[i].at < admissions[j].at })
	worst := math.Inf(-1)
	for i := range admissions {
		sum := 0.0
		for _, s := range admissions[i:] {
			sum += s.used
			allowed := float64(limit.Rate)*(s.at-admissions[i].at).Seconds() + float64(limit.Burst)
			worst = max(worst, sum-allowed)
		}
	}
	return worst
}

// run takes the given number of random steps and returns the simulation.
func (w *simulation) run(steps int) *simulation {
	for range steps {
		w.randomStep()
	}
	return w
}

// limitGen generates limits with windows between 0.1 s and 100 s.
func limitGen() gopter.Gen {
	return gopter.CombineGens(gen.Int64Range(10, 100_000), gen.Float64Range(0.1, 100)).Map(func(v []any) Limit {
		rate, seconds := v[0].(int64), v[1].(float64)
		return Limit{Rate: ident.TokensPerSecond(rate), Burst: ident.Tokens(math.Ceil(float64(rate) * seconds))}
	})
}

// parameters returns the parameters of all property tests in this file. The
// seed is fixed so that CI runs are reproducible.
func parameters() *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(4711)
	p.MinSuccessfulTests = 200
	return p
}

// TestNoWindowExceedsRateAndBurst checks for random steps and late or lost messages that
// no window exceeds the limit, and that all tokens handed out are accounted for.
func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	properties := gopter.NewProperties(parameters())
	properties.Property("admissions in any window are within rate and burst", prop.ForAll(
		func(seed uint64, limit Limit, slots, pools int) bool {
			w := newSimulation(seed, limit, slots, pools).run(400)
			return worstExcess(w.admissions, limit) <= tolerance
		}, gen.UInt64(), limitGen(), gen.IntRange(1, 8), gen.IntRange(1, 5)))
	properties.Property("all tokens handed out are accounted for", prop.ForAll(
		func(seed uint64, limit Limit, slots, pools int) bool {
			w := newSimulation(seed, limit, slots, pools).run(400)
			return w.tokensConserved()
		}, gen.UInt64(), limitGen(), gen.IntRange(1, 8), gen.IntRange(1, 5)))
	properties.TestingRun(t)
}

// TestWindowBoundFailsWithoutTokenExpiry checks that the check of all windows detects
// tokens that do not expire.
func TestWindowBoundFailsWithoutTokenExpiry(t *testing.T) {
	failed := 0
	for seed := range uint64(50) {
		w := newSimulation(seed, Limit{Rate: 1000, Burst: 5000}, 4, 3)
		w.poolWindow = time.Hour
		if worstExcess(w.run(400).admissions, w.limit) > tolerance {
			failed++
		}
	}
	if failed == 0 {
		t.Error("without token expiry the window bound held in all runs; the property test would not detect a violation")
	}
	t.Logf("without token expiry the bound was violated in %d of 50 runs", failed)
}

// TestTokenConservationFailsWithRepeatedRefunds checks that the check of token
// conservation detects a reservation that is refunded twice.
func TestTokenConservationFailsWithRepeatedRefunds(t *testing.T) {
	failed := 0
	for seed := range uint64(50) {
		w := newSimulation(seed, Limit{Rate: 1000, Burst: 5000}, 4, 3)
		w.repeatRefunds = true
		if !w.run(400).tokensConserved() {
			failed++
		}
	}
	if failed == 0 {
		t.Error("with repeated refunds tokens were conserved in all runs; the property test would not detect a violation")
	}
	t.Logf("with repeated refunds tokens were not conserved in %d of 50 runs", failed)
}

func TestPoolMatchesTokenBucket(t *testing.T) {
	properties := gopter.NewProperties(parameters())
	properties.Property("one pool that collects from all slots admits the same requests as one token bucket", prop.ForAll(
		func(seed uint64, limit Limit, slots int) bool {
			w := newSimulation(seed, limit, slots, 1)
			level, at := float64(limit.Burst), w.now
			for range 100 {
				w.now += time.Duration(w.rng.Int64N(int64(w.limit.expiryWindow() / 3)))
				level = min(float64(limit.Burst), level+float64(limit.Rate)*(w.now-at).Seconds())
				at = w.now
				for _, s := range w.slots {
					out := s.Collect(Instant(w.now), "org", limit.slotRate(slots), limit.expiryWindow())
					w.pools[0].Add(out.interval(w.clock(0)))
				}
				cost := math.Ceil(float64(limit.Burst) * w.rng.Float64())
				if math.Abs(cost-level) < tolerance {
					continue
				}
				if _, ok := w.pools[0].Charge(w.clock(0), limit.expiryWindow(), cost); ok != (cost <= level) {
					return false
				} else if ok {
					level -= cost
				}
			}
			return true
		}, gen.UInt64(), limitGen(), gen.IntRange(1, 8)))
	properties.TestingRun(t)
}

// tokensMintedBefore returns the tokens minted up to t.
func tokensMintedBefore(intervals []Interval, t Instant) float64 {
	sum := 0.0
	for _, iv := range intervals {
		sum += iv.tokens() - iv.mintedSince(t).tokens()
	}
	return sum
}

func TestCompactMakesNoTokenYounger(t *testing.T) {
	properties := gopter.NewProperties(parameters())
	properties.Property("compaction keeps the sum and makes no token younger", prop.ForAll(
		func(seed uint64, n int) bool {
			r := rand.New(rand.NewPCG(seed, 2))
			p := &Pool{}
			for range n {
				start := Instant(r.Int64N(int64(10 * time.Second)))
				p.addInterval(Interval{Start: start, End: start.Add(time.Duration(r.Int64N(int64(time.Second)))), Rate: ident.TokensPerSecond(1 + r.Float64()*100)})
			}
			before := append([]Interval(nil), p.segments...)
			p.compact()
			for _, s := range append(before, p.segments...) {
				if tokensMintedBefore(p.segments, s.End) < tokensMintedBefore(before, s.End)-tolerance || tokensMintedBefore(p.segments, s.Start) < tokensMintedBefore(before, s.Start)-tolerance {
					return false
				}
			}
			return math.Abs(totalTokens(before)-p.Amount()) <= tolerance
		}, gen.UInt64(), gen.IntRange(2, 60)))
	properties.TestingRun(t)
}
