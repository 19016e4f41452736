package budget

import (
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/ident"
)

// storelessEpochStep is added to the epoch by a claim without the store, so
// that the new epoch differs from that of any claim through the store, which
// adds 1.
const storelessEpochStep = ident.Epoch(1000)

// canRuleOutTakeover reports whether no other member can have taken over the
// slot without the store unnoticed, since a takeover requires a promise from
// this instance. This is so if this process has run without a pause since the
// holder's last announcement, or has run for longer than any lease that it
// may have missed. k is locked.
func (k *slotManager) canRuleOutTakeover(s *slotView, now Instant) bool {
	return (s.holder != "" && k.runningSince <= s.announcedAt) || now >= k.runningSince.Add(leaseLength+leaseMargin)
}

// holderEnded reports whether the holder shown by the store has ended and no
// other member can have taken over its slot without the store unnoticed. k is
// locked.
func (k *slotManager) holderEnded(holder ident.InstanceID, s *slotView, now Instant) bool {
	known := s.holder == holder || now >= s.promisedUntil
	return known && k.canRuleOutTakeover(s, now) && k.b.ended(holder)
}

// slotsOfEndedHolders returns the slots whose holder, known from its
// announcements, has ended, and which this instance should claim now if the
// store does not answer. Lower-ranked members wait longer.
func (k *slotManager) slotsOfEndedHolders() []int {
	_, perDomain := k.b.layout()
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopping {
		return nil
	}
	var numbers []int
	for number := range perDomain {
		s := k.slotView(number)
		if _, held := k.heldSlots[number]; held || s.holder == "" || !k.canRuleOutTakeover(s, now.ExpiryTime) || !k.b.ended(s.holder) {
			continue
		}
		rank := k.rank(number)
		if rank >= 0 && now.ExpiryTime >= s.announcedAt.Add(time.Duration(rank)*endedRankDelay) {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// claimWithoutStore claims slots of ended holders while the store does not
// answer. Such a slot starts with an expired lease: it mints nothing until
// all members of the domain that may be running have promised not to claim
// it. The record in the store is updated when the store answers again.
func (k *slotManager) claimWithoutStore(slots []int) {
	now := k.b.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, number := range slots {
		s := k.slotView(number)
		if _, held := k.heldSlots[number]; held || s.holder == "" || !k.b.ended(s.holder) {
			continue
		}
		epoch := s.epoch + storelessEpochStep
		k.heldSlots[number] = &heldSlot{
			record:         slotRecord{Holder: k.b.self, Epoch: epoch},
			lease:          newExpiredSlotLease(now.ExpiryTime),
			slot:           NewSlot(now.MintTime),
			claimedAt:      now.ExpiryTime,
			previousHolder: s.holder,
		}
		s.epoch = epoch
		s.holder = k.b.self
		s.claimEpoch = 0
		_ = level.Info(k.b.log).Log("msg", event.SlotClaimedWithoutStore, "slot", number, "epoch", int64(epoch))
	}
}
