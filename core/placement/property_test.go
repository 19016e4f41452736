package placement

import (
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"monsoonfork/core/ident"
)

// properties returns gopter properties with a fixed seed.
func properties() *gopter.Properties {
	p := gopter.DefaultTestParametersWithSeed(1)
	p.MinSuccessfulTests = 200
	return gopter.NewProperties(p)
}

// randomRun applies random operations to a dispatcher.
type randomRun struct {
	*fixture
	random      *rand.Rand
	answers     map[LeaseID]<-chan Decision
	open        []LeaseID // Granted leases that have not ended.
	ended       []LeaseID
	answerCount map[LeaseID]int
}

// step applies the operation with the given number to random requests or leases.
func (r *randomRun) step(op int) {
	switch op {
	case 0, 1, 2:
		q := r.request(ident.OrganisationID([]string{"a", "b", "c"}[r.random.Intn(3)]))
		q.PromptTokens = ident.Tokens(1 + r.random.Intn(400))
		q.MaxTokens = ident.Tokens(r.random.Intn(600))
		r.answers[q.LeaseID()] = r.Submit(q, "i1")
	case 3, 4:
		if id, ok := r.randomID(r.open); ok {
			r.PrefillDone(id)
		}
	case 5, 6:
		if id, ok := r.randomID(r.open); ok {
			r.Release(id, Outcome{Result: Result(r.random.Intn(5)), OutputTokens: ident.Tokens(r.random.Intn(100))})
			r.ended = append(r.ended, id)
		}
	case 7:
		if id, ok := r.randomID(r.ended); ok {
			r.Release(id, Outcome{Result: Completed})
			r.PrefillDone(id)
		}
	case 8:
		for id := range r.answers {
			if r.answerCount[id] == 0 {
				r.Cancel(id)
				break
			}
		}
	case 9:
		r.advance(time.Duration(r.random.Intn(200)) * time.Millisecond)
	}
	r.collectAnswers()
}

// randomID returns a random element of the list, or false if the list is empty.
func (r *randomRun) randomID(list []LeaseID) (LeaseID, bool) {
	if len(list) == 0 {
		return "", false
	}
	return list[r.random.Intn(len(list))], true
}

// collectAnswers counts the received decisions and updates the list of open leases.
func (r *randomRun) collectAnswers() {
	for id, answer := range r.answers {
		for len(answer) > 0 {
			<-answer
			r.answerCount[id]++
		}
	}
	r.open = r.open[:0]
	for id := range r.leases {
		r.open = append(r.open, id)
	}
}

// TestRandomOperationsNeitherOvercommitNorLoseRequests checks the reservation
// counters after each operation, and that all reservations are released in the end.
func TestRandomOperationsNeitherOvercommitNorLoseRequests(t *testing.T) {
	properties := properties()
	properties.Property("reservations fit, counters agree, each request gets one decision", prop.ForAll(
		func(seed int64, ops []int) bool {
			r := &randomRun{
				fixture: newFixture(t, 2), random: rand.New(rand.NewSource(seed)),
				answers: make(map[LeaseID]<-chan Decision), answerCount: make(map[LeaseID]int),
			}
			for _, op := range ops {
				r.step(op)
				r.audit()
			}
			// After all deadlines no request may be waiting, and each has one decision.
			r.advance(time.Minute)
			r.collectAnswers()
			for id := range r.answers {
				if r.answerCount[id] != 1 {
					t.Logf("request %s got %d decisions", id, r.answerCount[id])
					return false
				}
			}
			for _, id := range r.open {
				r.Release(id, Outcome{Result: Completed})
			}
			for _, e := range r.engines {
				if e.reservedSlots != 0 || e.reservedPieces != 0 {
					t.Logf("engine %s still has %d slots and %d pieces reserved", e.Name, e.reservedSlots, e.reservedPieces)
					return false
				}
			}
			return !t.Failed()
		},
		gen.Int64(), gen.SliceOfN(120, gen.IntRange(0, 9)),
	))
	properties.TestingRun(t)
}

func TestEveryOperationPlacesWhatFits(t *testing.T) {
	properties := properties()
	properties.Property("whatever can be placed after an operation is placed without a tick", prop.ForAll(
		func(seed int64, ops []int) bool {
			r := &randomRun{
				fixture: newFixture(t, 2), random: rand.New(rand.NewSource(seed)),
				answers: make(map[LeaseID]<-chan Decision), answerCount: make(map[LeaseID]int),
			}
			for _, op := range ops {
				r.step(op)
				before := r.counts.Granted
				r.Tick()
				if r.counts.Granted != before {
					t.Logf("a tick placed a request that operation %d should have placed", op)
					return false
				}
			}
			return true
		},
		gen.Int64(), gen.SliceOfN(80, gen.IntRange(0, 8)),
	))
	properties.TestingRun(t)
}

// TestServiceDifferenceIsBounded keeps two organisations backlogged with requests of
// random sizes. Start-time fair queueing bounds the difference of their service
// divided by weight by the sum of their largest requests divided by weight.
func TestServiceDifferenceIsBounded(t *testing.T) {
	const largest = 1000
	properties := properties()
	properties.Property("the difference of normalised service stays within the bound", prop.ForAll(
		func(seed int64, weightB float64) bool {
			random := rand.New(rand.NewSource(seed))
			q := newFairQueue()
			q.setWeights(map[ident.OrganisationID]float64{"a": 1, "b": weightB})
			got := make(map[ident.OrganisationID]float64)
			push := func(o ident.OrganisationID) {
				w := &queuedRequest{request: Request{Organisation: o, PromptTokens: ident.Tokens(1 + random.Intn(largest))}}
				q.push(w)
			}
			push("a")
			push("b")
			for range 500 {
				f := q.flowsByVirtualTime()[0]
				w := f.requests[0]
				q.remove(w)
				q.charge(w.request)
				got[f.organisation] += float64(w.request.cost())
				push(f.organisation)
				difference := got["a"] - got["b"]/weightB
				bound := largest + largest/weightB
				if difference > bound || -difference > bound {
					t.Logf("difference %v exceeds the bound %v", difference, bound)
					return false
				}
			}
			return true
		},
		gen.Int64(), gen.Float64Range(0.2, 5),
	))
	properties.TestingRun(t)
}

func TestIdleOrganisationCannotAccumulateCredit(t *testing.T) {
	q := newFairQueue()
	for range 100 {
		w := &queuedRequest{request: Request{Organisation: "a", PromptTokens: 10}}
		q.push(w)
		q.remove(w)
		q.charge(w.request)
	}
	q.push(&queuedRequest{request: Request{Organisation: "a", PromptTokens: 10}})
	q.push(&queuedRequest{request: Request{Organisation: "b", PromptTokens: 10}})
	a, b := q.flows["a"], q.flows["b"]
	if a.virtualTime-b.virtualTime > 10 {
		t.Fatalf("the virtual times differ by %v, want at most the 10 tokens of one request", a.virtualTime-b.virtualTime)
	}
}
