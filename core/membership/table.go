package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/ident"
)

// Times of the table.
const (
	forgetAfter    = 2 * time.Minute // How long a silent or ended member stays.
	askDomainEvery = 4 * time.Second // Between questions about a domain that is silent here and not elsewhere.
)

// Table is the set of members that a daemon knows. Reads take the current
// View without a lock.
type Table struct {
	log  log.Logger
	now  func() time.Time
	view atomic.Pointer[View]

	mu          sync.Mutex
	self        Member
	members     map[ident.InstanceID]Member
	askAt       map[ident.DomainID]time.Time // When members may be asked about a silent domain again.
	subscribers []func(*View)
}

// NewTable returns a table that holds only self.
func NewTable(self Member, logger log.Logger, now func() time.Time) *Table {
	t := &Table{
		log:     log.With(logger, "part", "Membership"),
		now:     now,
		self:    self,
		members: map[ident.InstanceID]Member{self.ID: self},
		askAt:   make(map[ident.DomainID]time.Time),
	}
	t.publish()
	return t
}

// View returns the current view.
func (t *Table) View() *View { return t.view.Load() }

// Self returns this daemon as others see it.
func (t *Table) Self() Member { return t.View().Self }

// AddressOf returns the peer address of an instance.
func (t *Table) AddressOf(id ident.InstanceID) (ident.Address, bool) {
	m, ok := t.View().Member(id)
	return m.PeerAddress, ok
}

// Subscribe calls f with each new view, one at a time. f must not block and
// must not call methods of t that change it.
func (t *Table) Subscribe(f func(*View)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers = append(t.subscribers, f)
	f(t.view.Load())
}

// SetLeaving marks this daemon as leaving.
func (t *Table) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = Leaving
	t.members[t.self.ID] = t.self
	t.publish()
}

// Heard records a sign of life that a member gave itself, with its counter and
// its revision. A process that answers at the address of another one has
// replaced it.
func (t *Table) Heard(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.ID == t.self.ID {
		return
	}
	old, known := t.members[m.ID]
	if known && old.State == Gone {
		return
	}
	m.LastHeard = t.now()
	m.Revision = max(m.Revision, old.Revision)
	m.Counter = max(m.Counter, old.Counter)
	// A planned stop is never taken back.
	if known && old.State == Leaving {
		m.State = Leaving
	}
	t.members[m.ID] = m
	replaced := t.markReplaced(m)
	if replaced || !known || old.State != m.State {
		t.logChange(m)
		t.publish()
		return
	}
	t.refresh()
}

// markReplaced marks older processes at m's address as gone.
func (t *Table) markReplaced(m Member) bool {
	changed := false
	for id, other := range t.members {
		same := other.PeerAddress == m.PeerAddress && id != m.ID && id != t.self.ID
		if same && other.State != Gone && !other.Started.After(m.Started) {
			other.State = Gone
			t.members[id] = other
			t.logChange(other)
			changed = true
		}
	}
	return changed
}

// Learned adds a member that another one told of, unless it is known. It
// counts as silent until it is heard from.
func (t *Table) Learned(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.members[m.ID]; known {
		return
	}
	m.State = Silent
	m.LastHeard = t.now()
	t.members[m.ID] = m
	t.publish()
}

// Reported takes over the live members of another domain as one of them
// reported them. Members that are missing from the report count as silent.
func (t *Table) Reported(domain ident.DomainID, reported []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[ident.InstanceID]bool, len(reported))
	changed := false
	for _, m := range reported {
		listed[m.ID] = true
		old, known := t.members[m.ID]
		if known && old.State == Gone {
			continue
		}
		changed = changed || !known || old.State != m.State
		m.Revision = old.Revision
		m.LastHeard = t.now()
		t.members[m.ID] = m
	}
	for id, m := range t.members {
		if m.Domain == domain && m.State == Live && !listed[id] {
			m.State = Silent
			t.members[id] = m
			changed = true
		}
	}
	if changed {
		t.publish()
	}
}

// Confirmed records that a member of another domain has the same view of it
// as this daemon.
func (t *Table) Confirmed(domain ident.DomainID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, m := range t.members {
		if m.Domain == domain && (m.State == Live || m.State == Leaving) {
			m.LastHeard = t.now()
			t.members[id] = m
		}
	}
	t.refresh()
}

// Ended records that the process of a member has ended.
func (t *Table) Ended(id ident.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.members[id]; known && t.markGone(id) {
		t.publish()
	}
}

// Expire marks members as silent that were not heard from since the given
// times, one for the domain own and one for all others, and forgets those that
// have been silent or gone for long.
func (t *Table) Expire(own ident.DomainID, ownAfter, otherAfter time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	forgetBefore := t.now().Add(-forgetAfter)
	changed := false
	for id, m := range t.members {
		if id == t.self.ID {
			continue
		}
		if m.LastHeard.Before(forgetBefore) {
			delete(t.members, id)
			changed = true
			continue
		}
		heardAfter := otherAfter
		if m.Domain == own {
			heardAfter = ownAfter
		}
		if (m.State == Live || m.State == Leaving) && m.LastHeard.Before(heardAfter) {
			m.State = Silent
			t.members[id] = m
			t.logChange(m)
			changed = true
		}
	}
	if changed {
		t.publish()
	}
}

// Forgive gives every member a full silence bound from now. A daemon calls it
// when it finds that it was paused itself: the others were not silent then.
func (t *Table) Forgive() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, m := range t.members {
		m.LastHeard = t.now()
		t.members[id] = m
	}
	t.refresh()
}

// logChange logs the state of a member.
func (t *Table) logChange(m Member) {
	_ = level.Info(t.log).Log("msg", event.Member, "member", string(m.ID), "state", m.State, "member_domain", string(m.Domain))
}

// refresh stores a new view without telling subscribers.
func (t *Table) refresh() *View {
	members := make(map[ident.InstanceID]Member, len(t.members))
	for id, m := range t.members {
		members[id] = m
	}
	v := newView(t.self, members)
	t.view.Store(v)
	return v
}

// publish stores a new view and tells subscribers.
func (t *Table) publish() {
	v := t.refresh()
	for _, f := range t.subscribers {
		f(v)
	}
}
