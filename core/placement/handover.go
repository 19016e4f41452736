package placement

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
	"monsoonfork/core/text"
)

// learnTimeout bounds how long a new dispatcher asks before it places.
const learnTimeout = 300 * time.Millisecond

// learnHeld asks the live instances and the engines what is held, and then
// lets the dispatcher place.
func (r *runner) learnHeld() {
	defer r.Learned()
	p := r.placement
	if !p.learn {
		return
	}
	start := p.now()
	ctx, cancel := context.WithTimeout(r.ctx, learnTimeout)
	defer cancel()
	listed := make(chan map[ident.EndpointID][]Listed, 1)
	go func() { listed <- r.listRequests() }()
	known := r.askHeld(ctx)
	r.Learn(known)
	select {
	case lists := <-listed:
		r.Learn(r.unclaimed(known, lists))
	case <-ctx.Done():
	}
	p.metrics.learning.UpdateSince(start)
	_ = level.Info(p.log).Log("msg", event.DispatcherLearned, "model", string(r.key.model),
		"leases", len(known), "took", p.now().Sub(start))
}

// askHeld asks every member that may hold leases of this dispatcher.
func (r *runner) askHeld(ctx context.Context) []Held {
	p := r.placement
	var mu sync.Mutex
	var wg sync.WaitGroup
	var held []Held
	for _, m := range p.table.View().Members() {
		if m.State == membership.Gone {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply := &HeldReply{}
			req := &HeldRequest{Domain: string(r.key.domain), Model: string(r.key.model)}
			if err := p.links.Call(ctx, m.ID, methodHeld, req, reply); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, l := range reply.GetLeases() {
				held = append(held, heldFrom(l, m.ID, p.now()))
			}
		}()
	}
	wg.Wait()
	return held
}

// listRequests asks the engines what they hold. An engine without an answer is
// missing in the result.
func (r *runner) listRequests() map[ident.EndpointID][]Listed {
	var mu sync.Mutex
	lists := make(map[ident.EndpointID][]Listed)
	requests := r.placement.engines.Requests
	if requests == nil {
		return lists
	}
	r.eachEngine(learnTimeout, func(ctx context.Context, e text.Engine) {
		list, err := requests(ctx, e)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		lists[e.Name] = list
	})
	return lists
}

// unclaimed returns leases for the requests in decode engines that no instance
// has told of: those of dead or unreachable holders.
func (r *runner) unclaimed(known []Held, lists map[ident.EndpointID][]Listed) []Held {
	claimed := make(map[LeaseID]bool, len(known))
	for _, h := range known {
		claimed[h.Lease] = true
	}
	var held []Held
	for _, e := range enginesOf(r.currentText(), r.key.domain, r.key.model) {
		if e.Role != text.Decode {
			continue
		}
		for _, l := range lists[e.Name] {
			if claimed[l.Lease] {
				continue
			}
			held = append(held, Held{
				Lease: l.Lease, Holder: l.Holder, Decode: e.Name,
				PromptTokens: ident.Tokens(l.Pieces) * e.TokensPerPiece,
				Phase:        Decoding, Deadline: r.placement.now(),
			})
		}
	}
	return held
}

// sweep drops leases whose end was lost: the holder is gone or the deadline
// has passed, and no engine lists the attempt any more.
func (r *runner) sweep() {
	if r.Learning() || r.placement.engines.Requests == nil {
		return
	}
	suspects := r.Suspects(r.holderMayLive)
	if len(suspects) == 0 {
		return
	}
	lists := r.listRequests()
	var drop []LeaseID
	for _, h := range suspects {
		if absent(lists, h.Prefill, h.Lease) && absent(lists, h.Decode, h.Lease) {
			drop = append(drop, h.Lease)
		}
	}
	r.Drop(drop)
}

// holderMayLive reports whether an instance may still use its leases.
func (r *runner) holderMayLive(id ident.InstanceID) bool {
	m, ok := r.placement.table.View().Member(id)
	return ok && m.State != membership.Gone
}

// absent reports whether an engine answered and does not list an attempt. An
// engine that is not named has nothing to list.
func absent(lists map[ident.EndpointID][]Listed, engine ident.EndpointID, id LeaseID) bool {
	if engine == "" {
		return true
	}
	list, answered := lists[engine]
	if !answered {
		return false
	}
	for _, l := range list {
		if l.Lease == id {
			return false
		}
	}
	return true
}
