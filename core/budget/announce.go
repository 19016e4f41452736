package budget

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
	"monsoonfork/core/membership"
)

// announceLoop tells the members of the domain which slots are held here, and
// gathers their promises, until ctx ends.
func (k *keeper) announceLoop(ctx context.Context) {
	for {
		k.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(k.announcePause()):
		}
	}
}

// announcePause returns the time to the next round: shorter while a slot lives
// on promises alone.
func (k *keeper) announcePause() time.Duration {
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range k.held {
		if !h.announced || now.Age >= h.tenure.renewedUntil.Add(-leaseLength/2) {
			return announceUrgent
		}
	}
	return announceEvery
}

// announce does one round.
func (k *keeper) announce(ctx context.Context) {
	req := k.startRound()
	if len(req.Held) == 0 {
		return
	}
	others := k.mayLive()
	var wg sync.WaitGroup
	for _, m := range others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k.announceTo(ctx, m.ID, req)
		}()
	}
	wg.Wait()
	k.endRound(req)
}

// startRound notes lapses and returns the announcement.
func (k *keeper) startRound() *AnnounceRequest {
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Age >= k.lastRound.Add(silentAfter) {
		// This process may have been paused: silence before now says nothing.
		clear(k.failing)
		k.awakeAt = now.Age
	}
	k.lastRound = now.Age
	req := &AnnounceRequest{}
	for number, h := range k.held {
		h.tenure.checkLapse(now.Age)
		req.Held = append(req.Held, &SlotClaim{Slot: int32(number), Epoch: int64(h.record.Epoch)})
	}
	return req
}

// mayLive returns the other members of the domain that have not ended for sure.
func (k *keeper) mayLive() []membership.Member {
	v := k.b.view()
	var list []membership.Member
	for _, m := range v.Members() {
		if m.Domain == v.Self.Domain && m.ID != k.b.self && m.State != membership.Gone {
			list = append(list, m)
		}
	}
	return list
}

// announceTo tells one member and records what it promises.
func (k *keeper) announceTo(ctx context.Context, to ident.InstanceID, req *AnnounceRequest) {
	asked := k.b.clock.Now()
	reply := &AnnounceReply{}
	err := k.b.call(ctx, announceTimeout, to, methodAnnounce, req, reply)
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		if _, ok := k.failing[to]; !ok {
			k.failing[to] = now.Age
		}
		return
	}
	delete(k.failing, to)
	refused := make(map[int]ident.Epoch)
	for _, c := range reply.GetRefused() {
		refused[int(c.GetSlot())] = ident.Epoch(c.GetEpoch())
	}
	for _, c := range req.GetHeld() {
		k.promised(to, c, refused, asked)
	}
}

// promised records a member's answer about one slot. k is locked.
func (k *keeper) promised(from ident.InstanceID, c *SlotClaim, refused map[int]ident.Epoch, asked Moment) {
	number := int(c.GetSlot())
	h, ok := k.held[number]
	if !ok || int64(h.record.Epoch) != c.GetEpoch() {
		return
	}
	newer, refuses := refused[number]
	if !refuses {
		h.tenure.promise(from, asked.Age)
		return
	}
	if newer > h.record.Epoch {
		k.lose(number, "taken over")
		k.sighting(number).epoch = newer
		return
	}
	if h.displaced != "" && h.tenure.lapsed {
		k.lose(number, "claimed by two members")
		k.sighting(number).heardAt = asked.Age
	}
}

// endRound works out the right of each slot that was announced.
func (k *keeper) endRound(req *AnnounceRequest) {
	members := k.mayLive()
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range req.GetHeld() {
		h, ok := k.held[int(c.GetSlot())]
		if !ok || int64(h.record.Epoch) != c.GetEpoch() {
			continue
		}
		h.announced = true
		if h.tenure.vouch(k.vouchers(members, h, now.Age), now.Age) {
			h.slot.Restart(now.Mint)
			_ = level.Info(k.b.log).Log("msg", event.SlotMinting, "slot", c.GetSlot())
		}
	}
}

// vouchers returns the members whose promises a held slot needs: all but those
// that have failed to answer for long. A slot that was claimed without the
// store also needs that every right that such a member may have had is over.
// k is locked.
func (k *keeper) vouchers(members []membership.Member, h *heldSlot, now Instant) []ident.InstanceID {
	patience := silentAfter
	if h.displaced != "" && h.tenure.lapsed {
		patience = leaseLength + leaseMargin
	}
	var list []ident.InstanceID
	for _, m := range members {
		since, fails := k.failing[m.ID]
		if m.State == membership.Silent && fails && now >= since.Add(patience) {
			continue
		}
		list = append(list, m.ID)
	}
	return list
}

// serveAnnounce answers the announcement of another holder of this domain.
func (k *keeper) serveAnnounce(from ident.InstanceID, req *AnnounceRequest) *AnnounceReply {
	now := k.b.clock.Now()
	reply := &AnnounceReply{}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range req.GetHeld() {
		number, epoch := int(c.GetSlot()), ident.Epoch(c.GetEpoch())
		s := k.sighting(number)
		if h, ok := k.held[number]; ok && epoch > h.record.Epoch {
			k.lose(number, "taken over")
		}
		if !s.asked(from, epoch, now.Age) {
			reply.Refused = append(reply.Refused, &SlotClaim{Slot: c.GetSlot(), Epoch: int64(s.epoch)})
		}
	}
	return reply
}

// serveRenew renews a slot in the store for its holder, which cannot reach it.
func (k *keeper) serveRenew(ctx context.Context, from ident.InstanceID, req *RenewRequest) error {
	number := int(req.GetSlot().GetSlot())
	stored, err := k.b.store.get(ctx, number)
	if err != nil {
		return err
	}
	r := stored.record
	if r.Holder != from || int64(r.Epoch) != req.GetSlot().GetEpoch() {
		return fault.New(fault.NotHolder, "slot %d is held by %s", number, r.Holder)
	}
	r.Beat++
	if k.b.store.swap(ctx, number, r, stored.version) != keyvalue.Written {
		return fault.New(fault.StoreUnavailable, "slot %d was not renewed", number)
	}
	return nil
}
