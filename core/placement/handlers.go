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
	link.Handle(p.links, methodHeld, p.handleHeld)
	link.Handle(p.links, methodRoom, p.handleRoom)
}

// handlePlace queues a request and answers when it is decided. When the caller
// goes first, the request leaves the queue or gives back its engines.
func (p *Placement) handlePlace(ctx context.Context, from ident.InstanceID, m *PlaceRequest) (proto.Message, error) {
	r, err := requestFrom(m, p.now())
	if err != nil {
		return nil, err
	}
	run, err := p.dispatcher(shardKey{ident.DomainID(m.GetDomain()), r.Model})
	if err != nil {
		return nil, err
	}
	answer := run.Submit(r, from)
	select {
	case d := <-answer:
		reply, err := p.placeReply(d)
		p.logDecision(r, from, reply, err)
		if err != nil {
			return nil, err
		}
		return reply, nil
	case <-ctx.Done():
		run.CancelSubmission(r.LeaseID(), answer)
		err := fault.From(ctx.Err()).WithRan(fault.NotRun)
		p.logDecision(r, from, nil, err)
		return nil, err
	}
}

// logDecision logs what became of a request at its dispatcher. The instance
// that the request came to logs it under the same id.
func (p *Placement) logDecision(r Request, from ident.InstanceID, reply *PlaceReply, err error) {
	logger := level.Debug(log.With(p.log, "request", string(r.ID), "organisation", string(r.Organisation), "attempt", string(r.LeaseID()), "entry", string(from)))
	switch {
	case err != nil:
		_ = logger.Log("msg", event.NotPlaced, "kind", fault.KindOf(err), "err", err)
	case reply.GetElsewhere() != "":
		_ = logger.Log("msg", event.SentElsewhere, "to", reply.GetElsewhere())
	default:
		_ = logger.Log("msg", event.Placed, "prefill", reply.GetPrefill(), "decode", reply.GetDecode())
	}
}

// placeReply returns a decision as a message.
func (p *Placement) placeReply(d Decision) (*PlaceReply, error) {
	switch {
	case d.Err != nil:
		return nil, d.Err
	case d.Grant == nil:
		p.metrics.moved.Inc(1)
		return &PlaceReply{Elsewhere: string(d.Elsewhere)}, nil
	}
	return &PlaceReply{
		Prefill:      string(d.Grant.Prefill),
		Decode:       string(d.Grant.Decode),
		FirstTokenUs: left(d.Grant.FirstToken, p.now()),
	}, nil
}

// handleEvents takes what became of attempts.
func (p *Placement) handleEvents(_ context.Context, _ ident.InstanceID, m *EventsRequest) (proto.Message, error) {
	run, err := p.dispatcher(shardKey{ident.DomainID(m.GetDomain()), ident.ModelID(m.GetModel())})
	if err != nil {
		return nil, err
	}
	for _, e := range m.GetEvents() {
		id := LeaseID(e.GetLease())
		if e.GetPrefillDone() {
			run.PrefillDone(id)
			continue
		}
		o := Outcome{Result: Result(e.GetResult()), OutputTokens: ident.Tokens(e.GetOutputTokens())}
		if o.Result == Cancelled {
			run.cancelWaiting(id)
		}
		run.Release(id, o)
	}
	return &EventsReply{}, nil
}

// handleHeld lists the open leases of this instance at one dispatcher.
func (p *Placement) handleHeld(_ context.Context, _ ident.InstanceID, m *HeldRequest) (proto.Message, error) {
	key := shardKey{ident.DomainID(m.GetDomain()), ident.ModelID(m.GetModel())}
	reply := &HeldReply{}
	for _, h := range p.heldFor(func(k shardKey) bool { return k == key }) {
		reply.Leases = append(reply.Leases, h.message(p.now()))
	}
	return reply, nil
}

// handleRoom tells what a dispatcher could take.
func (p *Placement) handleRoom(_ context.Context, _ ident.InstanceID, m *RoomRequest) (proto.Message, error) {
	run, err := p.dispatcher(shardKey{ident.DomainID(m.GetDomain()), ident.ModelID(m.GetModel())})
	if err != nil {
		return nil, err
	}
	return &RoomReply{FreeSlots: int32(run.Room().FreeSlots)}, nil
}

// sendEvents calls the instance that owns a dispatcher now.
func (p *Placement) sendEvents(ctx context.Context, key shardKey, events []*Event) error {
	owner, ok := p.table.View().Owner(key.domain, key.owner())
	if !ok {
		return fault.New(fault.PeerUnavailable, "no live instance in %s", key.domain)
	}
	req := &EventsRequest{Domain: string(key.domain), Model: string(key.model), Events: events}
	return p.links.Call(ctx, owner.ID, methodEvents, req, &EventsReply{})
}
