package engines

import (
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// returnTime is how long after the store's return an engine is kept whose entry
// lapsed while the store was away: those that live are back by then.
const returnTime = 2200 * time.Millisecond

// Feed takes the platform's list into a table. After an outage of the store it
// holds removals back for a while.
type Feed struct {
	Table *Table
	Now   func() time.Time

	mu       sync.Mutex
	holdTill time.Time // Removals before this time wait.
	held     map[ident.EndpointID]Change
}

// Regained notes that the store answers again.
func (f *Feed) Regained(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holdTill = at.Add(returnTime)
	time.AfterFunc(returnTime, f.release)
}

// List takes a whole list, and returns the changes.
func (f *Feed) List(entries []Entry, revision int64) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.holding() {
		f.held = nil
		return f.Table.Replace(entries, revision)
	}
	changes := make([]Change, 0, len(entries))
	named := make(map[ident.EndpointID]bool, len(entries))
	for _, e := range entries {
		named[e.ID] = true
		changes = append(changes, Change{Entry: e})
	}
	for _, e := range f.Table.All() {
		if !named[e.ID] {
			changes = append(changes, Change{Entry: Entry{ID: e.ID, AsOf: revision}, Removed: true})
		}
	}
	taken := f.take(changes)
	f.Table.MarkKnown(revision)
	return taken
}

// News takes changes, and returns those that changed the table.
func (f *Feed) News(changes []Change) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.take(changes)
}

// holding reports whether removals wait. The caller holds mu.
func (f *Feed) holding() bool { return f.Now().Before(f.holdTill) }

// take applies changes, but holds removals back. The caller holds mu.
func (f *Feed) take(changes []Change) []Change {
	hold := f.holding()
	var now []Change
	for _, c := range changes {
		if c.Removed && hold {
			if f.held == nil {
				f.held = make(map[ident.EndpointID]Change)
			}
			f.held[c.Entry.ID] = c
			continue
		}
		if old, ok := f.held[c.Entry.ID]; ok && old.Entry.AsOf <= c.Entry.AsOf {
			delete(f.held, c.Entry.ID)
		}
		now = append(now, c)
	}
	return f.Table.Apply(now)
}

// release applies the removals that were held back.
func (f *Feed) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holding() {
		return
	}
	var changes []Change
	for _, c := range f.held {
		changes = append(changes, c)
	}
	f.held = nil
	f.Table.Apply(changes)
}
