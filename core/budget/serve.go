package budget

import (
	"context"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// register registers the handlers for calls of other instances.
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

// serveAdmit charges an organisation on behalf of another instance of the
// domain.
func (b *Budget) serveAdmit(ctx context.Context, _ ident.InstanceID, req *AdmitRequest) (proto.Message, error) {
	org, cost := ident.OrganisationID(req.GetOrganisation()), ident.Tokens(req.GetTokens())
	limit, err := b.checkCost(org, cost)
	if err != nil {
		return nil, err
	}
	c, err := b.accounts.admit(ctx, org, limit, cost)
	if err != nil {
		return nil, err
	}
	return &AdmitReply{Reservation: c.reservationID, RefundNs: c.refundableFor.Nanoseconds()}, nil
}

// serveSettle closes a reservation and refunds its unused tokens.
func (b *Budget) serveSettle(_ context.Context, _ ident.InstanceID, req *SettleRequest) (proto.Message, error) {
	b.accounts.settle(ident.OrganisationID(req.GetOrganisation()), req.GetReservation(), ident.Tokens(req.GetUsedTokens()))
	return &Done{}, nil
}

// serveTake hands out the tokens that the slots held here have minted.
func (b *Budget) serveTake(_ context.Context, _ ident.InstanceID, req *TakeRequest) (proto.Message, error) {
	return b.slots.collect(b.clock.Now(), req), nil
}

// serveSpare lends tokens to the owner of the organisation's account in
// another domain.
func (b *Budget) serveSpare(ctx context.Context, _ ident.InstanceID, req *SpareRequest) (proto.Message, error) {
	org := ident.OrganisationID(req.GetOrganisation())
	limit, ok := b.limits(org)
	if !ok {
		return nil, fault.New(fault.NotFound, "organisation %s has no rate in the configuration of this instance", org)
	}
	if inRange := req.GetTokens() >= 0 && req.GetTokens() <= maxLoanTokens; !inRange { // Also if it is not a number.
		return nil, fault.New(fault.BadRequest, "%v tokens are requested", req.GetTokens())
	}
	given, left := b.accounts.lend(ctx, org, limit, req.GetTokens())
	return &SpareReply{Stock: encodeStock(org, b.clock.Now().ExpiryTime, given), Left: left}, nil
}

// serveOffer pulls the tokens that the previous owner of some organisations
// offers.
func (b *Budget) serveOffer(ctx context.Context, from ident.InstanceID, req *OfferRequest) (proto.Message, error) {
	return &Done{}, b.pullTokens(ctx, from, req)
}

// servePull hands out all tokens of some organisations to their new owner.
func (b *Budget) servePull(_ context.Context, _ ident.InstanceID, req *TakeRequest) (proto.Message, error) {
	reply := &TakeReply{}
	for _, name := range req.GetOrganisations() {
		org := ident.OrganisationID(name)
		limit, ok := b.limits(org)
		if !ok {
			continue
		}
		intervals := b.accounts.withdrawAll(org, limit)
		reply.Stocks = append(reply.Stocks, encodeStock(org, b.clock.Now().ExpiryTime, intervals))
	}
	return reply, nil
}

// serveAnnounce handles the announcement of slots held by another member of
// the domain.
func (b *Budget) serveAnnounce(_ context.Context, from ident.InstanceID, req *AnnounceRequest) (proto.Message, error) {
	return b.slots.serveAnnounce(from, req), nil
}

// serveRenew renews a slot in the store on behalf of its holder.
func (b *Budget) serveRenew(ctx context.Context, from ident.InstanceID, req *RenewRequest) (proto.Message, error) {
	return &Done{}, b.slots.serveRenew(ctx, from, req)
}

// serveReleased handles the notification that a slot is free.
func (b *Budget) serveReleased(_ context.Context, from ident.InstanceID, req *ReleasedRequest) (proto.Message, error) {
	b.slots.serveReleased(from, req)
	return &Done{}, nil
}
