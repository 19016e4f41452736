package budget

import (
	"time"

	"monsoonfork/core/fault"
)

// readyWithin is the longest time after the start for which an instance waits
// for holders of its domain's slots. A store that is down must not keep the
// instance from callers: other domains lend tokens.
const readyWithin = 10 * time.Second

// Ready returns why requests inside their organisation's rate might be refused
// here, or nil: in a domain that has just started, nobody mints yet.
func (b *Budget) Ready() error {
	_, slots := b.layout()
	now := b.clock.Now().Age
	if now >= b.readyBy || b.keeper.minting(slots) {
		return nil
	}
	return fault.New(fault.RateExceeded, "not all %d minting slots of domain %s have a holder yet", slots, b.domain)
}

// minting reports whether this instance knows the holder of every slot of the
// domain, and those that it holds have begun to mint.
func (k *keeper) minting(slots int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for number := range slots {
		if h, held := k.held[number]; held {
			if !h.announced {
				return false
			}
			continue
		}
		if s, heard := k.sightings[number]; !heard || s.holder == "" {
			return false
		}
	}
	return true
}
