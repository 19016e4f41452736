package membership

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// Times after which table entries are deleted or queried.
const (
	memberRetention     = 2 * time.Minute // Time after its last heartbeat for which a silent or gone member stays in the table.
	domainQueryInterval = 4 * time.Second // Shortest time between fetches of views because of one domain that is silent here and live elsewhere.
)

// Table is the set of members known to a daemon. Readers use the current View, without a
// lock.
type Table struct {
	log  log.Logger
	now  func() time.Time
	view atomic.Pointer[View]

	mu              sync.Mutex
	self            Member
	members         map[ident.InstanceID]Member
	byHash          map[memberHash]ident.InstanceID // The keys of members by their hashes.
	settleTime      time.Duration                   // Time for which reports about a member may be older than its newest state here.
	nextDomainQuery map[ident.DomainID]time.Time    // Earliest time of the next fetch of a view because of a silent domain.
	subscribers     []func(*View)
}

// NewTable returns a table that holds only self.
func NewTable(self Member, logger log.Logger, now func() time.Time) *Table {
	t := &Table{
		log:             log.With(logger, "part", "Membership"),
		now:             now,
		self:            self,
		members:         make(map[ident.InstanceID]Member),
		byHash:          make(map[memberHash]ident.InstanceID),
		nextDomainQuery: make(map[ident.DomainID]time.Time),
	}
	t.add(self)
	t.publish()
	return t
}

// add adds or replaces a member. t.mu must be held.
func (t *Table) add(m Member) {
	if _, known := t.members[m.ID]; !known {
		t.byHash[m.hash()] = m.ID
	}
	t.members[m.ID] = m
}

// remove deletes a member. t.mu must be held.
func (t *Table) remove(m Member) {
	delete(t.members, m.ID)
	delete(t.byHash, m.hash())
}

// View returns the current view, which is immutable. A new one is built only for a change of the
// set of members, or of a state or an address: heartbeats are far more frequent. What the
// heartbeats of a member have said since is returned by Member and Members.
func (t *Table) View() *View { return t.view.Load() }

// Self returns this daemon's own entry.
func (t *Table) Self() Member { return t.View().Self }

// Member returns the member with the given instance id as its last heartbeat describes it.
func (t *Table) Member(id ident.InstanceID) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.members[id]
	return m, known
}

// Members returns all members in any state as their last heartbeats describe them, sorted by
// domain and instance id.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return sortedMembers(t.members)
}

// AddressOf returns the peer address of an instance.
func (t *Table) AddressOf(id ident.InstanceID) (ident.Address, bool) {
	m, ok := t.View().Member(id)
	return m.PeerAddress, ok
}

// Subscribe calls f with the current view and then with each view in which the set of
// members or a state has changed, one call at a time. f must not block and must not call
// methods of t that change it.
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
	t.add(t.self)
	t.publish()
}

// RecordHeartbeat records a heartbeat that came from the member itself, with its counter
// and its revision. Older processes at the same address are marked as gone: the member
// has replaced them. A member that was marked as gone is live again if the heartbeat is newer
// than all before and no other process has replaced it: connections to it were refused.
func (t *Table) RecordHeartbeat(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.ID == t.self.ID {
		return
	}
	old, known := t.members[m.ID]
	if known && old.State == Gone && (m.Counter <= old.Counter || t.hasSuccessor(m)) {
		return
	}
	m.LastHeartbeat = t.now()
	m.Revision = max(m.Revision, old.Revision)
	m.Counter = max(m.Counter, old.Counter)
	// A planned stop can't be cancelled.
	if known && old.State == Leaving {
		m.State = Leaving
	}
	t.add(m)
	replaced := t.markReplaced(m)
	if replaced || !known || old.State != m.State {
		t.logChange(m)
	} else if old.hasRecordOf(m) {
		return
	}
	t.publish()
}

// markReplaced marks older processes at m's address as gone and reports whether there were
// any. t.mu must be held.
func (t *Table) markReplaced(m Member) bool {
	changed := false
	for id, other := range t.members {
		replaced := other.PeerAddress == m.PeerAddress && id != m.ID && id != t.self.ID
		if replaced && other.State != Gone && !other.Started.After(m.Started) {
			other.State, other.goneSince = Gone, t.now()
			t.members[id] = other
			t.logChange(other)
			changed = true
		}
	}
	return changed
}

// hasSuccessor reports whether a later process is known at m's address. t.mu must be held.
func (t *Table) hasSuccessor(m Member) bool {
	for id, other := range t.members {
		if id != m.ID && other.PeerAddress == m.PeerAddress && other.Started.After(m.Started) {
			return true
		}
	}
	return false
}

// AddUnconfirmed adds members that another one has reported, except those that are known. They
// are silent until a heartbeat confirms that they are live.
func (t *Table) AddUnconfirmed(reported ...Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.members)
	for _, m := range reported {
		if _, known := t.members[m.ID]; known {
			continue
		}
		m.State = Silent
		m.LastHeartbeat = t.now()
		t.add(m)
	}
	if len(t.members) > before {
		t.publish()
	}
}

// mergeView adds the members of the view that another instance has reported.
func (t *Table) mergeView(remote link.Remote, reply *ViewReply) {
	var all, ownDomain []Member // All that were reported, and those of the remote instance's domain.
	for _, r := range reply.GetMembers() {
		m, err := memberFromRecord(r)
		if err != nil {
			_ = level.Warn(t.log).Log("msg", event.PeerRecordIgnored, "from", string(remote.Instance), "record", "member", "err", err)
			continue
		}
		all = append(all, m)
		if m.Domain == remote.Domain {
			ownDomain = append(ownDomain, m)
		}
	}
	t.AddUnconfirmed(all...)
	// A member is authoritative for its own domain: the members that it reports as live
	// there are live here too, so that all daemons compute the same owners of keys.
	if remote.Domain != t.Self().Domain {
		t.ReplaceDomain(remote.Domain, ownDomain)
	}
}

// ReplaceDomain sets the live members of another domain to those that one of its members
// reported. Live members that the report lacks become silent. A member that was marked as
// gone is live again if the report can't be older than that.
func (t *Table) ReplaceDomain(domain ident.DomainID, reported []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reportedIDs := make(map[ident.InstanceID]bool, len(reported))
	changed := false
	for _, m := range reported {
		reportedIDs[m.ID] = true
		old, known := t.members[m.ID]
		if known && old.Domain != domain { // A process stays in its domain.
			continue
		}
		if known && old.State == Gone && (t.hasSuccessor(m) || t.now().Sub(old.goneSince) < t.settleTime) {
			continue
		}
		changed = changed || !known || old.State != m.State || !old.hasRecordOf(m)
		m.Revision = old.Revision
		m.LastHeartbeat = t.now()
		t.add(m)
	}
	for id, m := range t.members {
		if m.Domain == domain && m.State == Live && !reportedIDs[id] {
			m.State = Silent
			t.members[id] = m
			changed = true
		}
	}
	if changed {
		t.publish()
	}
}

// RefreshDomain restarts the silence timers of the live members of another domain. It is
// called when one of them has the same view of that domain as this daemon.
func (t *Table) RefreshDomain(domain ident.DomainID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, m := range t.members {
		if m.Domain == domain && (m.State == Live || m.State == Leaving) {
			m.LastHeartbeat = t.now()
			t.members[id] = m
		}
	}
}

// MarkGone records that the process of a member has ended: its state becomes Gone.
func (t *Table) MarkGone(id ident.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.members[id]; known && t.markGone(id) {
		t.publish()
	}
}

// Expire marks members as silent whose counter last grew before a cutoff time: ownCutoff
// for members of ownDomain, otherCutoff for all others. It deletes members whose counter
// last grew longer than memberRetention ago.
func (t *Table) Expire(ownDomain ident.DomainID, ownCutoff, otherCutoff time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	forgetBefore := t.now().Add(-memberRetention)
	changed := false
	for id, m := range t.members {
		if id == t.self.ID {
			continue
		}
		if m.LastHeartbeat.Before(forgetBefore) {
			t.remove(m)
			changed = true
			continue
		}
		cutoff := otherCutoff
		if m.Domain == ownDomain {
			cutoff = ownCutoff
		}
		if (m.State == Live || m.State == Leaving) && m.LastHeartbeat.Before(cutoff) {
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

// ResetSilenceTimers restarts the silence timeout of every member. A daemon calls it when it
// detects that it was paused itself, since it could not receive heartbeats meanwhile.
func (t *Table) ResetSilenceTimers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, m := range t.members {
		m.LastHeartbeat = t.now()
		t.members[id] = m
	}
}

// logChange logs the new state of a member.
func (t *Table) logChange(m Member) {
	_ = level.Info(t.log).Log("msg", event.MemberStateChanged, "member", string(m.ID), "state", m.State, "member_domain", string(m.Domain))
}

// publish stores a new view and calls the subscribers. t.mu must be held.
func (t *Table) publish() {
	v := newView(t.self, maps.Clone(t.members))
	t.view.Store(v)
	for _, f := range t.subscribers {
		f(v)
	}
}
