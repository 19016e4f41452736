package caller

import (
	"time"

	"monsoonfork/core/fault"
)

// deliveryTime is how long all sent bytes must have been acknowledged before a response
// counts as delivered. It is a little less than idleSweeps sweeps take.
const deliveryTime = (idleSweeps - 2) * sweepInterval

// markLastRequest makes the request being handled the last of its connection. nbhttp
// would close the connection from the handler's goroutine as soon as it has the
// response: bytes buffered for a slow caller would be lost, and an event that a poller
// has already fetched for the descriptor would be applied to the next connection with
// the same descriptor. Instead the sending side is closed once the response is
// delivered, and the poller closes the connection when the caller has closed its side.
func (c *conn) markLastRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRequest = true
}

// isLastResponse reports whether the connection is closed after the response being written.
// With drain it stops accepting requests, unless others have arrived already: a caller that
// is notified of the close does not read their responses. The request itself may still count
// as input being read, as its handler starts before the poller has returned; so it waits until
// the poller has returned or has begun to parse another request.
func (c *conn) isLastResponse(drain bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for drain && !c.lastRequest && c.reading && c.activeRequests <= 1 && c.requestDeadline.IsZero() {
		c.readChanged.Wait()
	}
	if c.activeRequests > 1 {
		return false
	}
	if drain && !c.lastRequest {
		c.lastRequest = c.requestDeadline.IsZero() && !c.hasInput()
	}
	return c.lastRequest
}

// closeWriteIfDelivered closes the sending side of a connection without a request if its
// last request was handled, or if drain is set. The caller's host must have acknowledged all
// sent bytes in idleSweeps successive calls over deliveryTime: bytes that nbio has buffered
// may reach the kernel only a moment after it has sent all others. Until then a connection
// that is closed because of a drain accepts requests. Server.sweep calls it once per
// sweepInterval.
func (c *conn) closeWriteIfDelivered(now time.Time, drain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isQuiet(drain) {
		c.deliveredSweeps = 0
		return
	}
	if c.deliveredSweeps == 0 {
		c.deliveryCheck = now.Add(deliveryTime)
	}
	c.deliveredSweeps++
	if c.deliveredSweeps >= idleSweeps && !now.Before(c.deliveryCheck) {
		c.closeWrite(now)
	}
}

// isQuiet reports whether the connection has no request, all sent bytes were acknowledged,
// and its last request was handled or drain is set. The caller must hold c.mu.
func (c *conn) isQuiet(drain bool) bool {
	if c.activeRequests > 0 || c.writeClosed {
		return false
	}
	if !c.lastRequest && (!drain || !c.requestDeadline.IsZero() || c.hasInput()) {
		return false
	}
	return !hasUnacked(c.nbc)
}

// closeWrite closes the sending side and stops accepting requests. The connection is closed
// when the caller closes its side, or after lingerTime. The caller must hold c.mu.
func (c *conn) closeWrite(now time.Time) {
	c.markClosedIdle(now)
	c.lastRequest = true
	c.writeClosed = true
	c.closeDeadline = now.Add(lingerTime)
	shutdownWrite(c.nbc)
}

// isClosed reports whether the connection is closed. nbio guards the flag by the
// connection's lock.
func (c *conn) isClosed() bool {
	c.nbc.Lock()
	defer c.nbc.Unlock()
	closed, _ := c.nbc.IsClosed()
	return closed
}

// enforceTimeouts cancels the request of a disconnected caller, rejects a request that
// was not complete in time, and closes an idle connection, unless input has arrived that is
// not parsed yet, as after a suspension of the process. nbhttp does none of this for a
// handler: it does not cancel the request's context, and Write returns no error after a
// disconnect.
func (c *conn) enforceTimeouts(now time.Time) {
	closed := c.isClosed()
	c.cancelIfDisconnected(closed)
	if closed {
		c.unsent.close()
		return
	}
	timeout, idle := c.checkDeadlines(now)
	if idle {
		_ = c.nbc.Close()
	}
	if timeout != nil {
		c.sendRejection(timeout)
	}
}

// checkDeadlines returns the rejection of a request that was not complete in time, or nil, and
// reports whether the connection is idle. It records either.
func (c *conn) checkDeadlines(now time.Time) (timeout *fault.Error, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isTimedOut(now) {
		timeout = fault.New(fault.RequestTimeout, "the request was not complete in time")
		c.rejection = timeout
	}
	c.checkDelivery(now)
	idle = c.isIdle(now)
	c.closing = c.closing || idle
	return timeout, idle
}

// checkDelivery moves the start of the idle time to the delivery of the last response. Bytes
// that nbio has buffered may reach the kernel only a moment after it has sent all others, so
// delivery is checked again before the connection counts as idle. A caller that reads nothing
// is detected by endUnread. The caller must hold c.mu.
func (c *conn) checkDelivery(now time.Time) {
	if c.activeRequests > 0 || c.writeClosed || (!c.delivering && !now.After(c.closeDeadline)) {
		return
	}
	if c.delivering = hasUnacked(c.nbc); c.delivering {
		c.startIdleTime(now)
	}
}

// isTimedOut reports whether the request being read was not complete in time. The caller
// must hold c.mu.
func (c *conn) isTimedOut(now time.Time) bool {
	return !c.requestDeadline.IsZero() && now.After(c.requestDeadline) && !c.hasInput()
}

// isIdle reports whether the connection has no request and its closeDeadline has passed. The
// caller must hold c.mu.
func (c *conn) isIdle(now time.Time) bool {
	if c.activeRequests > 0 || !c.requestDeadline.IsZero() || !now.After(c.closeDeadline) {
		return false
	}
	return c.lastRequest || !c.hasInput()
}
