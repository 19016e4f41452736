package budget

import (
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/ident"
)

// successorEpoch is added to the epoch by a claim without the store, so that no
// claim through the store has the same.
const successorEpoch = ident.Epoch(1000)

// unbroken reports whether this process has run without a pause since it last
// heard from the holder, or else for longer than any right that it has not heard
// of can last. It would know if another member had succeeded the holder, which
// needs its promise. k is locked.
func (k *keeper) unbroken(s *sighting, now Instant) bool {
	return (s.holder != "" && k.awakeAt <= s.heardAt) || now >= k.awakeAt.Add(leaseLength+leaseMargin)
}

// ended reports whether the holder that the store names has ended, and this
// instance would know if another one had succeeded it without the store. k is
// locked.
func (k *keeper) ended(holder ident.InstanceID, s *sighting, now Instant) bool {
	known := s.holder == holder || now >= s.promisedUntil
	return known && k.unbroken(s, now) && k.b.ended(holder)
}

// orphans returns the slots whose holder, known from its own announcements,
// has ended, and which this instance should take if the store is silent.
func (k *keeper) orphans() []int {
	_, perDomain := k.b.layout()
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopping {
		return nil
	}
	var numbers []int
	for number := range perDomain {
		s := k.sighting(number)
		if _, held := k.held[number]; held || s.holder == "" || !k.unbroken(s, now.Age) || !k.b.ended(s.holder) {
			continue
		}
		rank := k.rank(number)
		if rank >= 0 && now.Age >= s.heardAt.Add(time.Duration(rank)*endedRankDelay) {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// succeed claims slots of ended holders without the store. Such a slot mints
// nothing until all members of the domain that may live have promised not to
// take it, as after a lapse; the store learns of it when it answers again.
func (k *keeper) succeed(orphans []int) {
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, number := range orphans {
		s := k.sighting(number)
		if _, held := k.held[number]; held || s.holder == "" || !k.b.ended(s.holder) {
			continue
		}
		epoch := s.epoch + successorEpoch
		k.held[number] = &heldSlot{
			record:    slotRecord{Holder: k.b.self, Epoch: epoch},
			tenure:    newLapsedTenure(now.Age),
			slot:      NewSlot(now.Mint),
			claimedAt: now.Age,
			displaced: s.holder,
		}
		s.epoch = epoch
		s.holder = k.b.self
		s.claimEpoch = 0
		_ = level.Info(k.b.log).Log("msg", event.SlotClaimedAlone, "slot", number, "epoch", int64(epoch))
	}
}
