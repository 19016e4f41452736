package caller

import (
	"context"
	"time"
)

const (
	// idleCloseTime is how long before the end of a drain idle connections are closed. It
	// suffices for the sweeps that find them idle, and for the callers to learn of it.
	idleCloseTime = 15 * sweepInterval
	// maxIdleDrainTime is how long a drain without a deadline keeps idle connections open.
	maxIdleDrainTime = 5 * time.Second
)

// idleCloseAt returns when a drain that begins now closes idle connections. Until then their
// callers' next requests are served, and the responses announce the close: a request that
// crosses an unannounced close has no answer.
func idleCloseAt(ctx context.Context, now time.Time) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline.Add(-idleCloseTime)
	}
	return now.Add(maxIdleDrainTime)
}

// closesIdle reports whether connections without a request are closed at the given time.
func (s *Server) closesIdle(now time.Time) bool {
	at := s.idleCloseAt.Load()
	return at != nil && !now.Before(*at)
}

// awaitsCallers reports whether the drain has connections whose callers have not been told of
// the close.
func (s *Server) awaitsCallers() bool {
	return s.closeIdleOnDrain && s.conns.hasUnannounced()
}

// hasUnannounced reports whether an open connection still accepts requests.
func (t *connTable) hasUnannounced() bool {
	found := false
	t.each(func(c *conn) {
		if found || c.isClosed() {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		found = !c.lastRequest
	})
	return found
}
