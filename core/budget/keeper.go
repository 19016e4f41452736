package budget

import (
	"context"
	"sync"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/ident"
)

// heldSlot is a minting slot that this instance holds.
type heldSlot struct {
	record    slotRecord // As last known to be in the store.
	unsure    bool       // Whether a renewal's outcome is not known.
	unsureAt  Instant    // Before the first renewal of unknown outcome.
	tenure    *tenure
	slot      *Slot
	claimedAt Instant
	announced bool             // Whether the members were told; before that nothing is minted.
	displaced ident.InstanceID // The ended holder before, while the store does not name this one; else empty.
}

// keeper holds minting slots for this instance, and knows who holds the others
// of its domain.
type keeper struct {
	b *Budget

	mu        sync.Mutex
	held      map[int]*heldSlot
	sightings map[int]*sighting
	observed  map[int]*observation
	failing   map[ident.InstanceID]Instant // Since when a member fails to answer.
	lastRound Instant
	awakeAt   Instant // Since when this process has run without a pause.
	gate      partsGate
	stopping  bool
}

// newKeeper returns a keeper that holds nothing.
func newKeeper(b *Budget) *keeper {
	return &keeper{
		b:         b,
		held:      make(map[int]*heldSlot),
		sightings: make(map[int]*sighting),
		observed:  make(map[int]*observation),
		failing:   make(map[ident.InstanceID]Instant),
	}
}

// take hands out what the held slots have minted. The right to mint is looked
// at with the same reading of the clock that ends the minted time, so that a
// pause after it does no harm.
func (k *keeper) take(now Moment, req *TakeRequest) *TakeReply {
	reply := &TakeReply{}
	domains, perDomain := k.b.layout()
	k.mu.Lock()
	defer k.mu.Unlock()
	parts := k.updateParts(now, domains*perDomain)
	if parts == 0 {
		return reply
	}
	for _, name := range req.GetOrganisations() {
		org := ident.OrganisationID(name)
		limit, ok := k.b.limits(org)
		if !ok {
			continue
		}
		reply.Stocks = append(reply.Stocks, k.takeOne(now, org, limit, parts))
	}
	return reply
}

// takeOne hands out one organisation's tokens. k is locked.
func (k *keeper) takeOne(now Moment, org ident.OrganisationID, limit Limit, parts int) *Stock {
	s := &Stock{Organisation: string(org)}
	for _, h := range k.held {
		if !h.announced || !h.tenure.right(now.Age) {
			continue
		}
		out := h.slot.Take(now.Mint, org, limit.part(parts), limit.window())
		if out.Rate > 0 {
			s.Intervals = append(s.Intervals, out.message())
		}
	}
	return s
}

// updateParts returns the number of equal parts of the rate in force. k is
// locked.
func (k *keeper) updateParts(now Moment, wanted int) int {
	if wanted == 0 {
		return 0
	}
	parts, restart := k.gate.update(now.Age, wanted)
	if restart {
		k.restartAll(now)
	}
	return parts
}

// restartAll makes all held slots forget what they minted. k is locked.
func (k *keeper) restartAll(now Moment) {
	for _, h := range k.held {
		h.slot.Restart(now.Mint)
	}
}

// holders returns the instances that hold slots of this domain, each once.
func (k *keeper) holders() []ident.InstanceID {
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	seen := make(map[ident.InstanceID]bool)
	var list []ident.InstanceID
	if len(k.held) > 0 {
		seen[k.b.self] = true
		list = append(list, k.b.self)
	}
	for _, s := range k.sightings {
		if s.holder != "" && !seen[s.holder] && now.Age < s.heardAt.Add(silentAfter) {
			seen[s.holder] = true
			list = append(list, s.holder)
		}
	}
	return list
}

// sighting returns what is known of a slot. k is locked.
func (k *keeper) sighting(slot int) *sighting {
	s, ok := k.sightings[slot]
	if !ok {
		s = &sighting{heardAt: Instant(settleDelay - unheardAfter)}
		k.sightings[slot] = s
	}
	return s
}

// observation returns what was seen of a slot's record. k is locked.
func (k *keeper) observation(slot int) *observation {
	o, ok := k.observed[slot]
	if !ok {
		o = &observation{}
		k.observed[slot] = o
	}
	return o
}

// hold records that this instance holds a slot since a call to the store that
// began at asked. k is locked.
func (k *keeper) hold(slot int, r slotRecord, asked, now Moment) {
	k.held[slot] = &heldSlot{
		record: r,
		tenure: newTenure(asked.Age),
		slot:   NewSlot(now.Mint),

		claimedAt: now.Age,
	}
	s := k.sighting(slot)
	s.epoch = r.Epoch
	s.holder = k.b.self
	s.claimEpoch = 0
	_ = level.Info(k.b.log).Log("msg", event.SlotClaimed, "slot", slot, "epoch", int64(r.Epoch))
}

// confirm takes a reading of the slot's record into account: a renewal of
// unknown outcome has taken effect if the record has moved on. Which of several
// it was is not known, so that the lease counts from the first.
func (h *heldSlot) confirm(stored storedSlot, now Instant) {
	if h.unsure && stored.record.Beat > h.record.Beat {
		h.tenure.renewed(h.unsureAt, now)
	}
	h.unsure = false
	h.record = stored.record
}

// doubt records that a renewal that began at asked has an unknown outcome.
func (h *heldSlot) doubt(asked Instant) {
	if !h.unsure {
		h.unsure = true
		h.unsureAt = asked
	}
}

// lose records that this instance does not hold a slot any more. k is locked.
func (k *keeper) lose(slot int, why string) {
	h, ok := k.held[slot]
	if !ok {
		return
	}
	delete(k.held, slot)
	if s := k.sighting(slot); s.holder == k.b.self {
		s.holder = h.displaced
	}
	k.b.metrics.slotsLost.Inc(1)
	_ = level.Info(k.b.log).Log("msg", event.SlotLost, "slot", slot, "why", why)
}

// takeFrom empties one held slot for the given organisations.
func (k *keeper) takeFrom(now Moment, number int, orgs []ident.OrganisationID) []*Stock {
	domains, perDomain := k.b.layout()
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.held[number]
	parts := k.updateParts(now, domains*perDomain)
	if parts == 0 || !ok || !h.announced || !h.tenure.right(now.Age) {
		return nil
	}
	var stocks []*Stock
	for _, org := range orgs {
		limit, ok := k.b.limits(org)
		if !ok {
			continue
		}
		out := h.slot.Take(now.Mint, org, limit.part(parts), limit.window())
		if out.Rate > 0 {
			stocks = append(stocks, &Stock{Organisation: string(org), Intervals: []*AgedInterval{out.message()}})
		}
	}
	return stocks
}

// releaseAll gives up all slots and claims no more. What the store does not
// learn of, a member succeeds to once this process has ended.
func (k *keeper) releaseAll(ctx context.Context) {
	k.mu.Lock()
	k.stopping = true
	k.mu.Unlock()
	var wg sync.WaitGroup
	for _, number := range k.numbers() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !k.release(ctx, number) {
				k.abandon(number, "stopping without the store")
			}
		}()
	}
	wg.Wait()
}
