package presence

import (
	"encoding/json"
	"sync"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// delistedRetention is how long members that are no longer listed still count: leases
// expire in an outage of the store while their holders are still running.
const delistedRetention = time.Minute

// Register holds the domains that are listed in the store or were until recently.
type Register struct {
	now func() time.Time

	mu       sync.Mutex
	entries  map[ident.DomainID]entry
	reported int // Count that another instance last reported.

	reportedDomains reportedDomains
}

// entry is the state of one domain.
type entry struct {
	registration  Registration
	revision      int64 // Store revision of registration.
	previous      int   // Number of members listed before, if it was larger.
	previousUntil time.Time
}

// NewRegister returns an empty register.
func NewRegister(now func() time.Time) *Register {
	return &Register{now: now, entries: make(map[ident.DomainID]entry)}
}

// maxMembers bounds the members of a domain, since each instance admits the share of the
// rates that the sum over all domains leaves to it.
const maxMembers = 100_000

// Put applies an entry of the store.
func (g *Register) Put(domain ident.DomainID, value []byte, revision int64) error {
	var r Registration
	if err := json.Unmarshal(value, &r); err != nil || r.Domain != domain || r.Members < 1 || r.Members > maxMembers {
		return fault.New(fault.BadRequest, "malformed entry of domain %.200q in the register", domain)
	}
	g.update(domain, r, revision)
	return nil
}

// Retain removes the domains that are not in a complete list as of a revision.
func (g *Register) Retain(listed map[ident.DomainID]bool, revision int64) {
	g.mu.Lock()
	missing := make([]ident.DomainID, 0, len(g.entries))
	for domain, e := range g.entries {
		if !listed[domain] && e.registration.Members > 0 {
			missing = append(missing, domain)
		}
	}
	g.mu.Unlock()
	for _, domain := range missing {
		g.Remove(domain, revision)
	}
}

// Remove records that a domain is no longer listed.
func (g *Register) Remove(domain ident.DomainID, revision int64) {
	g.update(domain, Registration{Domain: domain}, revision)
}

// update applies a change of a domain unless it is older than the current entry.
func (g *Register) update(domain ident.DomainID, r Registration, revision int64) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.entries[domain]
	if revision < old.revision {
		return
	}
	e := entry{registration: r, revision: revision}
	if count := old.members(now); count > r.Members {
		e.previous, e.previousUntil = count, now.Add(delistedRetention)
	}
	g.entries[domain] = e
}

// members returns how many members of the domain count now.
func (e entry) members(now time.Time) int {
	if now.Before(e.previousUntil) {
		return max(e.previous, e.registration.Members)
	}
	return e.registration.Members
}

// SetReported sets the number of instances that an instance which follows the store reports.
func (g *Register) SetReported(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reported = n
}

// Count returns the number of instances that are listed or were until recently, or the
// number that another instance reported if it is larger.
func (g *Register) Count() int {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, e := range g.entries {
		n += e.members(now)
	}
	return max(n, g.reported)
}

// Addresses returns the peer address of one instance of each listed domain.
func (g *Register) Addresses() []ident.Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []ident.Address
	for _, e := range g.entries {
		if e.registration.PeerAddress != "" {
			list = append(list, e.registration.PeerAddress)
		}
	}
	return list
}
