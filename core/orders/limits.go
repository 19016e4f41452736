package orders

import (
	"fmt"
	"time"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/text"
)

// pool identifies the engines of the domain that serve a model in one role,
// prefill or decode.
type pool struct {
	model ident.ModelID
	role  text.EngineRole
}

// versionChange reserves a pool for one engine that changes its model version, so
// that the other engines of the pool keep serving meanwhile.
type versionChange struct {
	engine ident.EndpointID
	until  time.Time // End of the reservation; zero while the order is in progress.
}

// reserve reserves what an order needs and returns an empty string, or returns
// what the order has to wait for. It limits how many engines load weights at once
// and lets one engine of a pool change its version at a time.
func (c *Controller) reserve(e text.Engine, d difference) string {
	if d.kind == engineapi.SetRole {
		if why := c.roleChangeBlocked(e); why != "" {
			return why
		}
	}
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.readsWeights() && c.activeLoads >= c.tuning.MaxLoads {
		return fmt.Sprintf("%d engines are already loading", c.activeLoads)
	}
	if d.kind == engineapi.SetVersion {
		p := pool{d.model, e.Role}
		if other, taken := c.versionChanges[p]; taken && other.engine != e.Name && (other.until.IsZero() || now.Before(other.until)) {
			return fmt.Sprintf("%s changes its version first", other.engine)
		}
		c.versionChanges[p] = versionChange{engine: e.Name}
	}
	if d.readsWeights() {
		c.activeLoads++
	}
	rec := c.engines[e.Name]
	invariant.Check(c.log, "OneOrderAnEngine", !rec.orderInFlight && !now.Before(rec.notBefore), "engine", string(e.Name))
	rec.orderInFlight, rec.phase, rec.reason = true, OrderInProgress, d.String()
	return ""
}

// unreserve releases what reserve reserved. endsBy is the time by which an order whose
// outcome is unknown has ended; zero means that no order is running. The pool stays
// reserved until then.
func (c *Controller) unreserve(e text.Engine, d difference, endsBy time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.readsWeights() {
		c.activeLoads--
	}
	// A move may have set a later time while the order was in progress.
	if rec := c.engines[e.Name]; rec.notBefore.Before(endsBy) {
		rec.notBefore = endsBy
	}
	if d.kind != engineapi.SetVersion {
		return
	}
	p := pool{d.model, e.Role}
	if endsBy.IsZero() {
		delete(c.versionChanges, p)
		return
	}
	c.versionChanges[p] = versionChange{engine: e.Name, until: endsBy}
}

// roleChangeBlocked returns what a change of role has to wait for, or an empty
// string. A change of role ends the requests that the engine holds.
func (c *Controller) roleChangeBlocked(e text.Engine) string {
	if e.State != text.Leaving {
		return "mark the engine as Leaving: its role is changed only when it holds no requests"
	}
	c.mu.Lock()
	since := c.engines[e.Name].leavingSince
	c.mu.Unlock()
	if c.now().Before(since.Add(c.tuning.RoleChangeDelay)) {
		return "the engine was marked as Leaving only recently"
	}
	held, err := c.Requests(c.ctx, e.Address)
	if err != nil {
		return "the requests of the engine cannot be listed"
	}
	if len(held) > 0 {
		return fmt.Sprintf("the engine still holds %d requests", len(held))
	}
	return ""
}
