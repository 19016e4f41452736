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

// baselineLoadInterval is the time between two load polls of an entry.
const baselineLoadInterval = 250 * time.Millisecond

// baseline holds the simple policies that the paired one is compared with.
// They run in each entry by itself, without a queue or reservations.
type baseline struct {
	placement *Placement
	next      [2]atomic.Uint64 // Round robin counters, by the role of the engines.

	mu    sync.Mutex
	loads map[ident.EndpointID]Load
}

// newBaseline returns the simple policies of an entry.
func newBaseline(p *Placement) *baseline {
	b := &baseline{placement: p, loads: make(map[ident.EndpointID]Load)}
	for i := range b.next {
		b.next[i].Store(rand.Uint64N(1 << 20))
	}
	return b
}

// place chooses the engines of a request at once: a decode engine of any
// domain, and a prefill engine of the same domain.
func (b *baseline) place(t *text.Text, r Request) (*Lease, error) {
	decode, ok := b.choose(t.Policy.Placement, candidates(t, r, text.Decode, anyDomain(t, r.Model)))
	domain := decode.Domain
	inDomain := func(d ident.DomainID) bool { return d == domain }
	prefill, ok2 := b.choose(t.Policy.Placement, candidates(t, r, text.Prefill, inDomain))
	if !ok || !ok2 {
		return nil, fault.New(fault.NoEndpoint, "no engines serve %s", r.Model).
			WithRetryAfter(b.placement.now().Add(retryFloor))
	}
	return &Lease{
		ID: r.LeaseID(), Domain: domain, Prefill: prefill, Decode: decode, placement: b.placement,
		held: Held{Lease: r.LeaseID(), Prefill: prefill.Name, Decode: decode.Name, Deadline: r.Deadline},
	}, nil
}

// anyDomain matches the domains that serve the model with both roles.
func anyDomain(t *text.Text, model ident.ModelID) func(ident.DomainID) bool {
	return func(d ident.DomainID) bool { return serves(t, d, model) }
}

// candidates returns the engines of a role that may get the request, in the
// domains that match.
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

// choose picks one of the engines, all of one role, by a simple policy.
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
	return list[b.next[list[0].Role].Add(1)%uint64(len(list))], true
}

// leastLoaded returns the engine with the least reported load for its slots;
// the first of equal ones from a random start.
func (b *baseline) leastLoaded(list []text.Engine) text.Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	start := rand.IntN(len(list))
	best := list[start]
	for i := range list {
		e := list[(start+i)%len(list)]
		if b.relative(e) < b.relative(best) {
			best = e
		}
	}
	return best
}

// relative returns the reported load of an engine over its slots.
func (b *baseline) relative(e text.Engine) float64 {
	l := b.loads[e.Name]
	return float64(l.Running+l.Waiting) / float64(max(1, e.Slots))
}

// pollLoads reads the load reports of all engines while a policy needs them.
func (b *baseline) pollLoads(ctx context.Context) {
	load := b.placement.engines.Load
	if load == nil {
		return
	}
	for pause(ctx, baselineLoadInterval) {
		current := b.placement.holder.Current()
		if current == nil || !policyNeedsLoads(current.Text) {
			continue
		}
		b.readLoads(ctx, current.Text, load)
	}
}

// readLoads reads the load report of each engine once.
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
