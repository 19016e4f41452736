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

// run is one random run of a dispatcher.
type run struct {
	*fixture
	random  *rand.Rand
	answers map[LeaseID]<-chan Decision
	live    []LeaseID // Granted and not ended.
	ended   []LeaseID
	answerN map[LeaseID]int
}

// step does one random operation.
func (r *run) step(op int) {
	switch op {
	case 0, 1, 2:
		q := r.request(ident.OrganisationID([]string{"a", "b", "c"}[r.random.Intn(3)]))
		q.PromptTokens = ident.Tokens(1 + r.random.Intn(400))
		q.MaxTokens = ident.Tokens(r.random.Intn(600))
		r.answers[q.LeaseID()] = r.Submit(q, "i1")
	case 3, 4:
		if id, ok := r.pick(r.live); ok {
			r.PrefillDone(id)
		}
	case 5, 6:
		if id, ok := r.pick(r.live); ok {
			r.Release(id, Outcome{Result: Result(r.random.Intn(5)), OutputTokens: ident.Tokens(r.random.Intn(100))})
			r.ended = append(r.ended, id)
		}
	case 7:
		if id, ok := r.pick(r.ended); ok {
			r.Release(id, Outcome{Result: Completed})
			r.PrefillDone(id)
		}
	case 8:
		for id := range r.answers {
			if r.answerN[id] == 0 {
				r.Cancel(id)
				break
			}
		}
	case 9:
		r.advance(time.Duration(r.random.Intn(200)) * time.Millisecond)
	}
	r.collect()
}

// pick returns a random id of a list.
func (r *run) pick(list []LeaseID) (LeaseID, bool) {
	if len(list) == 0 {
		return "", false
	}
	return list[r.random.Intn(len(list))], true
}

// collect takes the answers that have come, and lists the live leases.
func (r *run) collect() {
	for id, answer := range r.answers {
		for len(answer) > 0 {
			<-answer
			r.answerN[id]++
		}
	}
	r.live = r.live[:0]
	for id := range r.leases {
		r.live = append(r.live, id)
	}
}

func TestNoOrderOvercommitsOrLosesARequest(t *testing.T) {
	properties := properties()
	properties.Property("reservations fit, counts agree, each request is answered once", prop.ForAll(
		func(seed int64, ops []int) bool {
			r := &run{
				fixture: newFixture(t, 2), random: rand.New(rand.NewSource(seed)),
				answers: make(map[LeaseID]<-chan Decision), answerN: make(map[LeaseID]int),
			}
			for _, op := range ops {
				r.step(op)
				r.audit()
			}
			// After all deadlines nothing may wait, and each request has one answer.
			r.advance(time.Minute)
			r.collect()
			for id := range r.answers {
				if r.answerN[id] != 1 {
					t.Logf("request %s has %d answers", id, r.answerN[id])
					return false
				}
			}
			for _, id := range r.live {
				r.Release(id, Outcome{Result: Completed})
			}
			for _, e := range r.engines {
				if e.slots != 0 || e.pieces != 0 {
					t.Logf("engine %s keeps %d slots and %d pieces", e.Name, e.slots, e.pieces)
					return false
				}
			}
			return !t.Failed()
		},
		gen.Int64(), gen.SliceOfN(120, gen.IntRange(0, 9)),
	))
	properties.TestingRun(t)
}

func TestNoWakeUpIsLost(t *testing.T) {
	properties := properties()
	properties.Property("whatever fits and has its turn is placed without a tick", prop.ForAll(
		func(seed int64, ops []int) bool {
			r := &run{
				fixture: newFixture(t, 2), random: rand.New(rand.NewSource(seed)),
				answers: make(map[LeaseID]<-chan Decision), answerN: make(map[LeaseID]int),
			}
			for _, op := range ops {
				r.step(op)
				before := r.counts.Granted
				r.Tick()
				if r.counts.Granted != before {
					t.Logf("a tick placed what operation %d had left", op)
					return false
				}
			}
			return true
		},
		gen.Int64(), gen.SliceOfN(80, gen.IntRange(0, 8)),
	))
	properties.TestingRun(t)
}

// TestFairnessIsBounded has organisations that always wait, with random sizes.
// Start-time fair queueing bounds the difference of what any two get, over
// their weights, by the sum of their largest requests over their weights.
func TestFairnessIsBounded(t *testing.T) {
	const largest = 1000
	properties := properties()
	properties.Property("difference of service stays under the bound", prop.ForAll(
		func(seed int64, weightB float64) bool {
			random := rand.New(rand.NewSource(seed))
			q := newFairQueue()
			q.setWeights(map[ident.OrganisationID]float64{"a": 1, "b": weightB})
			got := make(map[ident.OrganisationID]float64)
			push := func(o ident.OrganisationID) {
				w := &waiting{request: Request{Organisation: o, PromptTokens: ident.Tokens(1 + random.Intn(largest))}}
				q.push(w)
			}
			push("a")
			push("b")
			for range 500 {
				f := q.order()[0]
				w := f.requests[0]
				q.remove(w)
				q.served(w.request)
				got[f.organisation] += float64(w.request.cost())
				push(f.organisation)
				difference := got["a"] - got["b"]/weightB
				bound := largest + largest/weightB
				if difference > bound || -difference > bound {
					t.Logf("difference %v over bound %v", difference, bound)
					return false
				}
			}
			return true
		},
		gen.Int64(), gen.Float64Range(0.2, 5),
	))
	properties.TestingRun(t)
}

func TestIdleOrganisationCannotSaveUpService(t *testing.T) {
	q := newFairQueue()
	for range 100 {
		w := &waiting{request: Request{Organisation: "a", PromptTokens: 10}}
		q.push(w)
		q.remove(w)
		q.served(w.request)
	}
	q.push(&waiting{request: Request{Organisation: "a", PromptTokens: 10}})
	q.push(&waiting{request: Request{Organisation: "b", PromptTokens: 10}})
	a, b := q.flows["a"], q.flows["b"]
	if a.virtual-b.virtual > 10 {
		t.Fatalf("the new organisation is %v ahead, want at most one request", a.virtual-b.virtual)
	}
}
