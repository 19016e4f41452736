package engines

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"monsoonfork/core/ident"
)

// Change is a new or changed entry of one engine, or its removal.
type Change struct {
	Entry   Entry // Only ID and ListRevision are set for a removal.
	Removed bool
}

// Table holds the engines of all services. ServiceEngines and All read an immutable view
// without taking the lock.
type Table struct {
	view atomic.Pointer[view]

	mu             sync.Mutex
	engines        map[ident.EndpointID]*Engine
	removed        map[ident.EndpointID]removal // The newest removals of engines that have not returned.
	ended          endedRuns
	onReturns      func([]Return)             // See SetOnReturns.
	delaysReturns  bool                       // See delayReturns.
	revision       int64                      // Highest revision of the list that was applied.
	complete       bool                       // A complete list was applied.
	sequence       int64                      // Number of changes applied to this table.
	changeSequence map[ident.EndpointID]int64 // Sequence number of the last change of each listed engine.
	partitionSums  Checksums
	engineSums     map[ident.EndpointID]uint32 // Checksum of each engine.
	changeSignal   chan struct{}               // Closed at the next change.
	evacuated      map[ident.DomainID]bool     // Failure domains whose engines get no new requests.
	coldness       Coldness
}

// removal records when an engine was removed.
type removal struct {
	revision int64 // Revision of the list.
	sequence int64 // Sequence number of the change of the table.
}

// view holds the engines by service, sorted by id.
type view struct {
	byService map[ident.ServiceID][]*Engine
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{
		engines:        make(map[ident.EndpointID]*Engine),
		removed:        make(map[ident.EndpointID]removal),
		ended:          newEndedRuns(),
		changeSequence: make(map[ident.EndpointID]int64),
		engineSums:     make(map[ident.EndpointID]uint32),
		changeSignal:   make(chan struct{}),
	}
	t.publishView()
	return t
}

// ServiceEngines returns the engines of a service. The slice must not be changed.
func (t *Table) ServiceEngines(service ident.ServiceID) []*Engine {
	return t.view.Load().byService[service]
}

// All returns all engines, sorted by id.
func (t *Table) All() []*Engine {
	var all []*Engine
	for _, list := range t.view.Load().byService {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b *Engine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// MarkStageChange excludes an engine from new requests while it changes its stage; see
// Engine.MarkStageChange.
func (t *Table) MarkStageChange(id ident.EndpointID, to Stage, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.engines[id]; e != nil {
		e.MarkStageChange(to, until)
	}
}

// HasCompleteList reports whether a complete list was applied, and returns the highest
// revision of the list that was applied.
func (t *Table) HasCompleteList() (bool, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.complete, t.revision
}

// Apply applies changes and returns those that changed the table. Changes that are older
// than the entry of their engine, or not newer than its removal, are ignored.
func (t *Table) Apply(changes []Change) []Change {
	return t.applyAll(changes).applied
}

// applyAll is Apply with all that became of the changes.
func (t *Table) applyAll(changes []Change) result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.apply(changes)
	if len(r.applied) > 0 {
		t.publishView()
	}
	return r
}

// Replace applies a complete list as of a revision. Engines that are not in the list are
// removed, unless they changed after the revision. It returns the changes applied.
func (t *Table) Replace(entries []Entry, revision int64) []Change {
	return t.replaceAll(entries, revision).applied
}

// replaceAll is Replace with all that became of the changes.
func (t *Table) replaceAll(entries []Entry, revision int64) result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replace(entries, revision, func(ident.EndpointID) bool { return true })
	t.complete = true
	t.revision = max(t.revision, revision)
	return r
}

// replace applies a complete list of the engines whose ids are in scope. The caller must
// hold mu.
func (t *Table) replace(entries []Entry, revision int64, inScope func(ident.EndpointID) bool) result {
	var known []ident.EndpointID
	for id := range t.engines {
		if inScope(id) {
			known = append(known, id)
		}
	}
	r := t.apply(listChanges(entries, revision, known))
	t.publishView()
	return r
}

// listChanges returns the changes to a complete list as of a revision: its entries, and the removals of
// the known engines that it lacks.
func listChanges(entries []Entry, revision int64, known []ident.EndpointID) []Change {
	listed := make(map[ident.EndpointID]bool, len(entries))
	changes := make([]Change, 0, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		changes = append(changes, Change{Entry: e})
	}
	for _, id := range known {
		if !listed[id] {
			changes = append(changes, Change{Entry: Entry{ID: id, ListRevision: revision}, Removed: true})
		}
	}
	return changes
}

// MarkComplete records that a complete list as of a revision was applied.
func (t *Table) MarkComplete(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.complete = true
	t.revision = max(t.revision, revision)
}

// TableChanges is a set of changes of a table, for another instance to apply.
type TableChanges struct {
	Complete   bool  // The table has had a complete list.
	Partitions []int // Partitions of which Changes has all entries.
	Truncated  bool  // Other partitions differ too.
	Sequence   int64 // Sequence number of the table's last change; see Since.
	Revision   int64 // Highest revision of the list that the table has applied.
	Changes    []Change
	Changed    <-chan struct{} // Closed at the next change of the table.
}

// Since returns the changes of this table after a sequence number.
func (t *Table) Since(sequence int64) TableChanges {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := TableChanges{Complete: t.complete, Sequence: t.sequence, Revision: t.revision, Changed: t.changeSignal}
	for id, e := range t.engines {
		if t.changeSequence[id] > sequence {
			n.Changes = append(n.Changes, Change{Entry: e.CurrentEntry()})
		}
	}
	for id, r := range t.removed {
		if _, back := t.engines[id]; !back && r.sequence > sequence {
			n.Changes = append(n.Changes, Change{Entry: Entry{ID: id, ListRevision: r.revision}, Removed: true})
		}
	}
	return n
}

// result is what became of changes.
type result struct {
	applied []Change // Those that changed the table.
	delayed []Change // Returns that were left out; see delayReturns.
}

// apply applies changes. The caller must hold mu.
func (t *Table) apply(changes []Change) result {
	var r result
	var delayed, returned []Return
	for _, c := range changes {
		if t.isOutdated(c) {
			continue
		}
		isReturn := t.isReturn(c)
		if isReturn && t.delaysReturns {
			r.delayed = append(r.delayed, c)
			delayed = append(delayed, t.newReturn(c.Entry, ReturnDelayed))
			continue
		}
		if isReturn {
			returned = append(returned, t.newReturn(c.Entry, ReturnApplied))
		}
		if t.applyOne(c) {
			r.applied = append(r.applied, c)
			t.revision = max(t.revision, c.Entry.ListRevision)
		}
	}
	t.reportReturns(delayed)
	t.reportReturns(returned)
	if len(r.applied) > 0 {
		close(t.changeSignal)
		t.changeSignal = make(chan struct{})
	}
	return r
}

// isOutdated reports whether a change is older than the entry of its engine, or not newer than its
// removal. The caller must hold mu.
func (t *Table) isOutdated(c Change) bool {
	if c.Entry.ListRevision <= t.removed[c.Entry.ID].revision {
		return true
	}
	listed := t.engines[c.Entry.ID]
	return listed != nil && c.Entry.ListRevision < listed.Revision()
}

// applyOne applies a change that is not outdated, and reports whether it changed the table. The caller
// must hold mu.
func (t *Table) applyOne(c Change) bool {
	id := c.Entry.ID
	old := t.engines[id]
	if c.Removed {
		return t.remove(c.Entry)
	}
	if old != nil && old.sameRun(c.Entry) {
		if !old.update(c.Entry) {
			return false
		}
		t.recordChange(c.Entry)
		return true
	}
	t.recordChange(c.Entry)
	if old != nil {
		t.end(old)
	}
	delete(t.removed, id) // The new entry has a higher revision.
	t.engines[id] = t.newRun(c.Entry, old != nil)
	return true
}

// recordChange records that a new or changed entry is applied. The caller must hold mu.
func (t *Table) recordChange(e Entry) {
	t.sequence++
	t.changeSequence[e.ID] = t.sequence
	t.setChecksum(e.ID, e.checksum())
}

// remove applies the removal of an engine, of which only the id and the revision are given. A removal
// that is written again, after the store has lost it, replaces the earlier one, so that entries of the
// store's older copy are outdated from then on. The caller must hold mu.
func (t *Table) remove(e Entry) bool {
	old := t.engines[e.ID]
	_, removed := t.removed[e.ID]
	if old == nil && (!removed || !t.delaysReturns) {
		return false
	}
	t.sequence++
	t.recordRemoval(e.ID, e.ListRevision)
	if old != nil {
		t.setChecksum(e.ID, 0)
		t.end(old)
		delete(t.engines, e.ID)
	}
	return true
}

// newRun returns the engine of an entry whose run is not listed yet. A run that was listed before keeps
// what this instance knows of it, or at least what it has announced. The caller must hold mu.
func (t *Table) newRun(e Entry, restarted bool) *Engine {
	ended := t.ended.take(e.Run())
	if ended != nil && ended.sameRun(e) {
		ended.relist(e)
		ended.setEvacuated(t.evacuated[e.Domain])
		return ended
	}
	listed := &Engine{
		Entry: e, state: e.State, stage: e.Stage, revision: e.ListRevision,
		evacuated: t.evacuated[e.Domain], cold: e.Cold, coldUntil: t.newColdUntil(e, restarted),
	}
	if ended != nil && e.Started != 0 {
		listed.announcedLeaving, listed.pausedUntil = ended.announcements()
	}
	return listed
}

// end marks the end of an engine's run. The caller must hold mu.
func (t *Table) end(e *Engine) {
	e.markRemoved()
	t.ended.add(e)
}

// maxRemovals is the largest number of removals that a table keeps. It is more than twice the
// number of engines of the largest fleet, so that the removal of all of them reaches the other
// instances.
const maxRemovals = 16_000

// recordRemoval records the removal of an engine. If there are too many, the older half is
// forgotten. The caller must hold mu.
func (t *Table) recordRemoval(id ident.EndpointID, revision int64) {
	t.removed[id] = removal{revision, t.sequence}
	delete(t.changeSequence, id)
	if len(t.removed) <= maxRemovals {
		return
	}
	sequences := make([]int64, 0, len(t.removed))
	for _, r := range t.removed {
		sequences = append(sequences, r.sequence)
	}
	slices.Sort(sequences)
	oldest := sequences[len(sequences)/2]
	maps.DeleteFunc(t.removed, func(_ ident.EndpointID, r removal) bool { return r.sequence < oldest })
}

// publishView rebuilds the view that ServiceEngines and All read. The caller must hold mu.
func (t *Table) publishView() {
	v := &view{byService: make(map[ident.ServiceID][]*Engine)}
	for _, e := range t.engines {
		v.byService[e.Service] = append(v.byService[e.Service], e)
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b *Engine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	t.view.Store(v)
}
