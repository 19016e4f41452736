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

// Times of claims.
const (
	claimEvery     = time.Second
	renewEvery     = 2 * time.Second
	unheardAfter   = 2500 * time.Millisecond // Without announcements a slot may be without a holder.
	rankDelay      = 10 * time.Second        // A member that is not the first candidate waits this much longer.
	endedRankDelay = 2 * time.Second         // The same if the holder has ended for sure.
	rebalanceAge   = 10 * time.Second        // Age at which a new member gets the slots that it owns.
	rebalanceHold  = 30 * time.Second        // A slot is not released sooner after it was claimed.
	settleDelay    = time.Second             // After the start, before the first claim.
	storeTimeout   = 1500 * time.Millisecond
	relayAttempts  = 2 // Members that are asked to renew in the store.
)

// claimLoop renews the slots held and claims those without a holder, until ctx
// ends.
func (k *keeper) claimLoop(ctx context.Context) {
	for {
		k.renewAll(ctx)
		k.claimFree(ctx)
		k.rebalance(ctx)
		select {
		case <-ctx.Done():
			return
		case <-k.b.poke:
		case <-time.After(claimEvery):
		}
	}
}

// slotKey is the rendezvous key by which a slot's owner is found.
func slotKey(number int) string { return fmt.Sprintf("Budget.Slot.%d", number) }

// renewAll renews the held slots that are due.
func (k *keeper) renewAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, number := range k.due() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k.renew(ctx, number)
		}()
	}
	wg.Wait()
}

// due returns the held slots whose renewal is due.
func (k *keeper) due() []int {
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var numbers []int
	for number, h := range k.held {
		if now.Age >= h.tenure.renewedUntil.Add(renewEvery-leaseLength) {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// renew renews one slot in the store, or has a member do it.
func (k *keeper) renew(ctx context.Context, number int) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := k.b.store.get(ctx, number)
	now := k.b.clock.Now()
	k.mu.Lock()
	h, ok := k.held[number]
	if !ok {
		k.mu.Unlock()
		return
	}
	epoch := h.record.Epoch
	named := stored.record.Holder == k.b.self && stored.record.Epoch == epoch
	if err == nil && !named && !k.succeeds(h, stored.record) {
		k.lose(number, "another holder in the store")
		k.mu.Unlock()
		return
	}
	if err == nil && named {
		h.displaced = ""
		h.confirm(stored, now.Age)
	}
	relays := h.displaced == ""
	k.mu.Unlock()
	if (err != nil || !k.renewIn(ctx, number, epoch, stored)) && relays {
		k.relay(ctx, number, epoch)
	}
}

// succeeds reports whether a slot that was claimed without the store may
// replace the store's record: an older one of this instance, or of a process
// that has ended. k is locked.
func (k *keeper) succeeds(h *heldSlot, r slotRecord) bool {
	if h.displaced == "" || r.Epoch >= h.record.Epoch {
		return false
	}
	return r.Holder == k.b.self || r.Holder == h.displaced || k.b.ended(r.Holder)
}

// renewIn writes the renewal of a slot whose record was just read. It reports
// whether it is known to have taken effect.
func (k *keeper) renewIn(ctx context.Context, number int, epoch ident.Epoch, stored storedSlot) bool {
	next := slotRecord{Holder: k.b.self, Epoch: epoch, Beat: stored.record.Beat + 1}
	asked := k.b.clock.Now()
	outcome := k.b.store.swap(ctx, number, next, stored.version)
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.held[number]
	if !ok || h.record.Epoch != next.Epoch {
		return true
	}
	if outcome == keyvalue.Written {
		if h.displaced != "" {
			h.displaced = ""
			h.slot.Restart(now.Mint)
		}
		h.record = next
		h.tenure.renewed(asked.Age, now.Age)
		k.b.metrics.renewals.Inc(1)
		return true
	}
	if outcome == keyvalue.Unknown {
		h.doubt(asked.Age)
	}
	return false
}

// relay asks members of the domain, one after the other, to renew a slot.
func (k *keeper) relay(ctx context.Context, number int, epoch ident.Epoch) {
	req := &RenewRequest{Slot: &SlotClaim{Slot: int32(number), Epoch: int64(epoch)}}
	candidates := k.b.view().Ranked(k.b.domain, fmt.Sprint(number, epoch, k.b.clock.Now().Age))
	tried := 0
	for _, m := range candidates {
		if m.ID == k.b.self {
			continue
		}
		if tried++; tried > relayAttempts {
			return
		}
		asked := k.b.clock.Now()
		err := k.b.call(context.WithoutCancel(ctx), announceTimeout, m.ID, methodRenew, req, &Done{})
		if k.relayed(number, epoch, asked, err) || fault.Is(err, fault.NotHolder) {
			return
		}
	}
}

// relayed records the outcome of a renewal that a member was asked for. It
// reports whether it took effect.
func (k *keeper) relayed(number int, epoch ident.Epoch, asked Moment, err error) bool {
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.held[number]
	if !ok || h.record.Epoch != epoch {
		return true
	}
	if err != nil {
		h.doubt(asked.Age)
		return false
	}
	h.record.Beat++
	h.tenure.renewed(asked.Age, now.Age)
	return true
}

// claimFree claims the slots for which this instance is the candidate and
// whose lease has lapsed.
func (k *keeper) claimFree(ctx context.Context) {
	wanted, orphans := k.candidateFor(), k.orphans()
	if len(wanted) == 0 && len(orphans) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.b.metrics.slotLists.Inc(1)
	stored, err := k.b.store.list(ctx)
	if err != nil {
		k.succeed(orphans)
		return
	}
	for _, number := range wanted {
		k.claimIfFree(ctx, number, stored[number])
	}
}

// candidateFor returns the slots that seem without a holder and that this
// instance should take: at once as their owner, later as a lower-ranked member.
func (k *keeper) candidateFor() []int {
	_, perDomain := k.b.layout()
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopping {
		return nil
	}
	var numbers []int
	for number := range perDomain {
		if _, held := k.held[number]; held {
			continue
		}
		rank := k.rank(number)
		s := k.sighting(number)
		due := s.heardAt.Add(unheardAfter + time.Duration(rank)*rankDelay)
		if k.b.ended(s.holder) {
			due = s.heardAt.Add(time.Duration(rank) * endedRankDelay)
		}
		if rank >= 0 && now.Age >= due {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// rank returns the place of this instance among the candidates for a slot, or
// -1 when it is none.
func (k *keeper) rank(number int) int {
	for i, m := range k.b.view().Ranked(k.b.domain, slotKey(number)) {
		if m.ID == k.b.self {
			return i
		}
	}
	return -1
}

// claimIfFree claims one slot if it has no holder, if its holder's process has
// ended for sure, or if its holder's lease is over for sure.
func (k *keeper) claimIfFree(ctx context.Context, number int, stored storedSlot) {
	now := k.b.clock.Now()
	k.mu.Lock()
	o := k.observation(number)
	o.seen(stored.version, now.Age)
	s := k.sighting(number)
	s.read(stored, k.b.self)
	r := stored.record
	if r.Holder == k.b.self && s.claimEpoch != 0 && r.Epoch == s.claimEpoch {
		// The claim whose outcome was not known has taken effect.
		k.hold(number, r, s.claimAsked, now)
		k.mu.Unlock()
		return
	}
	// A holder that the store does not name yet may have this member's promise.
	promised := r.Epoch < s.epoch && now.Age < s.promisedUntil
	free := !promised && (stored.version == 0 || r.Holder == "" || r.Holder == k.b.self)
	lapsed := o.lapsed(now.Age) && now.Age >= s.promisedUntil
	if !free && !lapsed && !k.ended(r.Holder, s, now.Age) {
		k.mu.Unlock()
		return
	}
	next := slotRecord{Holder: k.b.self, Epoch: max(r.Epoch, s.epoch) + 1}
	s.claimEpoch = next.Epoch
	s.claimVersion = stored.version
	s.claimAsked = now
	k.mu.Unlock()
	outcome := k.b.store.swap(ctx, number, next, stored.version)
	done := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	switch outcome {
	case keyvalue.Written:
		k.hold(number, next, now, done)
	case keyvalue.Conflict, keyvalue.NotWritten:
		s.claimEpoch = 0
	case keyvalue.Unknown:
		// The next reading shows whether the claim took effect.
	}
}

// rebalance releases the slots that another member owns and can take at once,
// and those that the text does not have any more.
func (k *keeper) rebalance(ctx context.Context) {
	_, perDomain := k.b.layout()
	for _, number := range k.numbers() {
		if number >= perDomain || k.belongsElsewhere(number) {
			k.release(ctx, number)
		}
	}
}

// belongsElsewhere reports whether a slot should move to another member.
func (k *keeper) belongsElsewhere(number int) bool {
	now := k.b.clock.Now()
	owner, ok := k.b.view().Owner(k.b.domain, slotKey(number))
	if !ok || owner.ID == k.b.self || now.Wall.Sub(owner.Started) < rebalanceAge {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.held[number]
	return ok && now.Age >= h.claimedAt.Add(rebalanceHold)
}

// numbers returns the slots held.
func (k *keeper) numbers() []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []int
	for number := range k.held {
		list = append(list, number)
	}
	return list
}

// release gives a slot up: its tokens go to the home here, its record becomes
// free, and the owner is told. It reports false, and does nothing, if the store
// does not show this instance as the holder.
func (k *keeper) release(ctx context.Context, number int) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := k.b.store.get(ctx, number)
	if err != nil || stored.record.Holder != k.b.self {
		return false
	}
	k.abandon(number, "released")
	next := slotRecord{Epoch: stored.record.Epoch, Beat: stored.record.Beat + 1}
	if k.b.store.swap(ctx, number, next, stored.version) == keyvalue.Written {
		k.tellOwner(ctx, number)
	}
	return true
}

// abandon gives a slot up without the store: its tokens go to the home here.
func (k *keeper) abandon(number int, why string) {
	k.b.drainSlot(number)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lose(number, why)
}

// tellOwner tells the owner of a slot that it is free.
func (k *keeper) tellOwner(ctx context.Context, number int) {
	for _, m := range k.b.view().Ranked(k.b.domain, slotKey(number)) {
		if m.ID == k.b.self || m.State != membership.Live {
			continue
		}
		req := &ReleasedRequest{Slot: int32(number)}
		_ = k.b.call(ctx, announceTimeout, m.ID, methodReleased, req, &Done{})
		return
	}
}

// serveReleased notes that a slot is free, and claims soon.
func (k *keeper) serveReleased(req *ReleasedRequest) {
	k.mu.Lock()
	s := k.sighting(int(req.GetSlot()))
	s.holder = ""
	s.heardAt = -Instant(unheardAfter)
	s.promisedUntil = 0
	k.mu.Unlock()
	select {
	case k.b.poke <- struct{}{}:
	default:
	}
}
