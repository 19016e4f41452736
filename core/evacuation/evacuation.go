// Package evacuation holds the failure domains that the operator has evacuated: their engines
// get no new requests.
package evacuation

import (
	"maps"
	"slices"
	"sync"

	"monsoonfork/core/ident"
)

// Set is the set of evacuated failure domains as of a revision of the store.
type Set struct {
	Revision int64
	Domains  []ident.DomainID // Sorted.
}

// Change is the begin or the end of the evacuation of one failure domain.
type Change struct {
	Domain   ident.DomainID
	Revision int64
	Ended    bool
}

// Board holds the newest set that this instance has received, from the store or from another
// instance. The exported fields are set before the first use.
type Board struct {
	// Exclude is called with each set that becomes the current one, in their order. It must
	// not call the board.
	Exclude  func(Set)
	OnChange func() // Called after a set has become the current one. May be nil.
	// AwaitsStore reports whether the store has been away since shortly before, so that the operator can't
	// have written again what it has lost. It must not call the board. Nil for never.
	AwaitsStore func() bool

	mu      sync.Mutex
	known   bool // A set has been received.
	current Set
	held    []ident.DomainID // In force besides the current set, after the store has come back from an older copy.
	resets  int              // Calls of StoreReset.
}

// Newest returns the current set. It is false while none has been received.
func (b *Board) Newest() (Set, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current, b.known
}

// Put replaces the current set by a newer one, from a complete list of the store or from
// another instance. A list may already show changes that are newer than its revision: the
// changes after that revision are applied afterwards and have the same result.
func (b *Board) Put(s Set) {
	b.replace(func(Set) Set { return s })
}

// Apply applies changes in the order in which the store has made them. Changes that are older
// than the current set are ignored.
func (b *Board) Apply(changes []Change) {
	if len(changes) > 0 {
		b.replace(func(current Set) Set { return current.with(changes) })
	}
}

// replace makes the result of next the current set, unless it is not newer.
func (b *Board) replace(next func(current Set) Set) {
	if b.setNewer(next) && b.OnChange != nil {
		b.OnChange()
	}
}

// setNewer is replace without OnChange. It reports whether there is a new current set.
func (b *Board) setNewer(next func(current Set) Set) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := next(b.current)
	if b.known && s.Revision <= b.current.Revision {
		return false
	}
	b.current, b.known = s, true
	b.Exclude(b.inForce())
	return true
}

// with returns the set after changes. Those that are older than the set are ignored.
func (s Set) with(changes []Change) Set {
	next := Set{Revision: s.Revision}
	domains := make(map[ident.DomainID]bool)
	for _, domain := range s.Domains {
		domains[domain] = true
	}
	for _, c := range changes {
		if c.Revision < s.Revision {
			continue
		}
		next.Revision = max(next.Revision, c.Revision)
		if c.Ended {
			delete(domains, c.Domain)
		} else {
			domains[c.Domain] = true
		}
	}
	next.Domains = slices.Sorted(maps.Keys(domains))
	return next
}
