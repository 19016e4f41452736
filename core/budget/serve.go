package budget

import (
	"context"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// register adds the methods to the links.
func (b *Budget) register(l *link.Links) {
	link.Handle(l, methodAdmit, b.serveAdmit)
	link.Handle(l, methodSettle, b.serveSettle)
	link.Handle(l, methodTake, b.serveTake)
	link.Handle(l, methodSpare, b.serveSpare)
	link.Handle(l, methodOffer, b.serveOffer)
	link.Handle(l, methodPull, b.servePull)
	link.Handle(l, methodAnnounce, b.serveAnnounce)
	link.Handle(l, methodRenew, b.serveRenew)
	link.Handle(l, methodReleased, b.serveReleased)
}

// serveAdmit charges an organisation for another instance of the domain.
func (b *Budget) serveAdmit(ctx context.Context, _ ident.InstanceID, req *AdmitRequest) (proto.Message, error) {
	org, cost := ident.OrganisationID(req.GetOrganisation()), ident.Tokens(req.GetTokens())
	limit, err := b.check(org, cost)
	if err != nil {
		return nil, err
	}
	c, err := b.home.admit(ctx, org, limit, cost)
	if err != nil {
		return nil, err
	}
	return &AdmitReply{Reservation: c.id, RefundNs: c.refundFor.Nanoseconds()}, nil
}

// serveSettle closes a reservation.
func (b *Budget) serveSettle(_ context.Context, _ ident.InstanceID, req *SettleRequest) (proto.Message, error) {
	b.home.settle(ident.OrganisationID(req.GetOrganisation()), req.GetReservation(), ident.Tokens(req.GetUsedTokens()))
	return &Done{}, nil
}

// serveTake hands out what the slots held here have minted.
func (b *Budget) serveTake(_ context.Context, _ ident.InstanceID, req *TakeRequest) (proto.Message, error) {
	return b.keeper.take(b.clock.Now(), req), nil
}

// serveSpare gives tokens to a home in another domain.
func (b *Budget) serveSpare(ctx context.Context, _ ident.InstanceID, req *SpareRequest) (proto.Message, error) {
	org := ident.OrganisationID(req.GetOrganisation())
	limit, ok := b.limits(org)
	if !ok {
		return nil, fault.New(fault.NotFound, "organisation %s is not known here", org)
	}
	given, left := b.home.spare(ctx, org, limit, req.GetTokens())
	return &SpareReply{Stock: stock(org, b.clock.Now().Age, given), Left: left}, nil
}

// serveOffer pulls the tokens that a former home offers.
func (b *Budget) serveOffer(ctx context.Context, from ident.InstanceID, req *OfferRequest) (proto.Message, error) {
	return &Done{}, b.pull(ctx, from, req)
}

// servePull hands all tokens of some organisations to their next home.
func (b *Budget) servePull(_ context.Context, _ ident.InstanceID, req *TakeRequest) (proto.Message, error) {
	reply := &TakeReply{}
	for _, name := range req.GetOrganisations() {
		org := ident.OrganisationID(name)
		limit, ok := b.limits(org)
		if !ok {
			continue
		}
		intervals := b.home.empty(org, limit)
		reply.Stocks = append(reply.Stocks, stock(org, b.clock.Now().Age, intervals))
	}
	return reply, nil
}

// serveAnnounce answers a holder of slots of this domain.
func (b *Budget) serveAnnounce(_ context.Context, from ident.InstanceID, req *AnnounceRequest) (proto.Message, error) {
	return b.keeper.serveAnnounce(from, req), nil
}

// serveRenew renews a slot in the store for its holder.
func (b *Budget) serveRenew(ctx context.Context, from ident.InstanceID, req *RenewRequest) (proto.Message, error) {
	return &Done{}, b.keeper.serveRenew(ctx, from, req)
}

// serveReleased notes that a slot is free.
func (b *Budget) serveReleased(_ context.Context, _ ident.InstanceID, req *ReleasedRequest) (proto.Message, error) {
	b.keeper.serveReleased(req)
	return &Done{}, nil
}
