package membership

import (
	"slices"

	"monsoonfork/core/ident"
)

// digest returns the state of the other members of this daemon's domain. Silent members
// are omitted.
func (t *Table) digest() *Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.View()
	d := &Digest{
		Domains:   v.domainNames,
		Members:   make([]uint64, 0, len(v.neighbours)),
		Counters:  make([]int64, 0, len(v.neighbours)),
		Revisions: make([]int64, 0, len(v.neighbours)),
	}
	for _, n := range v.neighbours {
		m, hash := t.members[n.id], uint64(n.hash)
		switch m.State {
		case Gone:
			d.Gone = append(d.Gone, hash)
			continue
		case Silent:
			continue
		case Leaving:
			d.Leaving = append(d.Leaving, hash)
		case Live:
		}
		d.Members = append(d.Members, hash)
		d.Counters = append(d.Counters, m.Counter)
		d.Revisions = append(d.Revisions, int64(m.Revision))
	}
	return d
}

// wellFormed reports whether the digest has a counter and a revision for each member.
func (d *Digest) wellFormed() bool {
	return len(d.GetCounters()) == len(d.GetMembers()) && len(d.GetRevisions()) == len(d.GetMembers())
}

// Merge updates the table from a peer's digest: higher counters, newer revisions, planned
// stops and ended processes. It reports whether the peer's view should be fetched, because
// the digest lists members that are not in this table, or a domain without live members
// here.
func (t *Table) Merge(d *Digest) (needsView bool) {
	if !d.wellFormed() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, domain := range d.GetDomains() {
		if t.shouldQueryDomain(ident.DomainID(domain)) {
			needsView = true
		}
	}
	changed := false
	for i, hash := range d.GetMembers() {
		id, known := t.byHash[memberHash(hash)]
		if !known {
			needsView = true
			continue
		}
		leaving := slices.Contains(d.GetLeaving(), hash)
		if t.mergeMember(id, d.GetCounters()[i], ident.Revision(d.GetRevisions()[i]), leaving) {
			changed = true
		}
	}
	for _, hash := range d.GetGone() {
		id, known := t.byHash[memberHash(hash)]
		// A counter that still grows shows that the process lives.
		grows := known && t.now().Sub(t.members[id].LastHeartbeat) < t.settleTime
		if known && !grows && t.markGone(id) {
			changed = true
		}
	}
	if changed {
		t.publish()
	}
	return needsView
}

// shouldQueryDomain reports whether a peer's view should be fetched because the peer lists
// live members of a domain and this daemon has none in its table. If only the connections
// from here to that domain are cut, the view does not help; hence it is fetched at most
// once in domainQueryInterval, not with each heartbeat. t.mu must be held.
func (t *Table) shouldQueryDomain(domain ident.DomainID) bool {
	now := t.now()
	if len(t.View().Live(domain)) > 0 || now.Before(t.nextDomainQuery[domain]) {
		return false
	}
	t.nextDomainQuery[domain] = now.Add(domainQueryInterval)
	return true
}

// mergeMember updates one member from a digest and reports whether its state has changed.
// t.mu must be held.
func (t *Table) mergeMember(id ident.InstanceID, counter int64, revision ident.Revision, leaving bool) bool {
	m := t.members[id]
	if id == t.self.ID || m.State == Gone {
		return false
	}
	before := m.State
	m.Revision = max(m.Revision, revision)
	if counter > m.Counter {
		m.Counter = counter
		m.LastHeartbeat = t.now()
		if m.State == Silent {
			m.State = Live
		}
	}
	if leaving && m.State == Live {
		m.State = Leaving
	}
	t.members[id] = m
	if m.State != before {
		t.logChange(m)
	}
	return m.State != before
}

// markGone sets a member's state to Gone and reports whether it was another one before.
// t.mu must be held.
func (t *Table) markGone(id ident.InstanceID) bool {
	m := t.members[id]
	if id == t.self.ID || m.State == Gone {
		return false
	}
	m.State, m.goneSince = Gone, t.now()
	t.members[id] = m
	t.logChange(m)
	return true
}
