package budget

import (
	"context"
	"time"

	"monsoonfork/core/ident"
)

// drainTimeout bounds the transfer of slots and tokens in a planned stop.
const drainTimeout = 5 * time.Second

// run starts the background loops.
func (b *Budget) run() {
	b.ctx, b.cancel = context.WithCancel(context.Background())
	for _, loop := range []func(context.Context){b.slots.claimLoop, b.slots.announceLoop, b.cleanupLoop} {
		b.wg.Add(1)
		go func() {
			defer b.wg.Done()
			loop(b.ctx)
		}()
	}
}

// Close stops the background loops and waits for them and for calls in
// progress.
func (b *Budget) Close() error {
	b.cancel()
	b.wg.Wait()
	b.collector.close()
	return b.admissions.close()
}

// Drain releases the slots held here and offers the tokens to the instances
// that own the accounts next. All requests must have ended before.
func (b *Budget) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	b.slots.releaseAll(ctx)
	b.offerTokens(ctx)
	return nil
}

// cleanupLoop drops expired state, and offers the tokens of organisations
// that another instance owns now to that instance, until ctx ends.
func (b *Budget) cleanupLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(cleanupInterval):
		}
		b.accounts.dropExpired(b.clock.Now().ExpiryTime)
		b.offerTokens(ctx)
	}
}

// offerTokens notifies the new owners of organisations that there are tokens
// here. The new owners fetch the tokens by a request of their own, so that
// the time in transit counts towards the tokens' age.
func (b *Budget) offerTokens(ctx context.Context) {
	v := b.view()
	byOwner := make(map[ident.InstanceID][]string)
	for _, org := range b.accounts.organisationsWithTokens() {
		owner, ok := v.Owner(b.domain, string(org))
		if ok && owner.ID != b.self {
			byOwner[owner.ID] = append(byOwner[owner.ID], string(org))
		}
	}
	for owner, orgs := range byOwner {
		_ = b.call(ctx, announceTimeout, owner, methodOffer, &OfferRequest{Organisations: orgs}, &Done{})
	}
}

// pullTokens fetches the tokens that a previous owner offers.
func (b *Budget) pullTokens(ctx context.Context, from ident.InstanceID, req *OfferRequest) error {
	sentAt := b.clock.Now()
	reply := &TakeReply{}
	err := b.call(ctx, announceTimeout, from, methodPull, &TakeRequest{Organisations: req.GetOrganisations()}, reply)
	if err != nil {
		return err
	}
	for _, s := range reply.GetStocks() {
		b.accounts.addTokens(ident.OrganisationID(s.GetOrganisation()), b.decodeStock(from, s, sentAt.ExpiryTime))
	}
	return nil
}

// collectHeldSlot moves the tokens that a held slot has minted to the
// accounts on this instance.
func (b *Budget) collectHeldSlot(number int) {
	now := b.clock.Now()
	reply := b.slots.collectSlot(now, number, b.organisations())
	for _, s := range reply {
		b.accounts.addTokens(ident.OrganisationID(s.GetOrganisation()), b.decodeStock(b.self, s, now.ExpiryTime))
	}
}
