package caller

import (
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
)

// markClosedIdle records that a drain closes the connection without having announced it in a
// response, unless the caller was notified. The caller must hold c.mu.
func (c *conn) markClosedIdle(now time.Time) {
	if !c.lastRequest {
		c.closedIdleAt = now
	}
}

// takeClosedIdle returns when a drain closed the connection unannounced, once; then zero.
func (c *conn) takeClosedIdle() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.closedIdleAt
	c.closedIdleAt = time.Time{}
	return at
}

// logDiscarded logs and counts the first input on a connection that a drain has closed as
// idle: a request that the caller sent before it learned of the close. It is not read.
func (s *Server) logDiscarded(c *conn, bytes int) {
	closedAt := c.takeClosedIdle()
	if closedAt.IsZero() {
		return
	}
	s.metrics.crossedClose.Inc(1)
	_ = level.Info(s.log).Log("msg", event.RequestCrossedClose, "caller", c.nbc.RemoteAddr(), "bytes", bytes, "closed_ms", time.Since(closedAt).Milliseconds())
}
