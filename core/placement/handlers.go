package placement

import (
	"context"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// registerHandlers registers the methods that other instances call.
func (p *Placement) registerHandlers() {
	link.Handle(p.links, methodPlace, p.handlePlace)
	link.Handle(p.links, methodEvents, p.handleEvents)
	link.Handle(p.links, methodOpenLeases, p.handleOpenLeases)
	link.Handle(p.links, methodCapacity, p.handleCapacity)
}

// handlePlace submits a request and replies with the decision. If the call is
// cancelled before, the request is removed from the queue, or its lease ended.
func (p *Placement) handlePlace(ctx context.Context, entry ident.InstanceID, m *PlaceRequest) (proto.Message, error) {
	r, err := requestFromProto(m, p.now())
	if err != nil {
		return nil, err
	}
	dispatcher, err := p.dispatcher(dispatcherKey{ident.DomainID(m.GetDomain()), r.Model})
	if err != nil {
		return nil, err
	}
	answer := dispatcher.Submit(r, entry)
	select {
	case d := <-answer:
		reply, err := p.placeReply(d)
		p.logDecision(r, entry, reply, err)
		if err != nil {
			return nil, err
		}
		return reply, nil
	case <-ctx.Done():
		dispatcher.CancelSubmission(r.LeaseID(), answer)
		err := fault.From(ctx.Err()).WithRan(fault.NotRun)
		p.logDecision(r, entry, nil, err)
		return nil, err
	}
}

// logDecision logs the dispatcher's decision on a request. The instance that
// received the request logs it under the same id.
func (p *Placement) logDecision(r Request, entry ident.InstanceID, reply *PlaceReply, err error) {
	logger := level.Debug(log.With(p.log, "request", string(r.ID), "organisation", string(r.Organisation), "attempt", string(r.LeaseID()), "entry", string(entry)))
	switch {
	case err != nil:
		_ = logger.Log("msg", event.NotPlaced, "kind", fault.KindOf(err), "err", err)
	case reply.GetElsewhere() != "":
		_ = logger.Log("msg", event.Redirected, "to", reply.GetElsewhere())
	default:
		_ = logger.Log("msg", event.Placed, "prefill", reply.GetPrefill(), "decode", reply.GetDecode())
	}
}

// placeReply converts a decision to a reply message or an error.
func (p *Placement) placeReply(d Decision) (*PlaceReply, error) {
	switch {
	case d.Err != nil:
		return nil, d.Err
	case d.Grant == nil:
		p.metrics.redirected.Inc(1)
		return &PlaceReply{Elsewhere: string(d.RedirectTo)}, nil
	}
	return &PlaceReply{
		Prefill:      string(d.Grant.Prefill),
		Decode:       string(d.Grant.Decode),
		FirstTokenUs: microsecondsUntil(d.Grant.FirstToken, p.now()),
	}, nil
}

// handleEvents applies events of leases: prefills that are done, and leases that
// have ended.
func (p *Placement) handleEvents(_ context.Context, _ ident.InstanceID, m *EventsRequest) (proto.Message, error) {
	dispatcher, err := p.dispatcher(dispatcherKey{ident.DomainID(m.GetDomain()), ident.ModelID(m.GetModel())})
	if err != nil {
		return nil, err
	}
	for _, e := range m.GetEvents() {
		id := LeaseID(e.GetLease())
		if e.GetPrefillDone() {
			dispatcher.PrefillDone(id)
			continue
		}
		o := Outcome{Result: Result(e.GetResult()), OutputTokens: ident.Tokens(e.GetOutputTokens())}
		if o.Result == Cancelled {
			dispatcher.cancelWaiting(id)
		}
		dispatcher.Release(id, o)
	}
	return &EventsReply{}, nil
}

// handleOpenLeases lists the open leases of this instance that one dispatcher
// manages.
func (p *Placement) handleOpenLeases(_ context.Context, _ ident.InstanceID, m *HeldRequest) (proto.Message, error) {
	key := dispatcherKey{ident.DomainID(m.GetDomain()), ident.ModelID(m.GetModel())}
	reply := &HeldReply{}
	for _, h := range p.leaseRecords(func(k dispatcherKey) bool { return k == key }) {
		reply.Leases = append(reply.Leases, h.toProto(p.now()))
	}
	return reply, nil
}

// handleCapacity replies with the number of free slots of a dispatcher.
func (p *Placement) handleCapacity(_ context.Context, _ ident.InstanceID, m *RoomRequest) (proto.Message, error) {
	dispatcher, err := p.dispatcher(dispatcherKey{ident.DomainID(m.GetDomain()), ident.ModelID(m.GetModel())})
	if err != nil {
		return nil, err
	}
	return &RoomReply{FreeSlots: int32(dispatcher.Capacity().FreeSlots)}, nil
}

// sendEvents sends events to the current owner of a dispatcher.
func (p *Placement) sendEvents(ctx context.Context, key dispatcherKey, events []*Event) error {
	owner, ok := p.table.View().Owner(key.domain, key.ownerKey())
	if !ok {
		return fault.New(fault.PeerUnavailable, "no live instance in %s", key.domain)
	}
	req := &EventsRequest{Domain: string(key.domain), Model: string(key.model), Events: events}
	return p.links.Call(ctx, owner.ID, methodEvents, req, &EventsReply{})
}
