package presence

import (
	"encoding/json"
	"sync"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// rememberFor is how long members count that are no longer listed: leases lapse in an
// outage of the store while their holders live.
const rememberFor = time.Minute

// Register is the domains that are or were listed lately.
type Register struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[ident.DomainID]entry
	told    int // Members that another instance knows.
}

// entry is a listed domain.
type entry struct {
	record     Record
	changed    int64 // Revision of the news.
	before     int   // Members that were listed before, if they were more.
	beforeTill time.Time
}

// NewRegister returns an empty register.
func NewRegister(now func() time.Time) *Register {
	return &Register{now: now, entries: make(map[ident.DomainID]entry)}
}

// Put takes an entry of the store.
func (g *Register) Put(domain ident.DomainID, value []byte, revision int64) error {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil || r.Domain != domain || r.Members < 1 {
		return fault.New(fault.BadRequest, "entry %s of the register can't be read", domain)
	}
	g.set(domain, r, revision)
	return nil
}

// Remove notes that a domain is no longer listed.
func (g *Register) Remove(domain ident.DomainID, revision int64) {
	g.set(domain, Record{Domain: domain}, revision)
}

// set takes news of a domain.
func (g *Register) set(domain ident.DomainID, r Record, revision int64) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.entries[domain]
	if revision < old.changed {
		return
	}
	e := entry{record: r, changed: revision}
	if counted := old.members(now); counted > r.Members {
		e.before, e.beforeTill = counted, now.Add(rememberFor)
	}
	g.entries[domain] = e
}

// members returns the members that count.
func (e entry) members(now time.Time) int {
	if now.Before(e.beforeTill) {
		return max(e.before, e.record.Members)
	}
	return e.record.Members
}

// Told takes over how many members an instance knows that follows the store.
func (g *Register) Told(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.told = n
}

// Count returns the number of instances that are or were listed lately.
func (g *Register) Count() int {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, e := range g.entries {
		n += e.members(now)
	}
	return max(n, g.told)
}

// Addresses returns where one instance of each listed domain is reached.
func (g *Register) Addresses() []ident.Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []ident.Address
	for _, e := range g.entries {
		if e.record.PeerAddress != "" {
			list = append(list, e.record.PeerAddress)
		}
	}
	return list
}
