package orders

import (
	"time"

	"monsoonfork/core/config"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// oldTextTime is how long the controller of another domain may still use a configuration text
// after this instance has a newer one.
const oldTextTime = 4 * time.Second

// noteMoves delays the orders to engines that a new configuration text moves to this domain
// from another one: the controller there may send orders until it has the text too. An engine
// that checks fencing numbers refuses them once it has an order of a higher number.
func (c *Controller) noteMoves(s *config.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.text
	if previous == s.Text {
		return
	}
	c.text = s.Text
	if previous == nil {
		return
	}
	now := c.now()
	elsewhere := otherDomainEngines(previous, c.domain)
	for _, e := range c.domainEngines(s.Text) {
		if !elsewhere[e.Name] || e.ChecksFencing {
			continue
		}
		rec := c.recordOf(e, now)
		if until := latestOrderEnd(now.Add(oldTextTime), c.tuning, e); rec.notBefore.Before(until) {
			rec.notBefore = until
		}
	}
}

// otherDomainEngines returns the engines that a text lists for other domains.
func otherDomainEngines(t *text.Text, domain ident.DomainID) map[ident.EndpointID]bool {
	names := make(map[ident.EndpointID]bool)
	for _, e := range t.Engines {
		if e.Domain != domain {
			names[e.Name] = true
		}
	}
	return names
}
