package membership

import (
	"slices"

	"monsoonfork/core/ident"
)

// digest returns what this daemon knows about its domain.
func (v *View) digest() *Digest {
	d := &Digest{}
	for _, domain := range v.Domains() {
		d.Domains = append(d.Domains, string(domain))
	}
	for _, m := range v.members {
		if m.Domain != v.Self.Domain || m.ID == v.Self.ID {
			continue
		}
		hash := uint64(m.hash())
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

// wellFormed reports whether a digest has a counter and a revision for each
// member.
func (d *Digest) wellFormed() bool {
	return len(d.GetCounters()) == len(d.GetMembers()) && len(d.GetRevisions()) == len(d.GetMembers())
}

// Merge takes over what a digest knows and this daemon does not: higher
// counters, newer revisions, planned stops and ended processes. It reports
// whether its sender should be asked for records: the digest names members that
// are not known here, or a domain of which none lives here.
func (t *Table) Merge(d *Digest) (unknown bool) {
	if !d.wellFormed() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	byHash := make(map[memberHash]ident.InstanceID, len(t.members))
	for id, m := range t.members {
		byHash[m.hash()] = id
	}
	for _, domain := range d.GetDomains() {
		if t.asksAbout(ident.DomainID(domain)) {
			unknown = true
		}
	}
	changed := false
	for i, hash := range d.GetMembers() {
		id, known := byHash[memberHash(hash)]
		if !known {
			unknown = true
			continue
		}
		leaving := slices.Contains(d.GetLeaving(), hash)
		if t.mergeMember(id, d.GetCounters()[i], ident.Revision(d.GetRevisions()[i]), leaving) {
			changed = true
		}
	}
	for _, hash := range d.GetGone() {
		if id, known := byHash[memberHash(hash)]; known && t.markGone(id) {
			changed = true
		}
	}
	if changed {
		t.publish()
	} else {
		t.refresh()
	}
	return unknown
}

// asksAbout reports whether it is time to ask about a domain that has live
// members elsewhere and none here. It may be that only the links from here to
// it are cut, so that the answer does not help: it is asked for now and then,
// not with each heartbeat. t is locked.
func (t *Table) asksAbout(domain ident.DomainID) bool {
	now := t.now()
	if len(t.View().Live(domain)) > 0 || now.Before(t.askAt[domain]) {
		return false
	}
	t.askAt[domain] = now.Add(askDomainEvery)
	return true
}

// mergeMember takes over the news about one member, and reports whether its
// state has changed.
func (t *Table) mergeMember(id ident.InstanceID, counter int64, revision ident.Revision, leaving bool) bool {
	m := t.members[id]
	if id == t.self.ID || m.State == Gone {
		return false
	}
	before := m.State
	m.Revision = max(m.Revision, revision)
	if counter > m.Counter {
		m.Counter = counter
		m.LastHeard = t.now()
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

// markGone records that a member's process has ended, and reports whether
// that is news.
func (t *Table) markGone(id ident.InstanceID) bool {
	m := t.members[id]
	if id == t.self.ID || m.State == Gone {
		return false
	}
	m.State = Gone
	t.members[id] = m
	t.logChange(m)
	return true
}
