package share

import (
	"sync"
	"time"

	"monsoonfork/core/boottime"
	"monsoonfork/core/ident"
)

// source holds the usage reported by a member of this domain, or by the collector of
// another domain.
type source struct {
	domain      ident.DomainID
	liveMembers int                            // Live members of the domain, as reported by a collector; 0 for a member.
	validUntil  boottime.Instant               // When its last report expires.
	baseline    map[ident.OrganisationID]usage // What is not counted, as no report was valid at that time.
	latest      map[ident.OrganisationID]usage // What the last report contained.
}

// usage is how many tokens of an organisation were admitted, and asked for.
type usage struct{ admitted, asked int64 }

// usageOf returns the usage in a message.
func usageOf(u *Usage) usage { return usage{admitted: u.GetTokens(), asked: u.GetAsked()} }

// plus returns the sum of two usages.
func (u usage) plus(v usage) usage {
	return usage{admitted: u.admitted + v.admitted, asked: u.asked + v.asked}
}

// minus returns the difference of two usages.
func (u usage) minus(v usage) usage {
	return usage{admitted: u.admitted - v.admitted, asked: u.asked - v.asked}
}

// usageTotals adds up the usage that is reported to a collector.
type usageTotals struct {
	bootTime func() boottime.Instant

	mu      sync.Mutex
	sources map[ident.InstanceID]*source
	dropped map[ident.DomainID]map[ident.OrganisationID]usage // Usage of sources that were dropped, so that totals never fall.
}

// sourceRetention is how long a source is kept after its last report has expired.
const sourceRetention = 2 * time.Minute

// newUsageTotals returns totals without any source.
func newUsageTotals(bootTime func() boottime.Instant) usageTotals {
	return usageTotals{bootTime: bootTime, sources: make(map[ident.InstanceID]*source), dropped: make(map[ident.DomainID]map[ident.OrganisationID]usage)}
}

// record stores the usage that a source has reported since it started.
func (s *usageTotals) record(from ident.InstanceID, domain ident.DomainID, members int, reported []*Usage) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	src := s.sources[from]
	if src == nil {
		src = &source{domain: domain, baseline: make(map[ident.OrganisationID]usage), latest: make(map[ident.OrganisationID]usage)}
		s.dropExpired(now)
		s.sources[from] = src
	}
	// Tokens that a source admits while its reports are missing are covered by the
	// fraction of the rate that is set aside for it.
	expired := !now.Before(src.validUntil)
	src.validUntil, src.liveMembers = now.Add(reportTTL), members
	for _, u := range reported {
		name, latest := ident.OrganisationID(u.GetOrganisation()), usageOf(u)
		if expired {
			src.baseline[name] = src.baseline[name].plus(latest.minus(src.latest[name]))
		}
		src.latest[name] = latest
	}
}

// dropExpired removes sources whose last report expired sourceRetention ago, and keeps
// the sums of what they were counted with. The caller holds mu.
func (s *usageTotals) dropExpired(now boottime.Instant) {
	for id, src := range s.sources {
		if now.Before(src.validUntil.Add(sourceRetention)) {
			continue
		}
		sums := s.dropped[src.domain]
		if sums == nil {
			sums = make(map[ident.OrganisationID]usage)
			s.dropped[src.domain] = sums
		}
		for name := range src.latest {
			sums[name] = sums[name].plus(src.counted(name))
		}
		delete(s.sources, id)
	}
}

// counted returns what a source is counted with.
func (src *source) counted(name ident.OrganisationID) usage {
	return src.latest[name].minus(src.baseline[name])
}

// totalExcept returns the counted tokens of all sources but one.
func (s *usageTotals) totalExcept(excluded ident.InstanceID) []*Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total(func(id ident.InstanceID, _ *source) bool { return id != excluded }, func(ident.DomainID) bool { return true })
}

// domainTotal returns the counted tokens of the members of a domain, and how many of
// these members are live.
func (s *usageTotals) domainTotal(domain ident.DomainID) ([]*Usage, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.total(func(_ ident.InstanceID, src *source) bool { return src.domain == domain }, func(d ident.DomainID) bool { return d == domain })
	return list, s.liveInDomain(domain)
}

// total adds up the sources that include accepts, and the dropped sources of the domains
// that includeDropped accepts. Organisations that only other sources report are listed
// with 0 tokens. The caller holds mu.
func (s *usageTotals) total(include func(ident.InstanceID, *source) bool, includeDropped func(ident.DomainID) bool) []*Usage {
	byName := make(map[ident.OrganisationID]usage)
	for id, src := range s.sources {
		for name := range src.latest {
			counted := usage{}
			if include(id, src) {
				counted = src.counted(name)
			}
			byName[name] = byName[name].plus(counted)
		}
	}
	for domain, sums := range s.dropped {
		if !includeDropped(domain) {
			continue
		}
		for name, counted := range sums {
			byName[name] = byName[name].plus(counted)
		}
	}
	list := make([]*Usage, 0, len(byName))
	for name, u := range byName {
		list = append(list, &Usage{Organisation: string(name), Tokens: u.admitted, Asked: u.asked})
	}
	return list
}

// usableFraction returns the fraction of each rate that the live instances may use
// together. The rest is set aside for instances that are expected but do not report.
func (s *usageTotals) usableFraction(self ident.DomainID, expected int) float64 {
	return min(1, float64(s.liveInstances(self))/float64(max(1, expected)))
}

// liveInstances counts the live members of this domain and the live members that the
// collectors of other domains report.
func (s *usageTotals) liveInstances(own ident.DomainID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.liveInDomain(own) + s.liveElsewhere(own)
}

// liveInDomain counts the members of this domain with a report no older than
// reportTTL. The caller holds mu.
func (s *usageTotals) liveInDomain(own ident.DomainID) int {
	now := s.bootTime()
	n := 0
	for _, src := range s.sources {
		if src.domain == own && now.Before(src.validUntil) {
			n++
		}
	}
	return n
}

// liveElsewhere adds up the live members that the collectors of other domains report.
// While a domain changes its collector, two of them can report; the larger number
// counts. The caller holds mu.
func (s *usageTotals) liveElsewhere(own ident.DomainID) int {
	now := s.bootTime()
	byDomain := make(map[ident.DomainID]int)
	for _, src := range s.sources {
		if src.domain != own && now.Before(src.validUntil) {
			byDomain[src.domain] = max(byDomain[src.domain], src.liveMembers)
		}
	}
	n := 0
	for _, members := range byDomain {
		n += members
	}
	return n
}
