package evacuation

import (
	"maps"
	"slices"
	"time"

	"monsoonfork/core/ident"
)

// resetHoldTime is how long evacuations stay in force after the store has come back from a copy
// that may be older than they are. The operator writes them again in that time.
const resetHoldTime = 3 * time.Second

// StoreReset keeps the evacuations that are in force now for resetHoldTime, whatever sets are
// received meanwhile, and for as long again if AwaitsStore then says so. It is called when the store has
// come back from an older copy, which may lack them.
func (b *Board) StoreReset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held = b.inForce().Domains
	b.resets++
	b.releaseLater(b.resets)
}

// releaseLater calls releaseHeld after resetHoldTime.
func (b *Board) releaseLater(reset int) {
	time.AfterFunc(resetHoldTime, func() { b.releaseHeld(reset) })
}

// releaseHeld puts the current set in force, unless the store has come back once more since the
// given reset, or is awaited.
func (b *Board) releaseHeld(reset int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case reset != b.resets || len(b.held) == 0:
	case b.AwaitsStore != nil && b.AwaitsStore():
		b.releaseLater(reset)
	default:
		b.held = nil
		b.Exclude(b.current)
	}
}

// inForce returns the current set with the domains that are held. The caller must hold mu.
func (b *Board) inForce() Set {
	if len(b.held) == 0 {
		return b.current
	}
	domains := make(map[ident.DomainID]bool)
	for _, domain := range slices.Concat(b.current.Domains, b.held) {
		domains[domain] = true
	}
	return Set{Revision: b.current.Revision, Domains: slices.Sorted(maps.Keys(domains))}
}
