package budget

import (
	"context"
	"time"

	"monsoonfork/core/ident"
)

// drainTimeout bounds the handing over of tokens and slots in a planned stop.
const drainTimeout = 5 * time.Second

// run starts the loops.
func (b *Budget) run() {
	b.ctx, b.cancel = context.WithCancel(context.Background())
	for _, loop := range []func(context.Context){b.keeper.claimLoop, b.keeper.announceLoop, b.tidyLoop} {
		b.wg.Add(1)
		go func() {
			defer b.wg.Done()
			loop(b.ctx)
		}()
	}
}

// Close stops the loops and waits for them and for calls under way.
func (b *Budget) Close() error {
	b.cancel()
	b.wg.Wait()
	b.takers.close()
	return b.admissions.close()
}

// Drain gives up the slots held here and hands the tokens over to the next
// homes. The caller has ended all requests before.
func (b *Budget) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	b.keeper.releaseAll(ctx)
	b.offer(ctx)
	return nil
}

// tidyLoop drops what has expired, and hands over the tokens of organisations
// that have another home now, until ctx ends.
func (b *Budget) tidyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(tidyEvery):
		}
		b.home.tidy(b.clock.Now().Age)
		b.offer(ctx)
	}
}

// offer tells the new homes of organisations that there are tokens here. They
// pull them, so that the time on the way counts as age.
func (b *Budget) offer(ctx context.Context) {
	v := b.view()
	byHome := make(map[ident.InstanceID][]string)
	for _, org := range b.home.stocked() {
		owner, ok := v.Owner(b.domain, string(org))
		if ok && owner.ID != b.self {
			byHome[owner.ID] = append(byHome[owner.ID], string(org))
		}
	}
	for home, orgs := range byHome {
		_ = b.call(ctx, announceTimeout, home, methodOffer, &OfferRequest{Organisations: orgs}, &Done{})
	}
}

// pull fetches the tokens that a former home offers.
func (b *Budget) pull(ctx context.Context, from ident.InstanceID, req *OfferRequest) error {
	asked := b.clock.Now()
	reply := &TakeReply{}
	err := b.call(ctx, announceTimeout, from, methodPull, &TakeRequest{Organisations: req.GetOrganisations()}, reply)
	if err != nil {
		return err
	}
	for _, s := range reply.GetStocks() {
		intervals, err := intervalsFrom(s, asked.Age)
		if err != nil {
			return err
		}
		b.home.add(ident.OrganisationID(s.GetOrganisation()), intervals)
	}
	return nil
}

// drainSlot moves what a held slot has minted to the home here.
func (b *Budget) drainSlot(number int) {
	now := b.clock.Now()
	reply := b.keeper.takeFrom(now, number, b.orgs())
	for _, s := range reply {
		if intervals, err := intervalsFrom(s, now.Age); err == nil {
			b.home.add(ident.OrganisationID(s.GetOrganisation()), intervals)
		}
	}
}
