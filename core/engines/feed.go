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

// othersHoldTime is how long it holds that another instance delays removals. Instances that rely on
// another one get its replies more often.
const othersHoldTime = 1500 * time.Millisecond

// Feed applies the platform's list to a table. After an outage of the store it delays removals by
// removalHoldTime, in which the store stays reachable. After the return of the store from an older copy
// it also delays returns, which are entries by which an engine that has left is ready again: the copy
// may be older than its departure. The table then leaves out returns that come from other instances too.
type Feed struct {
	Table *Table
	Now   func() time.Time
	// OnApplied is called with the changes that were applied at the end of a delay. May be nil.
	OnApplied func([]Change)
	// OnReturnsAccepted is called at the end of a delay of returns. Those that came from other
	// instances were left out, so that the whole table is to be compared. May be nil.
	OnReturnsAccepted func()

	mu           sync.Mutex
	storeLost    bool                        // The store doesn't answer; changes that are delayed stay so.
	holdUntil    time.Time                   // Removals are delayed until this time.
	returnsUntil time.Time                   // Returns are delayed until this time, and until removals are not.
	othersUntil  time.Time                   // Another instance that follows the store delays removals until this time.
	held         map[ident.EndpointID]Change // The newest delayed change of each engine.
}

// DiscardHeld drops the delayed changes. It is called when this instance stops following the store:
// from then on the entries come from other instances, and what they apply to the table does not cancel
// a change that is held here. The table leaves out returns for as long as before.
func (f *Feed) DiscardHeld() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeLost {
		f.delayReturns(f.Now())
	}
	f.held, f.storeLost = nil, false
}

// StoreLost extends the delays: engines can't register while the store is away again.
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
	f.delayRemovals(at)
}

// StoreReset starts the delays of removals and of returns, after the store has come back from an older
// copy: what is not in the copy is missing until it has been written again.
func (f *Feed) StoreReset(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Table.delayReturns()
	f.delayReturns(at)
	f.delayRemovals(at)
}

// SetOthersHold records whether another instance that follows the store delays removals, as it does
// after an outage. What the store has lost can't be written again in an outage, so that a delay of
// returns continues.
func (f *Feed) SetOthersHold(held bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held {
		f.othersUntil = f.Now().Add(othersHoldTime)
		return
	}
	if !f.othersUntil.IsZero() {
		f.othersUntil = time.Time{}
		time.AfterFunc(0, f.applyHeld)
	}
}

// delayRemovals starts or extends the delay of removals. The caller must hold mu.
func (f *Feed) delayRemovals(at time.Time) {
	f.holdUntil = at.Add(removalHoldTime)
	time.AfterFunc(removalHoldTime, f.applyHeld)
}

// delayReturns starts or extends the delay of returns. The caller must hold mu.
func (f *Feed) delayReturns(at time.Time) {
	f.returnsUntil = at.Add(removalHoldTime)
	time.AfterFunc(removalHoldTime, f.applyHeld)
}

// ReplaceAll applies a complete list as of a revision, and returns the changes applied.
func (f *Feed) ReplaceAll(entries []Entry, revision int64) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.holdsRemovals() {
		f.held = nil
		r := f.Table.replaceAll(entries, revision)
		f.hold(r.delayed)
		return r.applied
	}
	applied := f.apply(listChanges(entries, revision, f.knownEngines()))
	f.Table.MarkComplete(revision)
	return applied
}

// knownEngines returns the listed engines, and those whose return is delayed. The caller must hold mu.
func (f *Feed) knownEngines() []ident.EndpointID {
	var known []ident.EndpointID
	for _, e := range f.Table.All() {
		known = append(known, e.ID)
	}
	for id, c := range f.held {
		if !c.Removed {
			known = append(known, id)
		}
	}
	return known
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

// AwaitsStore reports whether this instance or one that it relies on delays removals, as the store is away
// or was so shortly before.
func (f *Feed) AwaitsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holdsRemovals() || f.Now().Before(f.othersUntil)
}

// holdsRemovals reports whether removals are delayed now. The caller must hold mu.
func (f *Feed) holdsRemovals() bool { return f.storeLost || f.Now().Before(f.holdUntil) }

// returnsEnd returns when the delay of returns ends at the earliest. The caller must hold mu.
func (f *Feed) returnsEnd() time.Time {
	if f.othersUntil.After(f.returnsUntil) {
		return f.othersUntil
	}
	return f.returnsUntil
}

// apply applies changes, except those that are delayed. The caller must hold mu.
func (f *Feed) apply(changes []Change) []Change {
	var applicable, delayed []Change
	for _, c := range changes {
		if c.Removed && f.holdsRemovals() {
			delayed = append(delayed, c)
			continue
		}
		f.dropOlder(c)
		applicable = append(applicable, c)
	}
	r := f.Table.applyAll(applicable)
	f.hold(delayed)
	f.hold(r.delayed)
	return r.applied
}

// hold delays changes. Of two changes of one engine the newer one is kept, whichever arrives first. The
// caller must hold mu.
func (f *Feed) hold(changes []Change) {
	if f.held == nil {
		f.held = make(map[ident.EndpointID]Change)
	}
	for _, c := range changes {
		f.dropOlder(c)
		if _, newer := f.held[c.Entry.ID]; !newer {
			f.held[c.Entry.ID] = c
		}
	}
}

// dropOlder forgets the delayed change of an engine if another one is not older. The caller must hold
// mu.
func (f *Feed) dropOlder(c Change) {
	old, ok := f.held[c.Entry.ID]
	if !ok || old.Entry.ListRevision > c.Entry.ListRevision {
		return
	}
	delete(f.held, c.Entry.ID)
	listedAgain := !c.Removed && c.Entry.State == Ready && c.Entry.Run() == old.Entry.Run()
	if !old.Removed && !listedAgain {
		f.Table.reportCancelled(old.Entry)
	}
}

// applyHeld applies the delayed changes, unless the delay was extended.
func (f *Feed) applyHeld() {
	applied, accepted := f.releaseHeld()
	if len(applied) > 0 && f.OnApplied != nil {
		f.OnApplied(applied)
	}
	if accepted && f.OnReturnsAccepted != nil {
		f.OnReturnsAccepted()
	}
}

// releaseHeld applies the delayed changes whose delay has ended. It reports whether a delay of returns
// has ended.
func (f *Feed) releaseHeld() (applied []Change, returnsAccepted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holdsRemovals() {
		return nil, false
	}
	// Removals come first: one that is written again makes the entries of the older copy outdated.
	applied = f.Table.Apply(f.takeHeld(func(c Change) bool { return c.Removed }))
	if wait := f.returnsEnd().Sub(f.Now()); wait > 0 {
		time.AfterFunc(wait, f.applyHeld)
		return applied, false
	}
	returnsAccepted = f.Table.acceptReturns()
	return append(applied, f.Table.Apply(f.takeHeld(func(Change) bool { return true }))...), returnsAccepted
}

// takeHeld returns the delayed changes that match, and forgets them. The caller must hold mu.
func (f *Feed) takeHeld(match func(Change) bool) []Change {
	var taken []Change
	for id, c := range f.held {
		if match(c) {
			taken = append(taken, c)
			delete(f.held, id)
		}
	}
	return taken
}
