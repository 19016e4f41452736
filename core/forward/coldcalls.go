package forward

import (
	"context"
	"sync"
	"time"

	"monsoonfork/core/coldlimit"
	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// coldCalls are calls to engines that keep to the limit of cold engines. A stream with a
// reservation that was within the limit is within it too.
type coldCalls struct {
	calls   EngineCalls // Without the limit.
	limiter *coldlimit.Limiter
	find    func(engines.Entry) *engines.Engine

	mu     sync.Mutex
	within map[heldReservation]bool // Open reservations that were within the limit.
}

// heldReservation is a reservation at an engine.
type heldReservation struct {
	engine ident.EndpointID
	id     string
}

// WithColdLimit returns calls that refuse, as not run, those that would exceed the limit of a
// cold engine. find returns the listed engine of an entry, or nil.
func WithColdLimit(calls EngineCalls, limiter *coldlimit.Limiter, find func(engines.Entry) *engines.Engine) EngineCalls {
	c := &coldCalls{calls: calls, limiter: limiter, find: find, within: make(map[heldReservation]bool)}
	limited := calls
	limited.Send, limited.Prefill = c.send, c.prefill
	limited.Reserve, limited.ReleaseReservation = c.reserve, c.releaseReservation
	return limited
}

// take uses up the permission to call an engine if it is cold. limited is whether it is.
func (c *coldCalls) take(entry engines.Entry) (limited bool, err error) {
	e := c.find(entry)
	if e == nil || !c.limiter.IsLimited(e) {
		return false, nil
	}
	if !c.limiter.Take(e) {
		return true, fault.New(fault.EndpointRefused, "engine %s is cold and may not be called by this instance now", entry.ID)
	}
	return true, nil
}

// send is EngineCalls.Send within the limit.
func (c *coldCalls) send(ctx context.Context, call Call, sink Sink) error {
	if !c.endReservation(heldReservation{call.Engine.ID, call.Reservation}) {
		if _, err := c.take(call.Engine); err != nil {
			return err
		}
	}
	return c.calls.Send(ctx, call, sink)
}

// prefill is EngineCalls.Prefill within the limit.
func (c *coldCalls) prefill(ctx context.Context, call Call) (string, error) {
	if _, err := c.take(call.Engine); err != nil {
		return "", err
	}
	return c.calls.Prefill(ctx, call)
}

// reserve is EngineCalls.Reserve within the limit.
func (c *coldCalls) reserve(ctx context.Context, e engines.Entry, size ident.Tokens, until, connectBy time.Time) (string, error) {
	limited, err := c.take(e)
	if err != nil {
		return "", err
	}
	id, err := c.calls.Reserve(ctx, e, size, until, connectBy)
	if err == nil && limited {
		c.beginReservation(heldReservation{e.ID, id})
	}
	return id, err
}

// releaseReservation is EngineCalls.ReleaseReservation.
func (c *coldCalls) releaseReservation(e engines.Entry, id string) {
	c.endReservation(heldReservation{e.ID, id})
	c.calls.ReleaseReservation(e, id)
}

// beginReservation records a reservation that was within the limit.
func (c *coldCalls) beginReservation(r heldReservation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.within[r] = true
}

// endReservation forgets a reservation that is used or released, and reports whether it was
// within the limit.
func (c *coldCalls) endReservation(r heldReservation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	within := c.within[r]
	delete(c.within, r)
	return within
}
