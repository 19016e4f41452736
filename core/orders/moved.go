package orders

import (
	"maps"
	"time"

	"monsoonfork/core/config"
	"monsoonfork/core/ident"
)

// oldTextTime is how long the controller of another domain may still use a configuration text
// after this instance has a newer one.
const oldTextTime = 4 * time.Second

// noteMoves delays the orders to engines that a new configuration text moves to this domain
// from another one, also if a text between them did not list them: the controller there may send
// orders until it has the text too. An engine that checks fencing numbers refuses them once it
// has an order of a higher number.
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
	maps.DeleteFunc(c.elsewhere, func(_ ident.EndpointID, until time.Time) bool { return until.Before(now) })
	for _, e := range previous.Engines {
		if e.Domain != c.domain {
			c.elsewhere[e.Name] = latestOrderEnd(now.Add(oldTextTime), c.tuning, e)
		}
	}
	for _, e := range c.domainEngines(s.Text) {
		until, moved := c.elsewhere[e.Name]
		if !moved || e.ChecksFencing {
			continue
		}
		if rec := c.recordOf(e, now); rec.notBefore.Before(until) {
			rec.notBefore = until
		}
	}
}
