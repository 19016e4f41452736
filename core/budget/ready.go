package budget

import (
	"time"

	"monsoonfork/core/fault"
)

// maxReadyWait is the longest time after the start for which an instance
// reports that it is not ready because slots of its domain have no holder.
// After that, it serves callers even if the store is down, since other
// domains lend tokens.
const maxReadyWait = 10 * time.Second

// Ready returns an error if requests within their organisation's rate might
// be refused here, because slots of this domain are not minting yet.
func (b *Budget) Ready() error {
	_, slots := b.layout()
	now := b.clock.Now().ExpiryTime
	if now >= b.readyDeadline || b.slots.allSlotsMinting(slots) {
		return nil
	}
	return fault.New(fault.RateExceeded, "not all %d minting slots of domain %s have a holder yet", slots, b.domain)
}

// allSlotsMinting reports whether this instance knows the holder of every
// slot of the domain and has announced the slots that it holds itself, so
// that they mint.
func (k *slotManager) allSlotsMinting(slots int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for number := range slots {
		if h, held := k.heldSlots[number]; held {
			if !h.announced {
				return false
			}
			continue
		}
		if s, known := k.slotViews[number]; !known || s.holder == "" {
			return false
		}
	}
	return true
}
