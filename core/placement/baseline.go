package placement

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// baselineLoadInterval is the interval at which an instance polls the load of
// all engines under a baseline policy.
const baselineLoadInterval = 250 * time.Millisecond

// baseline implements the simple policies (round robin, least load, two
// choices) that the paired policy is compared with. Each instance chooses on its
// own, without a dispatcher, a queue or reservations.
type baseline struct {
	placement  *Placement
	roundRobin [2]atomic.Uint64 // Round robin counters, indexed by engine role.

	mu    sync.Mutex
	loads map[ident.EndpointID]Load
}

// newBaseline returns the baseline policies of an instance. The round robin
// counters start at random values, so that instances do not choose in step.
func newBaseline(p *Placement) *baseline {
	b := &baseline{placement: p, loads: make(map[ident.EndpointID]Load)}
	for i := range b.roundRobin {
		b.roundRobin[i].Store(rand.Uint64N(1 << 20))
	}
	return b
}

// place chooses the engines of a request without waiting: a decode engine of
// any domain, and a prefill engine of the same domain.
func (b *baseline) place(t *text.Text, r Request) (*Lease, error) {
	decode, ok := b.choose(t.Policy.Placement, candidates(t, r, text.Decode, anyDomain(t, r.Model)))
	domain := decode.Domain
	inDomain := func(d ident.DomainID) bool { return d == domain }
	prefill, ok2 := b.choose(t.Policy.Placement, candidates(t, r, text.Prefill, inDomain))
	if !ok || !ok2 {
		return nil, fault.New(fault.NoEndpoint, "no engines serve %s", r.Model).
			WithRetryAfter(b.placement.now().Add(minRetryAfter))
	}
	return &Lease{
		ID: r.LeaseID(), Domain: domain, Prefill: prefill, Decode: decode, placement: b.placement,
		record: LeaseRecord{Lease: r.LeaseID(), Prefill: prefill.Name, Decode: decode.Name, Deadline: r.Deadline},
	}, nil
}

// anyDomain returns a filter for the domains that have serving engines of both
// roles for the model.
func anyDomain(t *text.Text, model ident.ModelID) func(ident.DomainID) bool {
	return func(d ident.DomainID) bool { return servesBothRoles(t, d, model) }
}

// candidates returns the engines of a role that may run the request, in the
// domains that match accepts.
func candidates(t *text.Text, r Request, role text.EngineRole, match func(ident.DomainID) bool) []text.Engine {
	var list []text.Engine
	for _, e := range t.Engines {
		if e.Role != role || e.State != text.Serving || !servesModel(e, r.Model) || r.avoids(e.Name) {
			continue
		}
		if match(e.Domain) {
			list = append(list, e)
		}
	}
	return list
}

// choose picks one of the engines by a baseline policy. All engines of the list
// must have the same role. It returns false for an empty list.
func (b *baseline) choose(policy text.PlacementPolicy, list []text.Engine) (text.Engine, bool) {
	if len(list) == 0 {
		return text.Engine{}, false
	}
	if policy == text.LeastLoad {
		return b.leastLoaded(list), true
	}
	if policy == text.TwoChoices {
		i := rand.IntN(len(list))
		j := rand.IntN(len(list))
		return b.leastLoaded([]text.Engine{list[i], list[j]}), true
	}
	return list[b.roundRobin[list[0].Role].Add(1)%uint64(len(list))], true
}

// leastLoaded returns the engine with the lowest reported load per slot. It
// scans from a random position, so that ties are broken at random.
func (b *baseline) leastLoaded(list []text.Engine) text.Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	start := rand.IntN(len(list))
	best := list[start]
	for i := range list {
		e := list[(start+i)%len(list)]
		if b.relativeLoad(e) < b.relativeLoad(best) {
			best = e
		}
	}
	return best
}

// relativeLoad returns the reported number of running and waiting requests of
// an engine, divided by its slots.
func (b *baseline) relativeLoad(e text.Engine) float64 {
	l := b.loads[e.Name]
	return float64(l.Running+l.Waiting) / float64(max(1, e.Slots))
}

// pollLoads polls the load of all engines periodically while the configured
// policy uses load reports. It returns when ctx ends.
func (b *baseline) pollLoads(ctx context.Context) {
	load := b.placement.engines.Load
	if load == nil {
		return
	}
	for sleep(ctx, baselineLoadInterval) {
		current := b.placement.configHolder.Current()
		if current == nil || !policyNeedsLoads(current.Text) {
			continue
		}
		b.readLoads(ctx, current.Text, load)
	}
}

// readLoads reads the load report of each engine once, in parallel. The last
// report of an engine that does not answer is kept.
func (b *baseline) readLoads(ctx context.Context, t *text.Text, load func(context.Context, text.Engine) (Load, error)) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, e := range t.Engines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l, err := load(ctx, e)
			if err != nil {
				return
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			b.loads[e.Name] = l
		}()
	}
	wg.Wait()
}
