package engines

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"monsoonfork/core/ident"
)

// Change is news of one engine: an entry, or that it was removed.
type Change struct {
	Entry   Entry // Of a removed engine only ID and AsOf are set.
	Removed bool
}

// Table holds the engines. Readers use an unchanging view.
type Table struct {
	view atomic.Pointer[view]

	mu       sync.Mutex
	engines  map[ident.EndpointID]*Engine
	removed  map[ident.EndpointID]removal
	revision int64
	known    bool
	sequence int64                      // Changes of this table.
	changed  map[ident.EndpointID]int64 // Sequence of the last change of each engine.
	sums     Sums
	added    map[ident.EndpointID]uint32 // What each engine adds to the sum of its part.
	news     chan struct{}               // Closed at the next change.
}

// removal is when an engine was removed.
type removal struct {
	revision int64 // Of the list.
	sequence int64 // Of the table.
}

// view is the engines by service, in the order of their ids.
type view struct {
	byService map[ident.ServiceID][]*Engine
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{
		engines: make(map[ident.EndpointID]*Engine),
		removed: make(map[ident.EndpointID]removal),
		changed: make(map[ident.EndpointID]int64),
		added:   make(map[ident.EndpointID]uint32),
		news:    make(chan struct{}),
	}
	t.publish()
	return t
}

// Of returns the engines of a service. The slice must not be changed.
func (t *Table) Of(service ident.ServiceID) []*Engine { return t.view.Load().byService[service] }

// All returns all engines, by id.
func (t *Table) All() []*Engine {
	var all []*Engine
	for _, list := range t.view.Load().byService {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b *Engine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// Spare notes that an engine is about to change its stage; see Engine.Spare.
func (t *Table) Spare(id ident.EndpointID, to Stage, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.engines[id]; e != nil {
		e.Spare(to, until)
	}
}

// Known reports whether a whole list was taken, and the newest revision of it.
func (t *Table) Known() (bool, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known, t.revision
}

// Apply takes changes. News that is not newer than what is known of an engine is
// dropped. It returns the changes taken.
func (t *Table) Apply(changes []Change) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.apply(changes)
	if len(taken) > 0 {
		t.publish()
	}
	return taken
}

// Replace takes a whole list as of a revision. Engines that it does not name, and
// that have not changed since, are removed.
func (t *Table) Replace(entries []Entry, revision int64) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.replace(entries, revision, func(ident.EndpointID) bool { return true })
	t.known = true
	t.revision = max(t.revision, revision)
	return taken
}

// replace takes a list of all engines that covers names. The caller holds mu.
func (t *Table) replace(entries []Entry, revision int64, covers func(ident.EndpointID) bool) []Change {
	named := make(map[ident.EndpointID]bool, len(entries))
	changes := make([]Change, 0, len(entries))
	for _, e := range entries {
		named[e.ID] = true
		changes = append(changes, Change{Entry: e})
	}
	for id, e := range t.engines {
		if !named[id] && covers(id) && e.Revision() <= revision {
			changes = append(changes, Change{Entry: Entry{ID: id, AsOf: revision}, Removed: true})
		}
	}
	taken := t.apply(changes)
	t.publish()
	return taken
}

// MarkKnown notes that a whole list as of a revision was taken.
func (t *Table) MarkKnown(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = true
	t.revision = max(t.revision, revision)
}

// News is what has changed in a table.
type News struct {
	Known    bool
	Parts    []int // Parts of the table of which Changes are all entries.
	More     bool  // Other parts differ too.
	Sequence int64
	Revision int64
	Changes  []Change
	Next     <-chan struct{} // Closed at the next change.
}

// Since returns what has changed after a sequence of this table.
func (t *Table) Since(sequence int64) News {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := News{Known: t.known, Sequence: t.sequence, Revision: t.revision, Next: t.news}
	for id, e := range t.engines {
		if t.changed[id] > sequence {
			n.Changes = append(n.Changes, Change{Entry: e.Now()})
		}
	}
	for id, r := range t.removed {
		if _, back := t.engines[id]; !back && r.sequence > sequence {
			n.Changes = append(n.Changes, Change{Entry: Entry{ID: id, AsOf: r.revision}, Removed: true})
		}
	}
	return n
}

// apply takes changes. The caller holds mu.
func (t *Table) apply(changes []Change) []Change {
	var taken []Change
	for _, c := range changes {
		if t.applyOne(c) {
			taken = append(taken, c)
			t.revision = max(t.revision, c.Entry.AsOf)
		}
	}
	if len(taken) > 0 {
		close(t.news)
		t.news = make(chan struct{})
	}
	return taken
}

// applyOne takes a change and reports whether it changed anything.
func (t *Table) applyOne(c Change) bool {
	id := c.Entry.ID
	old := t.engines[id]
	if c.Entry.AsOf <= t.removed[id].revision || (old != nil && c.Entry.AsOf < old.Revision()) {
		return false
	}
	if c.Removed {
		if old == nil {
			return false
		}
		t.sequence++
		t.removed[id] = removal{c.Entry.AsOf, t.sequence}
		t.count(id, 0)
		old.leave()
		delete(t.engines, id)
		return true
	}
	if old != nil && old.sameRun(c.Entry) {
		if !old.update(c.Entry) {
			return false
		}
		t.sequence++
		t.changed[id] = t.sequence
		t.count(id, c.Entry.sum())
		return true
	}
	t.sequence++
	t.changed[id] = t.sequence
	t.count(id, c.Entry.sum())
	if old != nil {
		old.leave()
	}
	t.engines[id] = &Engine{Entry: c.Entry, state: c.Entry.State, stage: c.Entry.Stage, revision: c.Entry.AsOf}
	return true
}

// publish makes the view anew. The caller holds mu.
func (t *Table) publish() {
	v := &view{byService: make(map[ident.ServiceID][]*Engine)}
	for _, e := range t.engines {
		v.byService[e.Service] = append(v.byService[e.Service], e)
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b *Engine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	t.view.Store(v)
}
