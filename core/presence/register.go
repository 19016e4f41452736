package presence

import (
	"encoding/json"
	"sync"
	"time"

	"monsoonfork/core/fault"
)

// rememberFor is how long an entry counts that is no longer listed.
const rememberFor = time.Minute

// Register is the instances that are or were listed lately.
type Register struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[string]entry // By name.
	told    int              // Entries that another instance knows.
}

// entry is a listed instance.
type entry struct {
	record  Record
	goneAt  time.Time // Zero while it is listed.
	changed int64     // Revision of the news.
}

// NewRegister returns an empty register.
func NewRegister(now func() time.Time) *Register {
	return &Register{now: now, entries: make(map[string]entry)}
}

// Put takes an entry of the store.
func (g *Register) Put(name string, value []byte, revision int64) error {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil || r.Name == "" {
		return fault.New(fault.BadRequest, "entry %s of the register can't be read", name)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.entries[name].changed <= revision {
		g.entries[name] = entry{record: r, changed: revision}
	}
	return nil
}

// Remove notes that an entry is no longer listed.
func (g *Register) Remove(name string, revision int64) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.entries[name]; ok && e.changed < revision && e.goneAt.IsZero() {
		e.goneAt, e.changed = now, revision
		g.entries[name] = e
	}
	for other, e := range g.entries {
		if !e.goneAt.IsZero() && now.Sub(e.goneAt) > rememberFor {
			delete(g.entries, other)
		}
	}
}

// Told takes over how many entries an instance knows that follows the store.
func (g *Register) Told(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.told = n
}

// Count returns the number of instances that are or were listed lately.
func (g *Register) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(len(g.entries), g.told)
}
