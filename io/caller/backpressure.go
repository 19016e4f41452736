package caller

import (
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/membudget"
)

const (
	// maxUnsentBytes is how many unsent bytes a connection may have when the next piece of a
	// body is written. The kernel's send buffer holds what the network needs; these bytes only
	// keep it filled.
	maxUnsentBytes = 32 << 10
	// maxPauseAfterDeadline is how long after the deadline of its request a caller may read
	// nothing. One that reads on gets what is ready of its answer.
	maxPauseAfterDeadline = 5 * time.Second
	// maxPause is how long a caller may read nothing while a write waits for it. The engine keeps
	// the memory of an answer that is not read.
	maxPause = 15 * time.Second
)

// hasSpace reports whether another piece of a body may be written to the connection. While
// memory is scarce only a connection without unsent bytes has space.
func (c *conn) hasSpace(memory *membudget.Budget) bool {
	unsent := c.unsent.bytes()
	return unsent == 0 || unsent <= maxUnsentBytes && !memory.IsScarce()
}

// awaitSpace waits until another piece of a body may be written. The engine's connection is not
// read meanwhile. It returns an error if the caller has disconnected, the server closes, or
// endUnread has ended the wait; the connection is then closed.
func (x *exchange) awaitSpace() error {
	c := x.conn
	if err := x.checkCaller(); err != nil || c.hasSpace(x.server.memory) {
		return err
	}
	x.server.metrics.waitingWrites.Inc(1)
	deadline := x.responseDeadline()
	c.waitDeadline.Store(&deadline)
	defer c.waitDeadline.Store(nil)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for !c.hasSpace(x.server.memory) {
		if x.server.closing.Load() {
			x.server.endCaller(c, errClosing)
			return errClosing
		}
		select {
		case <-c.unsent.changed:
		case <-ticker.C:
		}
		if err := x.checkCaller(); err != nil {
			return err
		}
	}
	return nil
}

// responseDeadline returns the deadline of the request. Until it is known, the time limit for
// reading a request stands in its place.
func (x *exchange) responseDeadline() time.Time {
	if x.session != nil {
		return x.session.Deadline
	}
	if !x.deadline.IsZero() {
		return x.deadline
	}
	return x.received.Add(x.server.limits.at(x.received).RequestTimeout)
}

// endCaller closes the connection of a caller that does not read its answer. The answer has
// begun and must not look complete.
func (s *Server) endCaller(c *conn, reason *fault.Error) {
	if !c.endReason.CompareAndSwap(nil, reason) {
		return
	}
	s.metrics.endedCallers.Inc(1)
	_ = level.Warn(s.log).Log("msg", event.CallerEnded, "request", c.requestID(), "kind", reason.Kind, "unsent", c.unsent.bytes(),
		"stalled_ms", time.Since(c.unsent.holder.LastProgress()).Milliseconds(), "err", reason)
	_ = c.nbc.Close()
	c.unsent.close()
}

// endForMemory ends the connection of a caller that reads nothing, since memory is scarce.
func (s *Server) endForMemory(c *conn) {
	s.endCaller(c, fault.New(fault.CallerGone, "the caller has read nothing, and memory for answers is scarce"))
}

// recordProgress records whether the caller has read since the last call: its host has
// acknowledged more bytes, or there is nothing to read.
func (c *conn) recordProgress(now time.Time) {
	sent := c.unsent.sent.Load()
	if c.unsent.bytes() == 0 && sent == c.ackedBytes {
		c.unsent.holder.RecordProgress(now)
		return
	}
	if acked := sent - int64(unackedBytes(c.nbc)); acked != c.ackedBytes {
		c.ackedBytes = acked
		c.unsent.holder.RecordProgress(now)
	}
}

// endUnread ends a connection whose caller has read nothing for a while. The sweep calls it, which
// notices when this process was suspended and could not see what callers read.
func (s *Server) endUnread(c *conn, now time.Time) {
	stalled := now.Sub(c.unsent.holder.LastProgress())
	if stalled < maxPauseAfterDeadline || c.isClosed() {
		return
	}
	if reason := s.unreadReason(c, now, stalled); reason != nil {
		s.endCaller(c, reason)
	}
}

// unreadReason returns why the connection of a caller that has read nothing for the given time is
// closed, or nil if it is kept.
func (s *Server) unreadReason(c *conn, now time.Time, stalled time.Duration) *fault.Error {
	deadline := c.waitDeadline.Load()
	switch {
	case deadline != nil && now.After(*deadline):
		return fault.New(fault.CallerGone, "the caller has not read its answer before the deadline of the request")
	case deadline != nil && stalled >= maxPause:
		return fault.New(fault.CallerGone, "the caller has read nothing for %v", maxPause)
	case stalled >= unresponsiveTime && !hostResponds(c.nbc):
		return fault.New(fault.CallerGone, "the caller's host does not respond")
	case stalled >= max(unresponsiveTime, s.limits.at(now).IdleTimeout) && !c.hasActiveRequest():
		return fault.New(fault.CallerGone, "the caller has not read the end of its answer within the idle limit")
	}
	return nil
}

// hasActiveRequest reports whether the connection has a request whose response is not written.
func (c *conn) hasActiveRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activeRequests > 0
}
