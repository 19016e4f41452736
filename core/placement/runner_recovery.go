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

// recoveryTimeout bounds how long a new dispatcher collects open leases before it
// starts to place requests.
const recoveryTimeout = 300 * time.Millisecond

// recoverLeases restores the open leases reported by the live instances and the
// requests listed by the engines, and then lets the dispatcher place requests.
func (r *runner) recoverLeases() {
	defer r.FinishRecovery()
	p := r.placement
	if !p.recoverLeases {
		return
	}
	start := p.now()
	ctx, cancel := context.WithTimeout(r.ctx, recoveryTimeout)
	defer cancel()
	listed := make(chan map[ident.EndpointID][]EngineRequest, 1)
	go func() { listed <- r.listEngineRequests() }()
	known := r.queryInstanceLeases(ctx)
	r.RestoreLeases(known)
	select {
	case lists := <-listed:
		r.RestoreLeases(r.unreportedLeases(known, lists))
	case <-ctx.Done():
	}
	p.metrics.recovery.UpdateSince(start)
	_ = level.Info(p.log).Log("msg", event.DispatcherRecovered, "model", string(r.key.model),
		"leases", len(known), "took", p.now().Sub(start))
}

// queryInstanceLeases collects the open leases of this dispatcher from all members
// that are not gone. Members that do not answer in time are left out.
func (r *runner) queryInstanceLeases(ctx context.Context) []LeaseRecord {
	p := r.placement
	var mu sync.Mutex
	var wg sync.WaitGroup
	var records []LeaseRecord
	for _, m := range p.table.View().Members() {
		if m.State == membership.Gone {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply := &HeldReply{}
			req := &HeldRequest{Domain: string(r.key.domain), Model: string(r.key.model)}
			if err := p.links.Call(ctx, m.ID, methodOpenLeases, req, reply); err != nil {
				return
			}
			valid := p.validLeases(m.ID, reply)
			mu.Lock()
			defer mu.Unlock()
			records = append(records, valid...)
		}()
	}
	wg.Wait()
	return records
}

// validLeases returns the leases of a reply without those whose numbers are out of range.
func (p *Placement) validLeases(holder ident.InstanceID, reply *HeldReply) []LeaseRecord {
	records := make([]LeaseRecord, 0, len(reply.GetLeases()))
	for _, l := range reply.GetLeases() {
		h := leaseFromProto(l, holder, p.now())
		if err := h.check(); err != nil {
			_ = level.Warn(p.log).Log("msg", event.PeerRecordIgnored, "from", string(holder), "record", "lease", "err", err)
			continue
		}
		records = append(records, h)
	}
	return records
}

// listEngineRequests returns the open requests of each engine. An engine that does
// not answer is missing from the result.
func (r *runner) listEngineRequests() map[ident.EndpointID][]EngineRequest {
	var mu sync.Mutex
	lists := make(map[ident.EndpointID][]EngineRequest)
	requests := r.placement.engines.Requests
	if requests == nil {
		return lists
	}
	r.eachEngine(recoveryTimeout, func(ctx context.Context, e text.Engine) {
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

// unreportedLeases returns leases for the requests in decode engines that no
// instance has reported: their holders are dead or unreachable.
func (r *runner) unreportedLeases(known []LeaseRecord, lists map[ident.EndpointID][]EngineRequest) []LeaseRecord {
	reported := make(map[LeaseID]bool, len(known))
	for _, h := range known {
		reported[h.Lease] = true
	}
	var records []LeaseRecord
	for _, e := range enginesOf(r.currentText(), r.key.domain, r.key.model) {
		if e.Role != text.Decode {
			continue
		}
		for _, l := range lists[e.Name] {
			if reported[l.Lease] {
				continue
			}
			records = append(records, LeaseRecord{
				Lease: l.Lease, Holder: l.Holder, Decode: e.Name,
				PromptTokens: tokensHeld(l.Pieces, e),
				Phase:        Decoding, Deadline: r.placement.now(),
			})
		}
	}
	return records
}

// tokensHeld returns the tokens that pieces of an engine's memory hold. A number of pieces that
// the engine can't have counts as the nearest one that it can.
func tokensHeld(pieces ident.Pieces, e text.Engine) ident.Tokens {
	return ident.Tokens(min(max(0, pieces), e.MemoryPieces)) * e.TokensPerPiece
}

// dropStaleLeases drops leases whose end event was lost: the holder is gone or the
// deadline has passed, and no engine lists the attempt any more.
func (r *runner) dropStaleLeases() {
	if r.Recovering() || r.placement.engines.Requests == nil {
		return
	}
	stale := r.StaleLeases(r.holderMayBeAlive)
	if len(stale) == 0 {
		return
	}
	lists := r.listEngineRequests()
	var drop []LeaseID
	for _, h := range stale {
		if notListed(lists, h.Prefill, h.Lease) && notListed(lists, h.Decode, h.Lease) {
			drop = append(drop, h.Lease)
		}
	}
	r.DropLeases(drop)
}

// holderMayBeAlive reports whether an instance may still use its leases.
func (r *runner) holderMayBeAlive(id ident.InstanceID) bool {
	m, ok := r.placement.table.View().Member(id)
	return ok && m.State != membership.Gone
}

// notListed reports whether an engine answered and does not list an attempt. It
// is true for an empty engine id.
func notListed(lists map[ident.EndpointID][]EngineRequest, engine ident.EndpointID, id LeaseID) bool {
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
