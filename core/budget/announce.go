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

// announceLoop announces the slots held here to the other instances of the
// failure domain (its members) and collects their promises not to claim these
// slots, until ctx ends.
func (k *slotManager) announceLoop(ctx context.Context) {
	for {
		k.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(k.nextAnnounceDelay()):
		}
	}
}

// nextAnnounceDelay returns the time until the next announcement. It is
// shorter while a slot has not been announced yet or its lease in the store
// is more than half used up, so that the slot may soon depend on promises
// alone.
func (k *slotManager) nextAnnounceDelay() time.Duration {
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range k.heldSlots {
		if !h.announced || now.ExpiryTime >= h.lease.storeUntil.Add(-leaseLength/2) {
			return urgentAnnounceInterval
		}
	}
	return announceInterval
}

// announce sends one announcement to every member that may be running, and
// evaluates the replies.
func (k *slotManager) announce(ctx context.Context) {
	req := k.startRound()
	if len(req.Held) == 0 {
		return
	}
	members := k.possiblyLiveMembers()
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k.announceTo(ctx, m.ID, req)
		}()
	}
	wg.Wait()
	k.endRound(req)
}

// startRound marks leases that have expired, and returns the announcement of
// all held slots.
func (k *slotManager) startRound() *AnnounceRequest {
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.ExpiryTime >= k.lastRoundAt.Add(unresponsiveAfter) {
		// This process may have been paused, so that earlier failures do not
		// show that a member is unreachable.
		clear(k.failingSince)
		k.runningSince = now.ExpiryTime
	}
	k.lastRoundAt = now.ExpiryTime
	req := &AnnounceRequest{}
	for number, h := range k.heldSlots {
		h.lease.checkExpiry(now.ExpiryTime)
		req.Held = append(req.Held, &SlotClaim{Slot: int32(number), Epoch: int64(h.record.Epoch)})
	}
	return req
}

// possiblyLiveMembers returns the other members of the domain, except those
// known to have ended.
func (k *slotManager) possiblyLiveMembers() []membership.Member {
	v := k.b.view()
	var list []membership.Member
	for _, m := range v.Members() {
		if m.Domain == v.Self.Domain && m.ID != k.b.self && m.State != membership.Gone {
			list = append(list, m)
		}
	}
	return list
}

// announceTo announces the held slots to one member and records its reply.
func (k *slotManager) announceTo(ctx context.Context, to ident.InstanceID, req *AnnounceRequest) {
	sentAt := k.b.clock.Now()
	reply := &AnnounceReply{}
	err := k.b.call(ctx, announceTimeout, to, methodAnnounce, req, reply)
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		if _, ok := k.failingSince[to]; !ok {
			k.failingSince[to] = now.ExpiryTime
		}
		return
	}
	delete(k.failingSince, to)
	refused := make(map[int]ident.Epoch)
	for _, c := range reply.GetRefused() {
		refused[int(c.GetSlot())] = ident.Epoch(c.GetEpoch())
	}
	for _, c := range req.GetHeld() {
		k.recordReply(to, c, refused, sentAt)
	}
}

// recordReply records whether a member promised not to claim one slot. A slot
// is given up if the member reports a newer epoch, or if two members have
// claimed it without the store. k is locked.
func (k *slotManager) recordReply(from ident.InstanceID, claim *SlotClaim, refused map[int]ident.Epoch, sentAt ClockReading) {
	number := int(claim.GetSlot())
	h, ok := k.heldSlots[number]
	if !ok || int64(h.record.Epoch) != claim.GetEpoch() {
		return
	}
	newerEpoch, wasRefused := refused[number]
	if !wasRefused {
		h.lease.recordPromise(from, sentAt.ExpiryTime)
		return
	}
	if newerEpoch > h.record.Epoch {
		k.dropSlot(number, "taken over")
		k.slotView(number).epoch = newerEpoch
		return
	}
	if h.previousHolder != "" && h.lease.expired {
		k.dropSlot(number, "claimed by two members")
		k.slotView(number).announcedAt = sentAt.ExpiryTime
	}
}

// endRound recomputes the lease of each announced slot from the promises
// received.
func (k *slotManager) endRound(req *AnnounceRequest) {
	members := k.possiblyLiveMembers()
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, claim := range req.GetHeld() {
		h, ok := k.heldSlots[int(claim.GetSlot())]
		if !ok || int64(h.record.Epoch) != claim.GetEpoch() {
			continue
		}
		h.announced = true
		if h.lease.applyPromises(k.requiredMembers(members, h, now.ExpiryTime), now.ExpiryTime) {
			h.slot.Restart(now.MintTime)
			_ = level.Info(k.b.log).Log("msg", event.SlotResumedMinting, "slot", claim.GetSlot())
		}
	}
}

// requiredMembers returns the members whose promises a held slot needs: all
// except those that have failed to answer for unresponsiveAfter. For a slot
// that was claimed without the store, a member must have failed to answer for
// a whole lease and its margin, so that any lease which that member may have
// had is over. k is locked.
func (k *slotManager) requiredMembers(members []membership.Member, h *heldSlot, now Instant) []ident.InstanceID {
	timeout := unresponsiveAfter
	if h.previousHolder != "" && h.lease.expired {
		timeout = leaseLength + leaseMargin
	}
	var list []ident.InstanceID
	for _, m := range members {
		failedAt, isFailing := k.failingSince[m.ID]
		if m.State == membership.Silent && isFailing && now >= failedAt.Add(timeout) {
			continue
		}
		list = append(list, m.ID)
	}
	return list
}

// serveAnnounce handles the announcement of another slot holder of this
// domain. Its reply lists the slots that this member does not promise to leave
// unclaimed.
func (k *slotManager) serveAnnounce(from ident.InstanceID, req *AnnounceRequest) *AnnounceReply {
	now := k.b.clock.Now()
	reply := &AnnounceReply{}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range req.GetHeld() {
		number, epoch := int(c.GetSlot()), ident.Epoch(c.GetEpoch())
		if !validSlot(number) {
			reply.Refused = append(reply.Refused, &SlotClaim{Slot: c.GetSlot()})
			k.logInvalidSlot(from, number)
			continue
		}
		s := k.slotView(number)
		if h, ok := k.heldSlots[number]; ok && epoch > h.record.Epoch {
			k.dropSlot(number, "taken over")
		}
		if !s.recordAnnouncement(from, epoch, now.ExpiryTime) {
			reply.Refused = append(reply.Refused, &SlotClaim{Slot: c.GetSlot(), Epoch: int64(s.epoch)})
		}
	}
	return reply
}

// serveRenew renews a slot in the store on behalf of its holder, which cannot
// reach the store itself.
func (k *slotManager) serveRenew(ctx context.Context, from ident.InstanceID, req *RenewRequest) error {
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
		return fault.New(fault.StoreUnavailable, "the renewal of slot %d is not known to have been written to the store", number)
	}
	return nil
}
