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
	// exhaustedRetryAfter is the Retry-After of a request that is refused as there is no memory.
	exhaustedRetryAfter = time.Second
)

// hasSpace reports whether another piece of a body may be written to the connection. While
// memory is scarce only a connection without unsent bytes has space.
func (c *conn) hasSpace(memory *membudget.Budget) bool {
	unsent := c.unsent.bytes()
	return unsent == 0 || unsent <= maxUnsentBytes && !memory.IsScarce()
}

// awaitSpace waits until another piece of a body may be written. The engine's connection is not
// read meanwhile. It returns an error if the caller has disconnected, the server closes, or the
// caller still reads nothing after the deadline; the connection is then closed.
func (x *exchange) awaitSpace() error {
	c := x.conn
	if err := x.checkCaller(); err != nil || c.hasSpace(x.server.memory) {
		return err
	}
	x.server.metrics.waitingWrites.Inc(1)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for !c.hasSpace(x.server.memory) {
		if reason := x.endOfWait(time.Now()); reason != nil {
			x.server.endCaller(c, reason)
			return reason
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

// endOfWait returns why a write waits no longer, or nil.
func (x *exchange) endOfWait(now time.Time) *fault.Error {
	if x.server.closing.Load() {
		return errClosing
	}
	deadline := x.responseDeadline()
	if now.Before(deadline) || now.Sub(x.conn.unsent.holder.LastProgress()) < maxPauseAfterDeadline {
		return nil
	}
	return fault.New(fault.CallerGone, "the caller has not read its answer before the deadline of the request")
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

// checkMemory returns the refusal of a request for which there is no memory, or nil.
func (s *Server) checkMemory(now time.Time) *fault.Error {
	if !s.memory.IsExhausted() {
		return nil
	}
	return fault.New(fault.Overloaded, "the instance holds %d bytes for others, its limit", s.memory.Limit()).
		WithRan(fault.NotRun).WithRetryAfter(now.Add(exhaustedRetryAfter))
}

// recordProgress records whether the caller has read since the last call: its host has
// acknowledged more bytes, or there is nothing to read.
func (c *conn) recordProgress(now time.Time) {
	if c.unsent.bytes() == 0 {
		c.unsent.holder.RecordProgress(now)
		return
	}
	if acked := c.unsent.sent.Load() - int64(unackedBytes(c.nbc)); acked != c.ackedBytes {
		c.ackedBytes = acked
		c.unsent.holder.RecordProgress(now)
	}
}
