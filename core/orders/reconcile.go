package orders

import (
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/config"
	"monsoonfork/core/event"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// reconcileDue starts a comparison of each engine that is due.
func (c *Controller) reconcileDue() {
	s := c.Snapshot()
	if s == nil {
		return
	}
	c.noteMoves(s)
	g, ok := c.leases.currentGrant()
	if !ok {
		return
	}
	for _, e := range c.claimDue(g, s) {
		c.reconcileSlots <- struct{}{}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			defer func() { <-c.reconcileSlots }()
			c.reconcile(s, e)
		}()
	}
}

// claimDue marks the engines that are due as busy and returns them. A new grant
// resets the phases of all engines; a new configuration text makes them all due.
func (c *Controller) claimDue(g Grant, s *config.Snapshot) []text.Engine {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	engines := c.domainEngines(s.Text)
	c.removeUnlisted(engines, now)
	if c.fencing != g.Fencing {
		c.fencing = g.Fencing
		for _, e := range c.engines {
			e.phase, e.reason, e.dueAt = NotCompared, "", now
		}
	}
	if c.revision != s.Revision {
		c.revision = s.Revision
		for _, e := range c.engines {
			e.dueAt, e.failures = now, 0
		}
	}
	var list []text.Engine
	for _, e := range engines {
		rec := c.recordOf(e, now)
		if rec.busy || now.Before(rec.dueAt) {
			continue
		}
		rec.busy, rec.comparedRevision = true, s.Revision
		list = append(list, e)
	}
	return list
}

// recordOf returns the record of an engine and creates it if necessary. The
// caller holds mu.
func (c *Controller) recordOf(e text.Engine, now time.Time) *engineRecord {
	rec, ok := c.engines[e.Name]
	if !ok {
		rec = &engineRecord{dueAt: now}
		c.engines[e.Name] = rec
	}
	switch {
	case e.State != text.Leaving:
		rec.leavingSince = time.Time{}
	case rec.leavingSince.IsZero():
		rec.leavingSince = now
	}
	return rec
}

// removeUnlisted removes the records of engines that the configuration text no
// longer lists. A record stays while an order to its engine may still be running, in
// case the engine is listed again. The caller holds mu.
func (c *Controller) removeUnlisted(engines []text.Engine, now time.Time) {
	listed := make(map[ident.EndpointID]bool, len(engines))
	for _, e := range engines {
		listed[e.Name] = true
	}
	for name, e := range c.engines {
		switch {
		case listed[name] || e.busy:
		case now.Before(e.notBefore):
			e.leavingSince = time.Time{}
		default:
			delete(c.engines, name)
		}
	}
}

// reconcile compares one engine with the configuration text. If it differs, and
// an order does not have to wait, reconcile sends it one.
func (c *Controller) reconcile(s *config.Snapshot, e text.Engine) {
	g, ok := c.leases.currentGrant()
	if !ok {
		c.markWaiting(e, "this instance is no longer the controller", c.retryAt())
		return
	}
	state, err := c.State(c.ctx, e.Address)
	if err != nil {
		c.markFailed(e, Unreachable, err.Error())
		return
	}
	if state.Fencing > g.Fencing {
		c.leases.recordFencingSeen(state.Fencing)
		c.markWaiting(e, fmt.Sprintf("the engine has seen fencing number %d", state.Fencing), c.retryAt())
		return
	}
	found := differences(s.Text, e, state)
	if len(found) == 0 {
		c.markAgreed(e)
		return
	}
	c.sendFirstPossible(g, s, e, found)
}

// sendFirstPossible sends the order for the first difference whose order does not
// have to wait.
func (c *Controller) sendFirstPossible(g Grant, s *config.Snapshot, e text.Engine, found []difference) {
	if reason, until := c.orderBlocked(g, s, e); reason != "" {
		c.markWaiting(e, reason, until)
		return
	}
	var reason string
	for _, d := range found {
		why := c.reserve(e, d)
		if why == "" {
			c.sendOrder(g, e, d)
			return
		}
		if reason == "" {
			reason = why
		}
	}
	c.markWaiting(e, reason, c.retryAt())
}

// orderBlocked returns why no order may be sent to an engine now, and until when.
// The reason is empty if an order may be sent.
func (c *Controller) orderBlocked(g Grant, s *config.Snapshot, e text.Engine) (reason string, until time.Time) {
	now := c.now()
	if s.Revision < g.Revision {
		return fmt.Sprintf("the text of revision %d has not arrived yet", g.Revision), c.retryAt()
	}
	if end := c.earlierOrdersEnd(g, e); now.Before(end) {
		return "an order of an earlier controller may still be running", end
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := c.engines[e.Name].notBefore; now.Before(at) {
		return "the last order may still be running", at
	}
	return "", time.Time{}
}

// earlierOrdersEnd returns the time after which no order of an earlier controller
// can be running at an engine. An engine that checks fencing numbers refuses
// orders of earlier controllers, so that there is nothing to wait for.
func (c *Controller) earlierOrdersEnd(g Grant, e text.Engine) time.Time {
	if e.ChecksFencing {
		return g.Acquired
	}
	return latestOrderEnd(g.Acquired, c.tuning, e)
}

// latestOrderEnd returns the time by which an order that was sent no later than
// sentBy has ended, whatever its outcome.
func latestOrderEnd(sentBy time.Time, tuning Tuning, e text.Engine) time.Time {
	return sentBy.Add(tuning.DeliveryTimeout).Add(time.Duration(e.OrderTimeoutMS) * time.Millisecond)
}

// retryAt returns when an engine whose order has to wait is compared again.
func (c *Controller) retryAt() time.Time { return c.now().Add(c.tuning.RetryDelay) }

// markAgreed records that an engine serves what the configuration text declares.
func (c *Controller) markAgreed(e text.Engine) {
	c.updateRecord(e.Name, func(rec *engineRecord, now time.Time) {
		rec.phase, rec.reason, rec.failures = Agreed, "", 0
		rec.agreedAt = now
		rec.dueAt = now.Add(c.tuning.ResyncInterval)
	})
}

// markWaiting records what the next order is waiting for and when the engine is
// compared again.
func (c *Controller) markWaiting(e text.Engine, reason string, until time.Time) {
	c.updateRecord(e.Name, func(rec *engineRecord, _ time.Time) {
		rec.phase, rec.reason, rec.dueAt = Waiting, reason, until
	})
}

// markFailed records a failed comparison or order. The next attempt follows after
// an exponential delay.
func (c *Controller) markFailed(e text.Engine, phase Phase, reason string) {
	c.updateRecord(e.Name, func(rec *engineRecord, now time.Time) {
		rec.phase, rec.reason = phase, reason
		rec.dueAt = now.Add(c.retryDelay(rec.failures))
		rec.failures++
	})
}

// retryDelay returns the delay before the next attempt after a number of
// consecutive failures.
func (c *Controller) retryDelay(failures int) time.Duration {
	d := c.tuning.RetryDelay
	for range failures {
		d = min(2*d, c.tuning.MaxRetryDelay)
	}
	return d
}

// updateRecord changes the record of an engine and marks the engine as no longer
// busy. If a newer configuration text has arrived meanwhile, the engine is due at
// once.
func (c *Controller) updateRecord(name ident.EndpointID, change func(rec *engineRecord, now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	rec := c.engines[name]
	before := rec.phase
	change(rec, now)
	rec.busy, rec.orderInFlight = false, false
	if rec.comparedRevision != c.revision {
		rec.dueAt = now
	}
	if before != rec.phase {
		_ = level.Debug(c.log).Log("msg", event.EngineChanged, "engine", string(name), "phase", rec.phase, "reason", rec.reason)
	}
	c.metrics.differing.Update(c.countDiffering())
}

// countDiffering returns the number of engines that do not agree with the
// configuration text. The caller holds mu.
func (c *Controller) countDiffering() int64 {
	var n int64
	for _, e := range c.engines {
		if e.phase != Agreed {
			n++
		}
	}
	return n
}
