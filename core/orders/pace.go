package orders

import (
	"fmt"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
)

// pool is the engines of the domain that serve a phase of a model.
type pool struct {
	model ident.ModelID
	role  text.EngineRole
}

// turn is the right of one engine to change its version while the others of its
// pool go on.
type turn struct {
	engine ident.EndpointID
	until  time.Time // Zero while the order is under way.
}

// begin reserves what an order needs, or returns what it has to wait for.
func (c *Controller) begin(e text.Engine, d difference) string {
	if d.kind == engine.SetRole {
		if why := c.roleBlocked(e); why != "" {
			return why
		}
	}
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.loads() && c.loading >= c.tuning.Loads {
		return fmt.Sprintf("%d engines are loading already", c.loading)
	}
	if d.kind == engine.SetVersion {
		p := pool{d.model, e.Role}
		if other, taken := c.turns[p]; taken && other.engine != e.Name && (other.until.IsZero() || now.Before(other.until)) {
			return fmt.Sprintf("%s changes its version first", other.engine)
		}
		c.turns[p] = turn{engine: e.Name}
	}
	if d.loads() {
		c.loading++
	}
	known := c.engines[e.Name]
	invariant.Check(c.log, "OneOrderAnEngine", !known.ordering && !now.Before(known.notBefore), "engine", string(e.Name))
	known.ordering, known.phase, known.reason = true, Ordering, d.String()
	return ""
}

// end gives back what begin reserved. After an order whose outcome is unknown
// the engine keeps its turn until the order is over.
func (c *Controller) end(e text.Engine, d difference, over time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.loads() {
		c.loading--
	}
	known := c.engines[e.Name]
	known.notBefore = over
	if d.kind != engine.SetVersion {
		return
	}
	p := pool{d.model, e.Role}
	if over.IsZero() {
		delete(c.turns, p)
		return
	}
	c.turns[p] = turn{engine: e.Name, until: over}
}

// roleBlocked returns what a change of role has to wait for: it would end the
// requests that the engine holds.
func (c *Controller) roleBlocked(e text.Engine) string {
	if e.State != text.Leaving {
		return "mark the engine as Leaving: it changes its role only without work"
	}
	c.mu.Lock()
	since := c.engines[e.Name].leavingAt
	c.mu.Unlock()
	if c.now().Before(since.Add(c.tuning.RoleSettle)) {
		return "the engine was marked as leaving just now"
	}
	held, err := c.Requests(c.ctx, e.Address)
	if err != nil {
		return "the engine does not list its requests"
	}
	if len(held) > 0 {
		return fmt.Sprintf("the engine still holds %d requests", len(held))
	}
	return ""
}
