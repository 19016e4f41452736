package engines

import (
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// removalHoldTime is how long removals are delayed after the store is reachable again.
// Entries expire during an outage of the store; engines that still run have registered
// again within this time.
const removalHoldTime = 2200 * time.Millisecond

// Feed applies the platform's list to a table. After an outage of the store it delays
// removals by removalHoldTime, in which the store stays reachable. After the return of the store
// from an older copy it also delays entries by which a leaving engine would be ready again, as the
// copy may be older than its departure.
type Feed struct {
	Table *Table
	Now   func() time.Time

	mu         sync.Mutex
	storeLost  bool      // The store doesn't answer; changes that are delayed stay so.
	holdUntil  time.Time // Removals are delayed until this time.
	resetUntil time.Time // Leaving engines stay so until this time.
	held       map[ident.EndpointID]Change
}

// DiscardHeldRemovals drops the delayed removals. It is called when this instance stops
// following the store: from then on the entries come from other instances, and what they
// apply to the table does not cancel a removal that is held here.
func (f *Feed) DiscardHeldRemovals() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held, f.storeLost = nil, false
}

// StoreLost extends a delay of removals: engines can't register while the store is away
// again.
func (f *Feed) StoreLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeLost = true
}

// StoreRecovered starts the delay of removals, after the store has become reachable again.
func (f *Feed) StoreRecovered(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeLost = false
	f.hold(at)
}

// StoreReset starts the delay of removals, after the store has come back from an older copy: entries
// that are not in the copy are missing until their engines have registered again.
func (f *Feed) StoreReset(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resetUntil = at.Add(removalHoldTime)
	f.hold(at)
}

// hold starts the delay of removals. The caller must hold mu.
func (f *Feed) hold(at time.Time) {
	f.holdUntil = at.Add(removalHoldTime)
	time.AfterFunc(removalHoldTime, f.applyHeld)
}

// ReplaceAll applies a complete list as of a revision, and returns the changes applied.
func (f *Feed) ReplaceAll(entries []Entry, revision int64) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.holdsRemovals() {
		f.held = nil
		return f.Table.Replace(entries, revision)
	}
	changes := make([]Change, 0, len(entries))
	listed := make(map[ident.EndpointID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		changes = append(changes, Change{Entry: e})
	}
	for _, e := range f.Table.All() {
		if !listed[e.ID] {
			changes = append(changes, Change{Entry: Entry{ID: e.ID, ListRevision: revision}, Removed: true})
		}
	}
	applied := f.apply(changes)
	f.Table.MarkComplete(revision)
	return applied
}

// ApplyChanges applies changes of the list, and returns those that changed the table.
func (f *Feed) ApplyChanges(changes []Change) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.apply(changes)
}

// HoldsRemovals reports whether removals are delayed now.
func (f *Feed) HoldsRemovals() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holdsRemovals()
}

// holdsRemovals reports whether removals are delayed now. The caller must hold mu.
func (f *Feed) holdsRemovals() bool { return f.storeLost || f.Now().Before(f.holdUntil) }

// apply applies changes, except those that are delayed. The caller must hold mu.
func (f *Feed) apply(changes []Change) []Change {
	hold, reset := f.holdsRemovals(), f.Now().Before(f.resetUntil)
	var applicable []Change
	for _, c := range changes {
		if c.Removed && hold || reset && f.delaysReturn(c) {
			if f.held == nil {
				f.held = make(map[ident.EndpointID]Change)
			}
			f.held[c.Entry.ID] = c
			continue
		}
		if old, ok := f.held[c.Entry.ID]; ok && old.Entry.ListRevision <= c.Entry.ListRevision {
			delete(f.held, c.Entry.ID)
		}
		applicable = append(applicable, c)
	}
	return f.Table.Apply(applicable)
}

// delaysReturn reports whether a change is a return of an engine that is still listed, and reports it as
// delayed.
func (f *Feed) delaysReturn(c Change) bool {
	t := f.Table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isReturn(c) || t.listedRun(c.Entry) == nil {
		return false
	}
	t.reportReturns([]Return{t.newReturn(c.Entry, ReturnDelayed)})
	return true
}

// applyHeld applies the delayed changes, unless the delay was extended.
func (f *Feed) applyHeld() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holdsRemovals() {
		return
	}
	var changes []Change
	for _, c := range f.held {
		changes = append(changes, c)
	}
	f.held = nil
	f.Table.Apply(changes)
}
