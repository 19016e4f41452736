package orders

import (
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
)

// order sends one order to an engine and notes what is known of it then.
func (c *Controller) order(g Grant, e text.Engine, d difference) {
	o := engine.Order{
		ID:      c.nextID(g.Fencing),
		Fencing: g.Fencing,
		Kind:    d.kind,
		Model:   d.model,
		Version: d.version,
		Adapter: d.adapter,
		Role:    d.role,
	}
	var left time.Time // When the order left; zero if it did not.
	sending := c.sending(g, e, func() error {
		now := c.now()
		if err := c.tenure.check(g.Fencing, now); err != nil {
			return err
		}
		c.tenure.assertHeld(g, now)
		left = now
		c.metrics.sent.Inc(1)
		return nil
	})
	_ = level.Info(c.log).Log("msg", event.OrderSent, "order", o.ID, "engine", string(e.Name), "what", d)
	err := c.Send(c.ctx, e.Address, o, sending)
	c.end(e, d, c.settle(e, err, left))
	c.conclude(e, o, err, !left.IsZero())
}

// sending returns the limits of an order that is about to be sent.
func (c *Controller) sending(g Grant, e text.Engine, check func() error) engine.Sending {
	sendBy := c.now().Add(c.tuning.DeliverWithin)
	if g.Deadline.Before(sendBy) {
		sendBy = g.Deadline
	}
	return engine.Sending{
		SendBy:        sendBy,
		DeliverWithin: c.tuning.DeliverWithin,
		DoneBy:        orderEnd(c.now(), c.tuning, e),
		Check:         check,
	}
}

// nextID returns the id of the next order.
func (c *Controller) nextID(fencing ident.Epoch) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	return fmt.Sprintf("%s/%d/%d", c.domain, fencing, c.sequence)
}

// settle returns until when an order may still be under way; zero when it is
// over.
func (c *Controller) settle(e text.Engine, err error, left time.Time) time.Time {
	if err == nil || fault.From(err).Ran == fault.NotRun {
		return time.Time{}
	}
	return orderEnd(left, c.tuning, e)
}

// conclude notes what became of an order. After one that was done the engine is
// looked at again at once.
func (c *Controller) conclude(e text.Engine, o engine.Order, err error, left bool) {
	if err == nil {
		c.metrics.done.Inc(1)
		c.update(e.Name, func(known *entry, now time.Time) {
			known.phase, known.reason, known.failures = Waiting, "done; the engine is looked at again", 0
			known.lookAt = now
		})
		return
	}
	f := fault.From(err)
	_ = level.Warn(c.log).Log("msg", event.OrderUnconfirmed, "order", o.ID, "engine", string(e.Name), "ran", f.Ran, "err", err)
	switch {
	case !left:
		c.metrics.heldBack.Inc(1)
	case f.Ran == fault.NotRun:
		c.metrics.refused.Inc(1)
	default:
		c.metrics.unknown.Inc(1)
	}
	c.failed(e, Waiting, "the last order: "+err.Error())
}
