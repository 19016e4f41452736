package orders

import (
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// sendOrder sends one order to an engine and records its outcome.
func (c *Controller) sendOrder(g Grant, e text.Engine, d difference) {
	o := engineapi.Order{
		ID:      c.nextOrderID(g.Fencing),
		Fencing: g.Fencing,
		Kind:    d.kind,
		Model:   d.model,
		Version: d.version,
		Adapter: d.adapter,
		Role:    d.role,
	}
	var sentAt time.Time // Zero if the order was not sent.
	limits := c.sendLimits(g, e, func() error {
		now := c.now()
		if err := c.leases.checkGrant(g.Fencing, now); err != nil {
			return err
		}
		c.leases.assertHeld(g, now)
		sentAt = now
		c.metrics.sent.Inc(1)
		return nil
	})
	_ = level.Info(c.log).Log("msg", event.OrderSent, "order", o.ID, "engine", string(e.Name), "what", d)
	err := c.Send(c.ctx, e.Address, o, limits)
	c.unreserve(e, d, c.possibleEnd(e, err, sentAt))
	c.recordOutcome(e, o, err, !sentAt.IsZero())
}

// sendLimits returns the time limits of an order that is about to be sent. It is
// not sent after the deadline of the grant.
func (c *Controller) sendLimits(g Grant, e text.Engine, check func() error) engineapi.OrderLimits {
	sendBy := c.now().Add(c.tuning.DeliveryTimeout)
	if g.Deadline.Before(sendBy) {
		sendBy = g.Deadline
	}
	return engineapi.OrderLimits{
		SendBy:          sendBy,
		DeliveryTimeout: c.tuning.DeliveryTimeout,
		ConfirmBy:       latestOrderEnd(c.now(), c.tuning, e),
		BeforeSend:      check,
	}
}

// nextOrderID returns the id of the next order.
func (c *Controller) nextOrderID(fencing ident.Epoch) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	return fmt.Sprintf("%s/%d/%d", c.domain, fencing, c.sequence)
}

// possibleEnd returns the time until which an order may still be running; zero if
// it has ended or was not executed.
func (c *Controller) possibleEnd(e text.Engine, err error, sentAt time.Time) time.Time {
	if err == nil || fault.From(err).Ran == fault.NotRun {
		return time.Time{}
	}
	return latestOrderEnd(sentAt, c.tuning, e)
}

// recordOutcome records the outcome of an order. After a confirmed order the
// engine is compared again at once.
func (c *Controller) recordOutcome(e text.Engine, o engineapi.Order, err error, sent bool) {
	if err == nil {
		c.metrics.confirmed.Inc(1)
		c.updateRecord(e.Name, func(rec *engineRecord, now time.Time) {
			rec.phase, rec.reason, rec.failures = Waiting, "the order is done; the state of the engine is about to be read again", 0
			rec.dueAt = now
		})
		return
	}
	f := fault.From(err)
	_ = level.Warn(c.log).Log("msg", event.OrderUnconfirmed, "order", o.ID, "engine", string(e.Name), "ran", f.Ran, "err", err)
	switch {
	case !sent:
		c.metrics.notSent.Inc(1)
	case f.Ran == fault.NotRun:
		c.metrics.refused.Inc(1)
	default:
		c.metrics.unconfirmed.Inc(1)
	}
	c.markFailed(e, Waiting, "the last order failed: "+err.Error())
}
