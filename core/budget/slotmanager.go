package budget

import (
	"context"
	"sync"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// heldSlot is a minting slot that this instance holds: a lease on the right
// to mint a fixed share of every organisation's rate.
type heldSlot struct {
	record         slotRecord // As last known to be in the store.
	renewalUnknown bool       // Whether the outcome of a renewal is unknown.
	unknownSince   Instant    // When the first renewal with unknown outcome was sent.
	lease          *slotLease
	slot           *Slot
	claimedAt      Instant
	// Whether a round of announcements to the members has ended; before that,
	// nothing is minted.
	announced bool
	// For a slot claimed without the store, the ended holder, until the store
	// shows this instance as the holder; else empty.
	previousHolder ident.InstanceID
}

// slotManager claims, renews and releases minting slots for this instance,
// and keeps track of the holders of the domain's other slots.
type slotManager struct {
	b *Budget

	mu            sync.Mutex
	heldSlots     map[int]*heldSlot
	slotViews     map[int]*slotView            // What announcements have shown, by slot.
	observations  map[int]*leaseObservation    // What reads of the store have shown, by slot.
	failingSince  map[ident.InstanceID]Instant // When each unresponsive member first failed to answer.
	lastRoundAt   Instant                      // When the last round of announcements began.
	runningSince  Instant                      // Since when this process has run without a detected pause.
	slotCountGate slotCountGate
	stopping      bool // Set by releaseAll; no slots are claimed any more.
}

// maxSlots bounds the numbers of slots that other instances may name.
const maxSlots = 10_000

// validSlot reports whether a slot of this number may exist.
func validSlot(number int) bool { return number >= 0 && number < maxSlots }

// logInvalidSlot logs that an instance has named a slot that can't exist.
func (k *slotManager) logInvalidSlot(from ident.InstanceID, number int) {
	err := fault.New(fault.BadRequest, "slot %d is not from 0 to %d", number, maxSlots-1)
	_ = level.Warn(k.b.log).Log("msg", event.PeerRecordIgnored, "from", string(from), "record", "slot", "err", err)
}

// newSlotManager returns a slotManager that holds no slots.
func newSlotManager(b *Budget) *slotManager {
	return &slotManager{
		b:            b,
		heldSlots:    make(map[int]*heldSlot),
		slotViews:    make(map[int]*slotView),
		observations: make(map[int]*leaseObservation),
		failingSince: make(map[ident.InstanceID]Instant),
	}
}

// collect hands out the tokens that the held slots have minted. The lease is
// checked at the same clock reading up to which tokens are minted, so that a
// pause of the process after the reading does no harm.
func (k *slotManager) collect(now ClockReading, req *TakeRequest) *TakeReply {
	reply := &TakeReply{}
	domains, perDomain := k.b.layout()
	k.mu.Lock()
	defer k.mu.Unlock()
	slotCount := k.updateSlotCount(now, domains*perDomain)
	if slotCount == 0 {
		return reply
	}
	for _, name := range req.GetOrganisations() {
		org := ident.OrganisationID(name)
		limit, ok := k.b.limits(org)
		if !ok {
			continue
		}
		reply.Stocks = append(reply.Stocks, k.collectOrganisation(now, org, limit, slotCount))
	}
	return reply
}

// collectOrganisation hands out the tokens of one organisation from all held
// slots. k is locked.
func (k *slotManager) collectOrganisation(now ClockReading, org ident.OrganisationID, limit Limit, slotCount int) *Stock {
	s := &Stock{Organisation: string(org)}
	for _, h := range k.heldSlots {
		if !h.announced || !h.lease.mayMint(now.ExpiryTime) {
			continue
		}
		ages := h.slot.Collect(now.MintTime, org, limit.slotRate(slotCount), limit.expiryWindow())
		if ages.Rate > 0 {
			s.Intervals = append(s.Intervals, ages.toProto())
		}
	}
	return s
}

// updateSlotCount returns the number of slots over which each rate is divided
// now, given the configured number. It is 0 before the first configuration. k
// is locked.
func (k *slotManager) updateSlotCount(now ClockReading, configured int) int {
	if configured == 0 {
		return 0
	}
	slotCount, restart := k.slotCountGate.update(now.ExpiryTime, configured)
	if restart {
		k.restartAll(now)
	}
	return slotCount
}

// restartAll discards the uncollected tokens of all held slots. k is locked.
func (k *slotManager) restartAll(now ClockReading) {
	for _, h := range k.heldSlots {
		h.slot.Restart(now.MintTime)
	}
}

// holders returns the instances that hold slots of this domain, each once.
// Other instances must have announced their slots recently.
func (k *slotManager) holders() []ident.InstanceID {
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	seen := make(map[ident.InstanceID]bool)
	var list []ident.InstanceID
	if len(k.heldSlots) > 0 {
		seen[k.b.self] = true
		list = append(list, k.b.self)
	}
	for _, s := range k.slotViews {
		if s.holder != "" && !seen[s.holder] && now.ExpiryTime < s.announcedAt.Add(unresponsiveAfter) {
			seen[s.holder] = true
			list = append(list, s.holder)
		}
	}
	return list
}

// slotView returns what announcements have shown about a slot, and creates it
// if needed. k is locked.
func (k *slotManager) slotView(slot int) *slotView {
	s, ok := k.slotViews[slot]
	if !ok {
		s = &slotView{announcedAt: Instant(initialClaimDelay - unannouncedAfter)}
		k.slotViews[slot] = s
	}
	return s
}

// observation returns what reads of the store have shown about a slot, and
// creates it if needed. k is locked.
func (k *slotManager) observation(slot int) *leaseObservation {
	o, ok := k.observations[slot]
	if !ok {
		o = &leaseObservation{}
		k.observations[slot] = o
	}
	return o
}

// addHeldSlot records that this instance holds a slot by a claim that was
// sent to the store at sentAt. k is locked.
func (k *slotManager) addHeldSlot(slot int, r slotRecord, sentAt, now ClockReading) {
	k.heldSlots[slot] = &heldSlot{
		record: r,
		lease:  newSlotLease(sentAt.ExpiryTime),
		slot:   NewSlot(now.MintTime),

		claimedAt: now.ExpiryTime,
	}
	s := k.slotView(slot)
	s.epoch = r.Epoch
	s.holder = k.b.self
	s.claimEpoch = 0
	_ = level.Info(k.b.log).Log("msg", event.SlotClaimed, "slot", slot, "epoch", int64(r.Epoch))
}

// recordStoreRead updates the slot from a read of its record. A renewal with
// unknown outcome has taken effect if the record's counter Beat has
// increased. If there were several such renewals, it is unknown which of them
// succeeded, so the lease counts from the first.
func (h *heldSlot) recordStoreRead(stored storedSlot, now Instant) {
	if h.renewalUnknown && stored.record.Beat > h.record.Beat {
		h.lease.recordRenewal(h.unknownSince, now)
	}
	h.renewalUnknown = false
	h.record = stored.record
}

// markRenewalUnknown records that a renewal sent at sentAt has an unknown
// outcome.
func (h *heldSlot) markRenewalUnknown(sentAt Instant) {
	if !h.renewalUnknown {
		h.renewalUnknown = true
		h.unknownSince = sentAt
	}
}

// dropSlot records that this instance no longer holds a slot. k is locked.
func (k *slotManager) dropSlot(slot int, reason string) {
	h, ok := k.heldSlots[slot]
	if !ok {
		return
	}
	delete(k.heldSlots, slot)
	if s := k.slotView(slot); s.holder == k.b.self {
		s.holder = h.previousHolder
	}
	k.b.metrics.slotsLost.Inc(1)
	_ = level.Info(k.b.log).Log("msg", event.SlotNoLongerHeld, "slot", slot, "why", reason)
}

// collectSlot hands out the tokens that one held slot has minted for the
// given organisations.
func (k *slotManager) collectSlot(now ClockReading, number int, orgs []ident.OrganisationID) []*Stock {
	domains, perDomain := k.b.layout()
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.heldSlots[number]
	slotCount := k.updateSlotCount(now, domains*perDomain)
	if slotCount == 0 || !ok || !h.announced || !h.lease.mayMint(now.ExpiryTime) {
		return nil
	}
	var stocks []*Stock
	for _, org := range orgs {
		limit, ok := k.b.limits(org)
		if !ok {
			continue
		}
		ages := h.slot.Collect(now.MintTime, org, limit.slotRate(slotCount), limit.expiryWindow())
		if ages.Rate > 0 {
			stocks = append(stocks, &Stock{Organisation: string(org), Intervals: []*AgedInterval{ages.toProto()}})
		}
	}
	return stocks
}

// releaseAll gives up all slots and stops claiming. If a release does not
// reach the store, another member takes the slot over once this process has
// ended.
func (k *slotManager) releaseAll(ctx context.Context) {
	k.mu.Lock()
	k.stopping = true
	k.mu.Unlock()
	var wg sync.WaitGroup
	for _, number := range k.heldNumbers() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !k.release(ctx, number) {
				k.dropWithoutStore(number, "stopping without the store")
			}
		}()
	}
	wg.Wait()
}
