package share

import (
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// source is a member of the own domain, or the collector of another one.
type source struct {
	domain  ident.DomainID
	members int // That a collector hears.
	heardAt time.Time
	first   map[ident.OrganisationID]int64 // Where counting starts: what was admitted unheard.
	newest  map[ident.OrganisationID]int64
}

// sums is what a collector has been told.
type sums struct {
	now func() time.Time

	mu      sync.Mutex
	sources map[ident.InstanceID]*source
}

// forgetAfter is when a source is dropped that says nothing any more.
const forgetAfter = 2 * time.Minute

// newSums returns empty sums.
func newSums(now func() time.Time) sums {
	return sums{now: now, sources: make(map[ident.InstanceID]*source)}
}

// take takes over what a source has admitted since it started.
func (s *sums) take(from ident.InstanceID, domain ident.DomainID, members int, admitted []*Usage) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	src := s.sources[from]
	if src == nil {
		src = &source{domain: domain, first: make(map[ident.OrganisationID]int64), newest: make(map[ident.OrganisationID]int64)}
		s.forget(now)
		s.sources[from] = src
	}
	// What a source admits while it is silent is covered by its part of the rate.
	silent := now.Sub(src.heardAt) >= unheardAfter
	src.heardAt, src.members = now, members
	for _, u := range admitted {
		name, tokens := ident.OrganisationID(u.GetOrganisation()), u.GetTokens()
		if silent {
			src.first[name] += tokens - src.newest[name]
		}
		src.newest[name] = tokens
	}
}

// forget drops sources that ended long ago. The caller holds mu.
func (s *sums) forget(now time.Time) {
	for id, src := range s.sources {
		if now.Sub(src.heardAt) > forgetAfter {
			delete(s.sources, id)
		}
	}
}

// others returns what all sources but one have admitted while they were heard.
func (s *sums) others(but ident.InstanceID) []*Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total(func(id ident.InstanceID, _ *source) bool { return id != but })
}

// ofDomain returns what the members of a domain have admitted, and how many of
// them are heard.
func (s *sums) ofDomain(domain ident.DomainID) ([]*Usage, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total(func(_ ident.InstanceID, src *source) bool { return src.domain == domain }), s.heardHere(domain)
}

// total adds up the sources that want accepts. The caller holds mu.
func (s *sums) total(want func(ident.InstanceID, *source) bool) []*Usage {
	byName := make(map[ident.OrganisationID]int64)
	for id, src := range s.sources {
		for name, tokens := range src.newest {
			add := int64(0)
			if want(id, src) {
				add = tokens - src.first[name]
			}
			byName[name] += add
		}
	}
	list := make([]*Usage, 0, len(byName))
	for name, tokens := range byName {
		list = append(list, &Usage{Organisation: string(name), Tokens: tokens})
	}
	return list
}

// part returns the part of rates that those who are heard may use together: all
// but that of instances that are expected and not heard.
func (s *sums) part(self ident.DomainID, expected int) float64 {
	return min(1, float64(s.heard(self))/float64(max(1, expected)))
}

// heard returns how many instances are heard: members of the own domain, and those
// that the collectors of other domains hear.
func (s *sums) heard(own ident.DomainID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heardHere(own) + s.heardElsewhere(own)
}

// heardHere counts the members of the own domain that are heard. The caller holds
// mu.
func (s *sums) heardHere(own ident.DomainID) int {
	now := s.now()
	n := 0
	for _, src := range s.sources {
		if src.domain == own && now.Sub(src.heardAt) < unheardAfter {
			n++
		}
	}
	return n
}

// heardElsewhere counts what the collectors of other domains hear. The caller
// holds mu.
func (s *sums) heardElsewhere(own ident.DomainID) int {
	now := s.now()
	best := make(map[ident.DomainID]int)
	for _, src := range s.sources {
		if src.domain != own && now.Sub(src.heardAt) < unheardAfter {
			best[src.domain] = max(best[src.domain], src.members)
		}
	}
	n := 0
	for _, members := range best {
		n += members
	}
	return n
}
