package budget

import (
	"context"
	"fmt"
	"sync"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// Times of claims.
const (
	claimEvery    = time.Second
	renewEvery    = 2 * time.Second
	unheardAfter  = 2500 * time.Millisecond // Without announcements a slot may be without a holder.
	rankDelay     = 10 * time.Second        // A member that is not the first candidate waits this much longer.
	rebalanceAge  = 10 * time.Second        // Age at which a new member gets the slots that it owns.
	rebalanceHold = 30 * time.Second        // A slot is not released sooner after it was claimed.
	settleDelay   = time.Second             // After the start, before the first claim.
	storeTimeout  = 1500 * time.Millisecond
	relayAttempts = 2 // Members that are asked to renew in the store.
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
	k.mu.Lock()
	h, ok := k.held[number]
	if !ok {
		k.mu.Unlock()
		return
	}
	record, version := h.record, h.version
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := k.b.clock.Now()
	stored, err := k.readIfNeeded(ctx, number, version, record)
	if err != nil {
		k.relay(ctx, number, record.Epoch)
		return
	}
	if stored.record.Holder != k.b.self || stored.record.Epoch != record.Epoch {
		k.mu.Lock()
		k.lose(number, "another holder in the store")
		k.mu.Unlock()
		return
	}
	next := stored.record
	next.Beat++
	outcome := k.b.store.swap(ctx, number, next, stored.version)
	k.finishRenewal(number, next, asked, outcome)
	if outcome == swapUnknown || outcome == swapNotWritten {
		k.relay(ctx, number, record.Epoch)
	}
}

// readIfNeeded returns the slot's record, from the store unless its version is
// known.
func (k *keeper) readIfNeeded(ctx context.Context, number int, version uint64, record slotRecord) (storedSlot, error) {
	if version != 0 {
		return storedSlot{record: record, version: version}, nil
	}
	return k.b.store.get(ctx, number)
}

// finishRenewal records the outcome of a renewal. The version of the record
// after a write is not told by the store, so that it is read again.
func (k *keeper) finishRenewal(number int, r slotRecord, asked Moment, outcome swapOutcome) {
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.held[number]
	if !ok || h.record.Epoch != r.Epoch {
		return
	}
	h.version = 0
	if outcome == swapWritten {
		h.record = r
		h.tenure.renewed(asked.Age, now.Age)
		k.b.metrics.renewals.Inc(1)
	}
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
		if err == nil {
			k.relayed(number, epoch, asked)
			return
		}
		if fault.Is(err, fault.NotHolder) {
			return
		}
	}
}

// relayed records a renewal that a member made.
func (k *keeper) relayed(number int, epoch ident.Epoch, asked Moment) {
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, ok := k.held[number]; ok && h.record.Epoch == epoch {
		h.version = 0
		h.tenure.renewed(asked.Age, now.Age)
	}
}

// claimFree claims the slots for which this instance is the candidate and
// whose lease has lapsed.
func (k *keeper) claimFree(ctx context.Context) {
	wanted := k.candidateFor()
	if len(wanted) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.b.metrics.slotLists.Inc(1)
	stored, err := k.b.store.list(ctx)
	if err != nil {
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
		silence := now.Age.Sub(k.sighting(number).heardAt)
		if rank < 0 || silence < unheardAfter+time.Duration(rank)*rankDelay {
			continue
		}
		numbers = append(numbers, number)
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

// claimIfFree claims one slot if it has no holder, or if its holder's lease is
// over for sure.
func (k *keeper) claimIfFree(ctx context.Context, number int, stored storedSlot) {
	now := k.b.clock.Now()
	k.mu.Lock()
	o := k.observation(number)
	o.seen(stored.version, now.Age)
	s := k.sighting(number)
	s.read(stored, k.b.self)
	r := stored.record
	free := stored.version == 0 || r.Holder == "" || r.Holder == k.b.self || o.lapsed(now.Age)
	if !free || now.Age < s.promisedUntil {
		k.mu.Unlock()
		return
	}
	next := slotRecord{Holder: k.b.self, Epoch: max(r.Epoch, s.epoch) + 1}
	s.claimEpoch = next.Epoch
	s.claimVersion = stored.version
	k.mu.Unlock()
	outcome := k.b.store.swap(ctx, number, next, stored.version)
	done := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	switch outcome {
	case swapWritten:
		k.hold(number, next, now, done)
	case swapConflict, swapNotWritten:
		s.claimEpoch = 0
	case swapUnknown:
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
// free, and the owner is told.
func (k *keeper) release(ctx context.Context, number int) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := k.b.store.get(ctx, number)
	if err != nil || stored.record.Holder != k.b.self {
		return
	}
	k.b.drainSlot(number)
	k.mu.Lock()
	k.lose(number, "released")
	k.mu.Unlock()
	next := slotRecord{Epoch: stored.record.Epoch, Beat: stored.record.Beat + 1}
	if k.b.store.swap(ctx, number, next, stored.version) != swapWritten {
		return
	}
	k.tellOwner(ctx, number)
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
