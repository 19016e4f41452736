package budget

import (
	"context"
	"fmt"
	"sync"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
	"monsoonfork/core/membership"
)

// Intervals, delays and limits for claiming and renewing slots.
const (
	claimInterval = time.Second
	renewInterval = 2 * time.Second
	// A slot that was not announced for this long may be without a holder.
	unannouncedAfter = 2500 * time.Millisecond
	// Additional wait of each lower-ranked candidate before it claims a slot.
	rankDelay         = 10 * time.Second
	endedRankDelay    = 2 * time.Second  // The same if the holder's process is known to have ended.
	minOwnerAge       = 10 * time.Second // A new member gets the slots that it owns once it has run this long.
	minHoldTime       = 30 * time.Second // A slot is not moved to its owner sooner after it was claimed.
	initialClaimDelay = time.Second      // Between the start and the first claim.
	storeTimeout      = 1500 * time.Millisecond
	maxRelayAttempts  = 2 // Members that are asked to renew one slot in the store.
)

// claimLoop renews the held slots, claims slots without a holder, and
// releases slots that this instance should not hold, until ctx ends.
func (k *slotManager) claimLoop(ctx context.Context) {
	for {
		k.renewAll(ctx)
		k.claimFree(ctx)
		k.rebalance(ctx)
		select {
		case <-ctx.Done():
			return
		case <-k.b.wakeClaimLoop:
		case <-time.After(claimInterval):
		}
	}
}

// slotKey returns the rendezvous hashing key that determines the owner of a
// slot.
func slotKey(number int) string { return fmt.Sprintf("Budget.Slot.%d", number) }

// renewAll renews the held slots that are due, concurrently.
func (k *slotManager) renewAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, number := range k.dueForRenewal() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k.renew(ctx, number)
		}()
	}
	wg.Wait()
}

// dueForRenewal returns the numbers of the held slots that are due.
func (k *slotManager) dueForRenewal() []int {
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var numbers []int
	for number, h := range k.heldSlots {
		if now.ExpiryTime >= h.lease.storeUntil.Add(renewInterval-leaseLength) {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// renew renews one slot in the store. If this fails, it asks other members to
// do so.
func (k *slotManager) renew(ctx context.Context, number int) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := k.b.store.get(ctx, number)
	now := k.b.clock.Now()
	k.mu.Lock()
	h, ok := k.heldSlots[number]
	if !ok {
		k.mu.Unlock()
		return
	}
	epoch := h.record.Epoch
	isHolder := stored.record.Holder == k.b.self && stored.record.Epoch == epoch
	if err == nil && !isHolder && !k.maySupersede(h, stored.record) {
		k.dropSlot(number, "another holder in the store")
		k.mu.Unlock()
		return
	}
	if err == nil && isHolder {
		h.previousHolder = ""
		h.recordStoreRead(stored, now.ExpiryTime)
	}
	mayRelay := h.previousHolder == ""
	k.mu.Unlock()
	if (err != nil || !k.writeRenewal(ctx, number, epoch, stored)) && mayRelay {
		k.renewViaMembers(ctx, number, epoch)
	}
}

// maySupersede reports whether a slot that was claimed without the store may
// replace the record in the store: one with an older epoch whose holder is
// this instance or a process that has ended. k is locked.
func (k *slotManager) maySupersede(h *heldSlot, r slotRecord) bool {
	if h.previousHolder == "" || r.Epoch >= h.record.Epoch {
		return false
	}
	return r.Holder == k.b.self || r.Holder == h.previousHolder || k.b.ended(r.Holder)
}

// writeRenewal writes the renewal of a slot whose record was just read. It
// returns false if the renewal is not known to have taken effect.
func (k *slotManager) writeRenewal(ctx context.Context, number int, epoch ident.Epoch, stored storedSlot) bool {
	next := slotRecord{Holder: k.b.self, Epoch: epoch, Beat: stored.record.Beat + 1}
	sentAt := k.b.clock.Now()
	outcome := k.b.store.swap(ctx, number, next, stored.version)
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.heldSlots[number]
	if !ok || h.record.Epoch != next.Epoch {
		return true
	}
	if outcome == keyvalue.Written {
		if h.previousHolder != "" {
			h.previousHolder = ""
			h.slot.Restart(now.MintTime)
		}
		h.record = next
		h.lease.recordRenewal(sentAt.ExpiryTime, now.ExpiryTime)
		k.b.metrics.renewals.Inc(1)
		return true
	}
	if outcome == keyvalue.Unknown {
		h.markRenewalUnknown(sentAt.ExpiryTime)
	}
	return false
}

// renewViaMembers asks other members of the domain, one after the other, to
// renew a slot in the store.
func (k *slotManager) renewViaMembers(ctx context.Context, number int, epoch ident.Epoch) {
	req := &RenewRequest{Slot: &SlotClaim{Slot: int32(number), Epoch: int64(epoch)}}
	candidates := k.b.view().Ranked(k.b.domain, fmt.Sprint(number, epoch, k.b.clock.Now().ExpiryTime))
	tried := 0
	for _, m := range candidates {
		if m.ID == k.b.self {
			continue
		}
		if tried++; tried > maxRelayAttempts {
			return
		}
		sentAt := k.b.clock.Now()
		err := k.b.call(context.WithoutCancel(ctx), announceTimeout, m.ID, methodRenew, req, &Done{})
		if k.recordRelayedRenewal(number, epoch, sentAt, err) || fault.Is(err, fault.NotHolder) {
			return
		}
	}
}

// recordRelayedRenewal records the outcome of a renewal by another member. It
// returns true if no other member needs to be asked.
func (k *slotManager) recordRelayedRenewal(number int, epoch ident.Epoch, sentAt ClockReading, err error) bool {
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.heldSlots[number]
	if !ok || h.record.Epoch != epoch {
		return true
	}
	if err != nil {
		h.markRenewalUnknown(sentAt.ExpiryTime)
		return false
	}
	h.record.Beat++
	h.lease.recordRenewal(sentAt.ExpiryTime, now.ExpiryTime)
	return true
}

// claimFree claims the slots that this instance is a candidate for and whose
// lease has expired. If the store does not answer, it claims, without the
// store, those whose holder has ended.
func (k *slotManager) claimFree(ctx context.Context) {
	claimable, ended := k.claimableSlots(), k.slotsOfEndedHolders()
	if len(claimable) == 0 && len(ended) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.b.metrics.slotLists.Inc(1)
	stored, err := k.b.store.list(ctx)
	if err != nil {
		k.claimWithoutStore(ended)
		return
	}
	for _, number := range claimable {
		k.claimIfFree(ctx, number, stored[number])
	}
}

// claimableSlots returns the slots that seem to have no holder and that this
// instance should claim now. The owner claims first, lower-ranked members
// after a delay.
func (k *slotManager) claimableSlots() []int {
	_, perDomain := k.b.layout()
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopping {
		return nil
	}
	var numbers []int
	for number := range perDomain {
		if _, held := k.heldSlots[number]; held {
			continue
		}
		rank := k.rank(number)
		s := k.slotView(number)
		claimAt := s.announcedAt.Add(unannouncedAfter + time.Duration(rank)*rankDelay)
		if k.b.ended(s.holder) {
			claimAt = s.announcedAt.Add(time.Duration(rank) * endedRankDelay)
		}
		if rank >= 0 && now.ExpiryTime >= claimAt {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// rank returns the position of this instance among the candidates for a slot,
// or -1 if it is no candidate.
func (k *slotManager) rank(number int) int {
	for i, m := range k.b.view().Ranked(k.b.domain, slotKey(number)) {
		if m.ID == k.b.self {
			return i
		}
	}
	return -1
}

// claimIfFree claims one slot if it has no holder, if its holder's process is
// known to have ended, or if its holder's lease is certainly over.
func (k *slotManager) claimIfFree(ctx context.Context, number int, stored storedSlot) {
	now := k.b.clock.Now()
	k.mu.Lock()
	o := k.observation(number)
	o.recordRead(stored.version, now.ExpiryTime)
	s := k.slotView(number)
	s.recordStoreRead(stored, k.b.self)
	r := stored.record
	if r.Holder == k.b.self && s.claimEpoch != 0 && r.Epoch == s.claimEpoch {
		// An earlier claim with unknown outcome has taken effect.
		k.addHeldSlot(number, r, s.claimSentAt, now)
		k.mu.Unlock()
		return
	}
	// This member may have promised the slot to a holder with a newer epoch,
	// which the store does not show yet.
	promised := r.Epoch < s.epoch && now.ExpiryTime < s.promisedUntil
	free := !promised && (stored.version == 0 || r.Holder == "" || r.Holder == k.b.self)
	expired := o.leaseExpired(now.ExpiryTime) && now.ExpiryTime >= s.promisedUntil
	if !free && !expired && !k.holderEnded(r.Holder, s, now.ExpiryTime) {
		k.mu.Unlock()
		return
	}
	next := slotRecord{Holder: k.b.self, Epoch: max(r.Epoch, s.epoch) + 1}
	s.claimEpoch = next.Epoch
	s.claimVersion = stored.version
	s.claimSentAt = now
	k.mu.Unlock()
	outcome := k.b.store.swap(ctx, number, next, stored.version)
	completedAt := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	switch outcome {
	case keyvalue.Written:
		k.addHeldSlot(number, next, now, completedAt)
	case keyvalue.Conflict, keyvalue.NotWritten:
		s.claimEpoch = 0
	case keyvalue.Unknown:
		// The next read of the record shows whether the claim took effect.
	}
}

// rebalance releases the slots that another member owns and can claim at
// once, and those that the configuration no longer has.
func (k *slotManager) rebalance(ctx context.Context) {
	_, perDomain := k.b.layout()
	for _, number := range k.heldNumbers() {
		if number >= perDomain || k.shouldMove(number) {
			k.release(ctx, number)
		}
	}
}

// shouldMove reports whether a slot should be released for its owner: the
// owner has run for minOwnerAge, and the slot was held for minHoldTime.
func (k *slotManager) shouldMove(number int) bool {
	now := k.b.clock.Now()
	owner, ok := k.b.view().Owner(k.b.domain, slotKey(number))
	if !ok || owner.ID == k.b.self || now.Wall.Sub(owner.Started) < minOwnerAge {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.heldSlots[number]
	return ok && now.ExpiryTime >= h.claimedAt.Add(minHoldTime)
}

// heldNumbers returns the numbers of the held slots.
func (k *slotManager) heldNumbers() []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []int
	for number := range k.heldSlots {
		list = append(list, number)
	}
	return list
}

// release gives up a slot: its tokens go to the accounts on this instance,
// its record in the store loses its holder, and the owner of the slot is
// notified. It returns false and does nothing if the store does not show this
// instance as the holder.
func (k *slotManager) release(ctx context.Context, number int) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := k.b.store.get(ctx, number)
	if err != nil || stored.record.Holder != k.b.self {
		return false
	}
	k.dropWithoutStore(number, "released")
	next := slotRecord{Epoch: stored.record.Epoch, Beat: stored.record.Beat + 1}
	if k.b.store.swap(ctx, number, next, stored.version) == keyvalue.Written {
		k.notifyOwner(ctx, number)
	}
	return true
}

// dropWithoutStore gives up a slot without writing to the store, and adds its
// tokens to the accounts on this instance.
func (k *slotManager) dropWithoutStore(number int, reason string) {
	k.b.collectHeldSlot(number)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropSlot(number, reason)
}

// notifyOwner notifies the highest-ranked live member, other than this one,
// that a slot is free.
func (k *slotManager) notifyOwner(ctx context.Context, number int) {
	for _, m := range k.b.view().Ranked(k.b.domain, slotKey(number)) {
		if m.ID == k.b.self || m.State != membership.Live {
			continue
		}
		req := &ReleasedRequest{Slot: int32(number)}
		_ = k.b.call(ctx, announceTimeout, m.ID, methodReleased, req, &Done{})
		return
	}
}

// serveReleased records that a slot is free and wakes the claim loop.
func (k *slotManager) serveReleased(from ident.InstanceID, req *ReleasedRequest) {
	if !validSlot(int(req.GetSlot())) {
		k.logInvalidSlot(from, int(req.GetSlot()))
		return
	}
	k.mu.Lock()
	s := k.slotView(int(req.GetSlot()))
	s.holder = ""
	s.announcedAt = -Instant(unannouncedAfter)
	s.promisedUntil = 0
	k.mu.Unlock()
	select {
	case k.b.wakeClaimLoop <- struct{}{}:
	default:
	}
}
