package presence

import (
	"maps"
	"time"

	"monsoonfork/core/ident"
)

// reportValidity is how long the domains that another instance has reported are used in place
// of this instance's own. An instance that does not follow the store gets them again in each
// reply to a pull; its own may be from the time when it last followed the store.
const reportValidity = 2 * time.Second

// reportedDomains is the number of instances by domain as another instance has reported it.
type reportedDomains struct {
	members    map[ident.DomainID]int
	validUntil time.Time
}

// SetReportedDomains sets the number of instances by domain that another instance reports.
func (g *Register) SetReportedDomains(members map[ident.DomainID]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportedDomains = reportedDomains{maps.Clone(members), g.now().Add(reportValidity)}
}

// Domains returns the number of instances of each domain that is listed or was until recently,
// as another instance has just reported it or else as this one knows it.
func (g *Register) Domains() map[ident.DomainID]int {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.reportedDomains.validUntil) {
		return maps.Clone(g.reportedDomains.members)
	}
	domains := make(map[ident.DomainID]int, len(g.entries))
	for domain, e := range g.entries {
		if n := e.members(now); n > 0 {
			domains[domain] = n
		}
	}
	return domains
}
