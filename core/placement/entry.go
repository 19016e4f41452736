package placement

import (
	"context"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Times used by the instance that receives a request (the entry).
const (
	retryInterval   = 20 * time.Millisecond // Between two calls to an unreachable dispatcher.
	capacityTimeout = 50 * time.Millisecond
)

// Place waits until the request has a prefill and a decode engine reserved. On an
// error the request has not run. Errors have the kinds Overloaded, NoEndpoint,
// CallerGone, DeadlineExceeded or BadRequest.
func (p *Placement) Place(ctx context.Context, r Request) (*Lease, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	start := p.now()
	defer func() { p.metrics.wait.UpdateSince(start) }()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	current := p.configHolder.Current()
	if current == nil {
		return nil, fault.New(fault.NoEndpoint, "the instance has no configuration yet")
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

// destination is the dispatcher that a request is sent to.
type destination struct {
	domain    ident.DomainID
	redirects int // Number of changes of domain so far.
}

// maxRedirects is the maximum number of changes of domain of one request: to
// another domain and back.
const maxRedirects = 2

// placePaired sends the request to the dispatcher of the instance's own domain
// first. It sends the request to another domain if the own one does not serve the
// model, or if the dispatcher redirects it to a domain with free slots.
func (p *Placement) placePaired(ctx context.Context, t *text.Text, r Request) (*Lease, error) {
	dest := destination{domain: p.domain}
	if !servesBothRoles(t, p.domain, r.Model) {
		dest.domain = p.domainWithMostFreeSlots(ctx, t, r.Model)
		r.Forwarded = true
	}
	if dest.domain == "" {
		return nil, fault.New(fault.NoEndpoint, "no engines serve %s", r.Model).WithRetryAfter(p.now().Add(minRetryAfter))
	}
	for {
		reply, err := p.callDispatcher(ctx, dest.domain, r)
		switch {
		case err == nil && reply.GetElsewhere() == "":
			return p.leaseFromReply(t, dest.domain, r, reply)
		case err == nil:
			dest.domain = ident.DomainID(reply.GetElsewhere())
			dest.redirects++
			r.Forwarded = true
		case ctx.Err() != nil:
			p.sendCancel(dest.domain, r)
			return nil, ctx.Err()
		case dest.domain != p.domain && dest.redirects == 1 && p.hasTimeLeft(r):
			// The other domain could not place the request, or its dispatcher could
			// not be reached. The request returns to the own domain and stays there.
			p.sendCancel(dest.domain, r)
			dest = destination{domain: p.domain, redirects: maxRedirects}
		case retryable(err) && p.hasTimeLeft(r):
			if !sleep(ctx, retryInterval) {
				p.sendCancel(dest.domain, r)
				return nil, ctx.Err()
			}
		case fault.Is(err, fault.Overloaded) || fault.Is(err, fault.NoEndpoint):
			return nil, err
		default:
			p.sendCancel(dest.domain, r)
			return nil, err
		}
	}
}

// retryable reports whether the call may succeed when it is repeated, at the new
// owner of the dispatcher or after a connection failure.
func retryable(err error) bool {
	return fault.Is(err, fault.NotHolder) || fault.Is(err, fault.PeerUnavailable)
}

// hasTimeLeft reports whether the request can still be placed before its
// first-token deadline, or before its overall deadline if it has no other.
func (p *Placement) hasTimeLeft(r Request) bool {
	if r.FirstTokenDeadline.IsZero() {
		return p.now().Before(r.Deadline)
	}
	return p.now().Before(r.FirstTokenDeadline)
}

// callDispatcher submits the request to the dispatcher of a domain and waits for
// the decision.
func (p *Placement) callDispatcher(ctx context.Context, domain ident.DomainID, r Request) (*PlaceReply, error) {
	key := dispatcherKey{domain, r.Model}
	owner, ok := p.table.View().Owner(domain, key.ownerKey())
	if !ok {
		return nil, fault.New(fault.PeerUnavailable, "no live instance in %s", domain)
	}
	reply := &PlaceReply{}
	err := p.links.Call(ctx, owner.ID, methodPlace, r.toProto(domain, p.now()), reply)
	return reply, err
}

// sendCancel sends a cancellation to a dispatcher that may have queued or granted
// the request although no reply was received.
func (p *Placement) sendCancel(domain ident.DomainID, r Request) {
	p.outboxFor(dispatcherKey{domain, r.Model}).enqueue(&Event{Lease: string(r.LeaseID()), Result: int32(Cancelled)})
}

// leaseFromReply returns the lease for a granted request. If an engine is missing
// from this instance's configuration, the grant is cancelled.
func (p *Placement) leaseFromReply(t *text.Text, domain ident.DomainID, r Request, reply *PlaceReply) (*Lease, error) {
	prefill, ok := findEngine(t, ident.EndpointID(reply.GetPrefill()))
	decode, ok2 := findEngine(t, ident.EndpointID(reply.GetDecode()))
	if !ok || !ok2 {
		p.sendCancel(domain, r)
		return nil, fault.New(fault.NoEndpoint, "engine %s or %s is missing from this instance's configuration", reply.GetPrefill(), reply.GetDecode())
	}
	key := dispatcherKey{domain, r.Model}
	l := &Lease{
		ID: r.LeaseID(), Domain: domain, Prefill: prefill, Decode: decode,
		FirstToken: timeFromNow(reply.GetFirstTokenUs(), p.now()),
		placement:  p,
		outbox:     p.outboxFor(key),
		record: LeaseRecord{
			Lease: r.LeaseID(), Holder: p.self, Organisation: r.Organisation,
			Prefill: prefill.Name, Decode: decode.Name,
			PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Deadline: r.Deadline,
		},
	}
	p.addLease(key, l)
	return l, nil
}

// domainWithMostFreeSlots returns the other domain that serves the model and
// reports the most free slots; if none answers, the first one that serves it; or
// "" if there is none.
func (p *Placement) domainWithMostFreeSlots(ctx context.Context, t *text.Text, model ident.ModelID) ident.DomainID {
	var best ident.DomainID
	most := -1
	for _, r := range p.queryCapacities(ctx, t, model) {
		if r.FreeSlots > most {
			best, most = r.Domain, r.FreeSlots
		}
	}
	if best != "" {
		return best
	}
	for _, d := range t.Domains {
		if d != p.domain && servesBothRoles(t, d, model) {
			return d
		}
	}
	return ""
}

// queryCapacities asks the dispatchers of all other domains that serve a model
// for their free slots. Dispatchers that do not answer in time are left out.
func (p *Placement) queryCapacities(ctx context.Context, t *text.Text, model ident.ModelID) []Capacity {
	ctx, cancel := context.WithTimeout(ctx, capacityTimeout)
	defer cancel()
	answers := make(chan *Capacity, len(t.Domains))
	queried := 0
	for _, d := range t.Domains {
		if d == p.domain || !servesBothRoles(t, d, model) {
			continue
		}
		queried++
		go func() { answers <- p.queryCapacity(ctx, dispatcherKey{d, model}) }()
	}
	var list []Capacity
	for range queried {
		if r := <-answers; r != nil {
			list = append(list, *r)
		}
	}
	return list
}

// queryCapacity asks one dispatcher for its free slots. It returns nil if there is
// no answer.
func (p *Placement) queryCapacity(ctx context.Context, key dispatcherKey) *Capacity {
	owner, ok := p.table.View().Owner(key.domain, key.ownerKey())
	if !ok {
		return nil
	}
	reply := &RoomReply{}
	req := &RoomRequest{Domain: string(key.domain), Model: string(key.model)}
	if err := p.links.Call(ctx, owner.ID, methodCapacity, req, reply); err != nil {
		return nil
	}
	return &Capacity{Domain: key.domain, FreeSlots: int(reply.GetFreeSlots())}
}

// enginesOf returns the configured engines of a domain that serve a model.
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

// servesBothRoles reports whether a domain has a prefill and a decode engine in
// service for a model.
func servesBothRoles(t *text.Text, domain ident.DomainID, model ident.ModelID) bool {
	var found [2]bool
	for _, e := range t.Engines {
		if e.Domain == domain && e.State == text.Serving && servesModel(e, model) {
			found[e.Role] = true
		}
	}
	return found[text.Prefill] && found[text.Decode]
}

// findEngine returns the configured engine with the given id.
func findEngine(t *text.Text, id ident.EndpointID) (text.Engine, bool) {
	for _, e := range t.Engines {
		if e.Name == id {
			return e, true
		}
	}
	return text.Engine{}, false
}
