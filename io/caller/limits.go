package caller

import (
	"slices"
	"sync"
	"time"
)

// Limits are the size and time limits for requests and connections.
type Limits struct {
	MaxHeaderBytes  int           // Maximum size of the request line and headers of a request.
	MaxBodyBytes    int           // Maximum size of the body of a request.
	MaxUnreadBytes  int           // Unsent bytes above which a connection is closed; a last resort, see awaitSpace.
	MaxOpenRequests int64         // Maximum number of requests handled concurrently.
	HeaderTimeout   time.Duration // Maximum time from the first byte of a request to the end of its headers.
	RequestTimeout  time.Duration // Maximum time from the first to the last byte of a request.
	IdleTimeout     time.Duration // Maximum time between requests of a connection.
}

// defaultLimits apply without WithLimits.
var defaultLimits = Limits{
	MaxHeaderBytes:  64 << 10,
	MaxBodyBytes:    8 << 20,
	MaxUnreadBytes:  32 << 20,
	MaxOpenRequests: 4096,
	HeaderTimeout:   20 * time.Second,
	RequestTimeout:  20 * time.Second,
	IdleTimeout:     120 * time.Second,
}

const (
	// requestLimitGrace is how long after a change of the limits requests are still accepted
	// within the earlier ones, as they may have been sent before the change.
	requestLimitGrace = time.Second
	// idleCloseDelay is how long after Limits.IdleTimeout an idle connection is closed, so
	// that a request sent within the limit arrives before the close.
	idleCloseDelay = 500 * time.Millisecond
)

// raiseRequestLimits raises the limits for requests to those of other.
func (l *Limits) raiseRequestLimits(other Limits) {
	l.MaxHeaderBytes = max(l.MaxHeaderBytes, other.MaxHeaderBytes)
	l.MaxBodyBytes = max(l.MaxBodyBytes, other.MaxBodyBytes)
	l.HeaderTimeout = max(l.HeaderTimeout, other.HeaderTimeout)
	l.RequestTimeout = max(l.RequestTimeout, other.RequestTimeout)
}

// limitHistory holds the current limits, and earlier ones as long as callers may rely on
// them.
type limitHistory struct {
	mu      sync.Mutex
	current Limits
	earlier []earlierLimits

	requestTimeout time.Duration // The request timeout that was set; the current one may be longer.
}

// earlierLimits are limits that were replaced.
type earlierLimits struct {
	Limits
	requestsUntil time.Time // Until then requests are accepted within them.
	idleUntil     time.Time // Until then idle connections are kept for their IdleTimeout.
}

func newLimitHistory(l Limits) *limitHistory {
	return &limitHistory{current: l, requestTimeout: l.RequestTimeout}
}

// set replaces the current limits. Zero fields of l keep their value; RequestTimeout is at
// least HeaderTimeout.
func (h *limitHistory) set(l Limits, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.current
	defer func() {
		if h.current != before {
			h.earlier = append(h.earlier, earlierLimits{
				Limits:        before,
				requestsUntil: now.Add(requestLimitGrace),
				idleUntil:     now.Add(before.IdleTimeout),
			})
		}
	}()
	setPositive(&h.current.MaxHeaderBytes, l.MaxHeaderBytes)
	setPositive(&h.current.MaxBodyBytes, l.MaxBodyBytes)
	setPositive(&h.current.HeaderTimeout, l.HeaderTimeout)
	setPositive(&h.requestTimeout, l.RequestTimeout)
	h.current.RequestTimeout = max(h.requestTimeout, h.current.HeaderTimeout)
	setPositive(&h.current.IdleTimeout, l.IdleTimeout)
}

// setPositive sets a limit to value if that is positive.
func setPositive[T int | time.Duration](limit *T, value T) {
	if value > 0 {
		*limit = value
	}
}

// at returns the limits that apply at a time: the largest of the current ones and of those
// that callers may still rely on.
func (h *limitHistory) at(now time.Time) Limits {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.earlier = slices.DeleteFunc(h.earlier, func(e earlierLimits) bool {
		return now.After(e.requestsUntil) && now.After(e.idleUntil)
	})
	l := h.current
	for _, e := range h.earlier {
		if !now.After(e.requestsUntil) {
			l.raiseRequestLimits(e.Limits)
		}
		if !now.After(e.idleUntil) {
			l.IdleTimeout = max(l.IdleTimeout, e.IdleTimeout)
		}
	}
	return l
}

// SetLimits changes the limits while the server runs, on open connections too. Zero fields
// keep their value; MaxUnreadBytes and MaxOpenRequests can't be changed. Larger limits apply
// at once. Smaller ones apply once no caller relies on the earlier ones any more: to requests
// after requestLimitGrace, and to connections that become idle after the earlier IdleTimeout.
func (s *Server) SetLimits(l Limits) { s.setLimitsAt(l, time.Now()) }

// setLimitsAt is SetLimits at a given time.
func (s *Server) setLimitsAt(l Limits, now time.Time) {
	s.limits.set(l, now)
	s.conns.each(func(c *conn) { c.extendIdleTime(now) })
}

// extendIdleTime keeps an idle connection open for a limit that has grown.
func (c *conn) extendIdleTime(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed {
		return
	}
	if end := c.idleSince.Add(c.limits.at(now).IdleTimeout + idleCloseDelay); end.After(c.closeDeadline) {
		c.closeDeadline = end
	}
}

// startIdleTime records that the connection has no request from now on. The caller must hold
// c.mu, unless the connection is new.
func (c *conn) startIdleTime(now time.Time) {
	c.idleSince = now
	c.closeDeadline = now.Add(c.limits.at(now).IdleTimeout + idleCloseDelay)
}
