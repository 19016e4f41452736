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

// lookAtDue starts a look at each engine that is due.
func (c *Controller) lookAtDue() {
	g, ok := c.tenure.current()
	s := c.Snapshot()
	if !ok || s == nil {
		return
	}
	for _, e := range c.due(g, s) {
		c.looks <- struct{}{}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			defer func() { <-c.looks }()
			c.look(s, e)
		}()
	}
}

// due marks the engines that are due as busy and returns them. A new grant
// begins with nothing known; a new text makes all engines due.
func (c *Controller) due(g Grant, s *config.Snapshot) []text.Engine {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	engines := c.domainEngines(s.Text)
	c.forgetOthers(engines)
	if c.fencing != g.Fencing {
		c.fencing = g.Fencing
		for _, e := range c.engines {
			e.phase, e.reason, e.lookAt = Unseen, "", now
		}
	}
	if c.revision != s.Revision {
		c.revision = s.Revision
		for _, e := range c.engines {
			e.lookAt, e.failures = now, 0
		}
	}
	var list []text.Engine
	for _, e := range engines {
		known := c.entryOf(e, now)
		if known.busy || now.Before(known.lookAt) {
			continue
		}
		known.busy, known.revision = true, s.Revision
		list = append(list, e)
	}
	return list
}

// entryOf returns the entry of an engine. The caller holds mu.
func (c *Controller) entryOf(e text.Engine, now time.Time) *entry {
	known, ok := c.engines[e.Name]
	if !ok {
		known = &entry{lookAt: now}
		c.engines[e.Name] = known
	}
	switch {
	case e.State != text.Leaving:
		known.leavingAt = time.Time{}
	case known.leavingAt.IsZero():
		known.leavingAt = now
	}
	return known
}

// forgetOthers drops engines that the text no longer has. The caller holds mu.
func (c *Controller) forgetOthers(engines []text.Engine) {
	listed := make(map[ident.EndpointID]bool, len(engines))
	for _, e := range engines {
		listed[e.Name] = true
	}
	for name, e := range c.engines {
		if !listed[name] && !e.busy {
			delete(c.engines, name)
		}
	}
}

// look compares one engine with the text and gives it the next order, if it
// differs and the order need not wait.
func (c *Controller) look(s *config.Snapshot, e text.Engine) {
	g, ok := c.tenure.current()
	if !ok {
		c.wait(e, "this instance is no longer the controller", c.retryAt())
		return
	}
	state, err := c.State(c.ctx, e.Address)
	if err != nil {
		c.failed(e, Unreachable, err.Error())
		return
	}
	if state.Fencing > g.Fencing {
		c.tenure.outranked(state.Fencing)
		c.wait(e, fmt.Sprintf("the engine has seen fencing number %d", state.Fencing), c.retryAt())
		return
	}
	found := differences(s.Text, e, state)
	if len(found) == 0 {
		c.agreed(e)
		return
	}
	c.orderFirst(g, s, e, found)
}

// orderFirst gives the first order that need not wait.
func (c *Controller) orderFirst(g Grant, s *config.Snapshot, e text.Engine, found []difference) {
	if reason, until := c.blocked(g, s, e); reason != "" {
		c.wait(e, reason, until)
		return
	}
	var reason string
	for _, d := range found {
		why := c.begin(e, d)
		if why == "" {
			c.order(g, e, d)
			return
		}
		if reason == "" {
			reason = why
		}
	}
	c.wait(e, reason, c.retryAt())
}

// blocked returns why no order may be given to an engine now, and until when.
func (c *Controller) blocked(g Grant, s *config.Snapshot, e text.Engine) (reason string, until time.Time) {
	now := c.now()
	if s.Revision < g.Revision {
		return fmt.Sprintf("the text of revision %d has not come yet", g.Revision), c.retryAt()
	}
	if clear := c.clearOfOthers(g, e); now.Before(clear) {
		return "an order of an earlier controller may still be under way", clear
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := c.engines[e.Name].notBefore; now.Before(at) {
		return "the last order may still be under way", at
	}
	return "", time.Time{}
}

// clearOfOthers returns the time from which no order of an earlier controller
// is under way at an engine. One that checks fencing numbers refuses those.
func (c *Controller) clearOfOthers(g Grant, e text.Engine) time.Time {
	if e.ChecksFencing {
		return g.Acquired
	}
	return orderEnd(g.Acquired, c.tuning, e)
}

// orderEnd returns when an order that left by a time is over, whatever became
// of it.
func orderEnd(left time.Time, tuning Tuning, e text.Engine) time.Time {
	return left.Add(tuning.DeliverWithin).Add(time.Duration(e.OrderTimeoutMS) * time.Millisecond)
}

// retryAt returns when something that has to wait is looked at again.
func (c *Controller) retryAt() time.Time { return c.now().Add(c.tuning.RetryAfter) }

// agreed notes that an engine serves what the text declares.
func (c *Controller) agreed(e text.Engine) {
	c.update(e.Name, func(known *entry, now time.Time) {
		known.phase, known.reason, known.failures = Agreed, "", 0
		known.agreedAt = now
		known.lookAt = now.Add(c.tuning.LookEvery)
	})
}

// wait notes what the next order waits for.
func (c *Controller) wait(e text.Engine, reason string, until time.Time) {
	c.update(e.Name, func(known *entry, _ time.Time) {
		known.phase, known.reason, known.lookAt = Waiting, reason, until
	})
}

// failed notes a look or an order that failed. The next one comes later with
// each failure.
func (c *Controller) failed(e text.Engine, phase Phase, reason string) {
	c.update(e.Name, func(known *entry, now time.Time) {
		known.phase, known.reason = phase, reason
		known.lookAt = now.Add(c.backOff(known.failures))
		known.failures++
	})
}

// backOff returns the time to the next try after a number of failures.
func (c *Controller) backOff(failures int) time.Duration {
	d := c.tuning.RetryAfter
	for range failures {
		d = min(2*d, c.tuning.LongestRetry)
	}
	return d
}

// update changes the entry of an engine, which is no longer busy then. When a
// newer text has come meanwhile, the engine is due at once.
func (c *Controller) update(name ident.EndpointID, change func(known *entry, now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	known := c.engines[name]
	before := known.phase
	change(known, now)
	known.busy, known.ordering = false, false
	if known.revision != c.revision {
		known.lookAt = now
	}
	if before != known.phase {
		_ = level.Debug(c.log).Log("msg", event.EngineChanged, "engine", string(name), "phase", known.phase, "reason", known.reason)
	}
	c.metrics.differing.Update(c.differing())
}

// differing returns the number of engines that do not agree with the text. The
// caller holds mu.
func (c *Controller) differing() int64 {
	var n int64
	for _, e := range c.engines {
		if e.phase != Agreed {
			n++
		}
	}
	return n
}
