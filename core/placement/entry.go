package placement

import (
	"context"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Times of the entry side.
const (
	retryPause  = 20 * time.Millisecond // Between two tries to reach a dispatcher.
	roomTimeout = 50 * time.Millisecond
)

// Place waits until the request has engines. On an error the request has not
// run. Errors have the kinds Overloaded, NoEndpoint, CallerGone,
// DeadlineExceeded or BadRequest.
func (p *Placement) Place(ctx context.Context, r Request) (*Lease, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	start := p.now()
	defer func() { p.metrics.wait.UpdateSince(start) }()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	current := p.holder.Current()
	if current == nil {
		return nil, fault.New(fault.NoEndpoint, "no configuration yet")
	}
	if current.Text.Policy.Placement != text.Paired {
		return p.baseline.place(current.Text, r)
	}
	lease, err := p.placePaired(ctx, current.Text, r)
	if err != nil {
		p.metrics.refused.Inc(1)
		return nil, fault.From(err).WithRan(fault.NotRun)
	}
	p.metrics.placed.Inc(1)
	return lease, nil
}

// route is the way of one request through the dispatchers.
type route struct {
	domain ident.DomainID
	moves  int // Changes of domain so far.
}

// maxMoves bounds the changes of domain of one request: to another one, and
// back.
const maxMoves = 2

// placePaired asks the dispatcher of the own domain first. The request goes to
// another domain when that one has no engine, or says who has room.
func (p *Placement) placePaired(ctx context.Context, t *text.Text, r Request) (*Lease, error) {
	way := route{domain: p.domain}
	if !serves(t, p.domain, r.Model) {
		way.domain = p.roomiest(ctx, t, r.Model)
		r.Forwarded = true
	}
	if way.domain == "" {
		return nil, fault.New(fault.NoEndpoint, "no engines serve %s", r.Model).WithRetryAfter(p.now().Add(retryFloor))
	}
	for {
		reply, err := p.ask(ctx, way.domain, r)
		switch {
		case err == nil && reply.GetElsewhere() == "":
			return p.leaseFrom(t, way.domain, r, reply)
		case err == nil:
			way.domain = ident.DomainID(reply.GetElsewhere())
			way.moves++
			r.Forwarded = true
		case ctx.Err() != nil:
			p.abandon(way.domain, r)
			return nil, ctx.Err()
		case way.domain != p.domain && way.moves == 1 && p.hopeful(r):
			// The room or its dispatcher was gone: back home, to stay there.
			p.abandon(way.domain, r)
			way = route{domain: p.domain, moves: maxMoves}
		case retryable(err) && p.hopeful(r):
			if !pause(ctx, retryPause) {
				p.abandon(way.domain, r)
				return nil, ctx.Err()
			}
		case fault.Is(err, fault.Overloaded) || fault.Is(err, fault.NoEndpoint):
			return nil, err
		default:
			p.abandon(way.domain, r)
			return nil, err
		}
	}
}

// retryable reports whether another try may find the dispatcher.
func retryable(err error) bool {
	return fault.Is(err, fault.NotHolder) || fault.Is(err, fault.PeerUnavailable)
}

// hopeful reports whether time is left to place the request.
func (p *Placement) hopeful(r Request) bool {
	if r.FirstTokenDeadline.IsZero() {
		return p.now().Before(r.Deadline)
	}
	return p.now().Before(r.FirstTokenDeadline)
}

// ask calls the dispatcher of a domain, and waits for its decision.
func (p *Placement) ask(ctx context.Context, domain ident.DomainID, r Request) (*PlaceReply, error) {
	key := shardKey{domain, r.Model}
	owner, ok := p.table.View().Owner(domain, key.owner())
	if !ok {
		return nil, fault.New(fault.PeerUnavailable, "no live instance in %s", domain)
	}
	reply := &PlaceReply{}
	err := p.links.Call(ctx, owner.ID, methodPlace, r.message(domain, p.now()), reply)
	return reply, err
}

// abandon tells a dispatcher that a request is no longer wanted, in case its
// grant was lost on the way.
func (p *Placement) abandon(domain ident.DomainID, r Request) {
	p.outboxFor(shardKey{domain, r.Model}).put(&Event{Lease: string(r.LeaseID()), Result: int32(Cancelled)})
}

// leaseFrom makes the lease of a grant.
func (p *Placement) leaseFrom(t *text.Text, domain ident.DomainID, r Request, reply *PlaceReply) (*Lease, error) {
	prefill, ok := engineNamed(t, ident.EndpointID(reply.GetPrefill()))
	decode, ok2 := engineNamed(t, ident.EndpointID(reply.GetDecode()))
	if !ok || !ok2 {
		p.abandon(domain, r)
		return nil, fault.New(fault.NoEndpoint, "engines %s and %s are not in this instance's text", reply.GetPrefill(), reply.GetDecode())
	}
	key := shardKey{domain, r.Model}
	l := &Lease{
		ID: r.LeaseID(), Domain: domain, Prefill: prefill, Decode: decode,
		FirstToken: until(reply.GetFirstTokenUs(), p.now()),
		placement:  p,
		outbox:     p.outboxFor(key),
		held: Held{
			Lease: r.LeaseID(), Holder: p.self, Organisation: r.Organisation,
			Prefill: prefill.Name, Decode: decode.Name,
			PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Deadline: r.Deadline,
		},
	}
	p.remember(key, l)
	return l, nil
}

// roomiest asks all other domains that serve a model, and returns the one with
// the most room; any that serves it when none answers; or "".
func (p *Placement) roomiest(ctx context.Context, t *text.Text, model ident.ModelID) ident.DomainID {
	var best ident.DomainID
	most := -1
	for _, r := range p.rooms(ctx, t, model) {
		if r.FreeSlots > most {
			best, most = r.Domain, r.FreeSlots
		}
	}
	if best != "" {
		return best
	}
	for _, d := range t.Domains {
		if d != p.domain && serves(t, d, model) {
			return d
		}
	}
	return ""
}

// rooms asks the dispatchers of all other domains that serve a model.
func (p *Placement) rooms(ctx context.Context, t *text.Text, model ident.ModelID) []Room {
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	answers := make(chan *Room, len(t.Domains))
	asked := 0
	for _, d := range t.Domains {
		if d == p.domain || !serves(t, d, model) {
			continue
		}
		asked++
		go func() { answers <- p.askRoom(ctx, shardKey{d, model}) }()
	}
	var list []Room
	for range asked {
		if r := <-answers; r != nil {
			list = append(list, *r)
		}
	}
	return list
}

// askRoom asks one dispatcher. It returns nil when there is no answer.
func (p *Placement) askRoom(ctx context.Context, key shardKey) *Room {
	owner, ok := p.table.View().Owner(key.domain, key.owner())
	if !ok {
		return nil
	}
	reply := &RoomReply{}
	req := &RoomRequest{Domain: string(key.domain), Model: string(key.model)}
	if err := p.links.Call(ctx, owner.ID, methodRoom, req, reply); err != nil {
		return nil
	}
	return &Room{Domain: key.domain, FreeSlots: int(reply.GetFreeSlots())}
}

// enginesOf returns the engines of a domain that serve a model.
func enginesOf(t *text.Text, domain ident.DomainID, model ident.ModelID) []text.Engine {
	var list []text.Engine
	for _, e := range t.Engines {
		if e.Domain == domain && servesModel(e, model) {
			list = append(list, e)
		}
	}
	return list
}

// servesModel reports whether an engine serves a model.
func servesModel(e text.Engine, model ident.ModelID) bool {
	for _, m := range e.Models {
		if m == model {
			return true
		}
	}
	return false
}

// serves reports whether a domain has engines of both roles for a model.
func serves(t *text.Text, domain ident.DomainID, model ident.ModelID) bool {
	var found [2]bool
	for _, e := range t.Engines {
		if e.Domain == domain && e.State == text.Serving && servesModel(e, model) {
			found[e.Role] = true
		}
	}
	return found[text.Prefill] && found[text.Decode]
}

// engineNamed returns an engine of the text.
func engineNamed(t *text.Text, id ident.EndpointID) (text.Engine, bool) {
	for _, e := range t.Engines {
		if e.Name == id {
			return e, true
		}
	}
	return text.Engine{}, false
}
