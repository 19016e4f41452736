package share

import (
	"maps"
	"sync"
	"time"

	"monsoonfork/core/admission"
	"monsoonfork/core/boottime"
	"monsoonfork/core/ident"
)

// source holds the usage reported by a member of this domain, or by the collector of
// another domain.
type source struct {
	domain      ident.DomainID
	liveMembers int                 // Live members of the domain, as reported by a collector; 0 for a member.
	validUntil  boottime.Instant    // When its last report expires.
	baseline    usageByOrganisation // What is not counted, as no report was valid at that time.
	latest      usageByOrganisation // What the source has reported.
	replies     int64               // Number of replies to its reports.
	replied     usageByOrganisation // What the last of them and those before have contained.
	waiting     admission.Waiting   // Requests that lack memory, as of the last report.
}

// newSource returns a source that has not reported yet.
func newSource(domain ident.DomainID) *source {
	return &source{
		domain: domain, baseline: make(usageByOrganisation), latest: make(usageByOrganisation), replied: make(usageByOrganisation),
	}
}

// usageByOrganisation is the usage of each organisation.
type usageByOrganisation map[ident.OrganisationID]usage

// add adds to the usage of an organisation.
func (m usageByOrganisation) add(name ident.OrganisationID, u usage) { m[name] = m[name].plus(u) }

// messages returns the usage as messages.
func (m usageByOrganisation) messages() []*Usage {
	list := make([]*Usage, 0, len(m))
	for name, u := range m {
		list = append(list, u.message(name))
	}
	return list
}

// usageTotals adds up the usage that is reported to a collector. The sums contain the sources
// that were dropped, so that they never fall.
type usageTotals struct {
	bootTime func() boottime.Instant

	mu       sync.Mutex
	sources  map[ident.InstanceID]*source
	total    usageByOrganisation
	byDomain map[ident.DomainID]usageByOrganisation
}

// sourceRetention is how long a source is kept after its last report has expired.
const sourceRetention = 2 * time.Minute

// newUsageTotals returns totals without any source.
func newUsageTotals(bootTime func() boottime.Instant) usageTotals {
	return usageTotals{
		bootTime: bootTime,
		sources:  make(map[ident.InstanceID]*source),
		total:    make(usageByOrganisation),
		byDomain: make(map[ident.DomainID]usageByOrganisation),
	}
}

// record stores the usage that a source has reported since it started. Organisations that are
// not reported have not changed.
func (s *usageTotals) record(from ident.InstanceID, domain ident.DomainID, members int, reported []*Usage) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	src := s.sources[from]
	if src == nil {
		src = newSource(domain)
		s.dropExpired(now)
		s.sources[from] = src
	}
	// Tokens that a source admits while its reports are missing are covered by the
	// fraction of the rate that is set aside for it.
	expired := !now.Before(src.validUntil)
	src.validUntil, src.liveMembers = now.Add(reportTTL), members
	for _, u := range reported {
		name, latest := ident.OrganisationID(u.GetOrganisation()), usageOf(u)
		before := src.counted(name)
		if expired {
			src.baseline.add(name, latest.minus(src.latest[name]))
		}
		src.latest[name] = latest
		s.addToSums(src.domain, name, src.counted(name).minus(before))
	}
}

// addToSums adds usage of a domain to the sums. The caller holds mu.
func (s *usageTotals) addToSums(domain ident.DomainID, name ident.OrganisationID, u usage) {
	if s.byDomain[domain] == nil {
		s.byDomain[domain] = make(usageByOrganisation)
	}
	s.byDomain[domain].add(name, u)
	s.total.add(name, u)
}

// dropExpired removes sources whose last report expired sourceRetention ago. The caller holds mu.
func (s *usageTotals) dropExpired(now boottime.Instant) {
	for id, src := range s.sources {
		if !now.Before(src.validUntil.Add(sourceRetention)) {
			delete(s.sources, id)
		}
	}
}

// counted returns what a source is counted with.
func (src *source) counted(name ident.OrganisationID) usage {
	return src.latest[name].minus(src.baseline[name])
}

// hasReplied reports whether a source has received a reply since it is known. If not, its reports
// must contain all of its usage.
func (s *usageTotals) hasReplied(to ident.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	src := s.sources[to]
	return src != nil && src.replies > 0
}

// reply returns the number of the next reply to a source, and the usage of all other sources. If
// the source has received the reply before, that is only what has changed since.
func (s *usageTotals) reply(to ident.InstanceID, received int64) (sequence int64, changed []*Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	src := s.sources[to]
	if received != src.replies || received == 0 {
		clear(src.replied)
	}
	src.replies++
	for name, sum := range s.total {
		u := sum.minus(src.counted(name))
		if before, known := src.replied[name]; known && before == u {
			continue
		}
		src.replied[name] = u
		changed = append(changed, u.message(name))
	}
	return src.replies, changed
}

// totalExcept returns the counted tokens of all sources but one. Organisations that only that one
// reports are listed with 0 tokens.
func (s *usageTotals) totalExcept(excluded ident.InstanceID) []*Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := maps.Clone(s.total)
	if src := s.sources[excluded]; src != nil {
		for name := range src.latest {
			others[name] = others[name].minus(src.counted(name))
		}
	}
	return others.messages()
}

// domainTotal returns the counted tokens of the members of a domain, and how many of
// these members are live.
func (s *usageTotals) domainTotal(domain ident.DomainID) ([]*Usage, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byDomain[domain].messages(), s.liveInDomain(domain)
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
