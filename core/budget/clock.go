package budget

import (
	"sync/atomic"
	"time"
)

// Instant is a point on a process's own clock, in nanoseconds since the clock
// was made. Instants of different processes cannot be compared, so that only
// ages are sent between processes.
type Instant int64

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// ClockReading is one reading of a Clock. Its two instants differ so that no token
// is minted too early or expires too late.
type ClockReading struct {
	MintTime   Instant   // Runs no faster than real time; tokens are minted by it.
	ExpiryTime Instant   // Runs no slower than real time; tokens and leases expire by it.
	Wall       time.Time // Wall clock, for logs, retry times and the ages of other instances.
}

// Clock returns Moments. It needs no agreement with the clocks of other
// processes, except that they run equally fast within the margin of a lease.
type Clock struct {
	start    time.Time
	readTime func() time.Time
	wallLead atomic.Int64 // Largest lead of the wall clock over the monotonic clock so far, in nanoseconds.
}

// NewClock returns a clock that reads the time by calling read, usually
// time.Now.
func NewClock(read func() time.Time) *Clock {
	return &Clock{start: read(), readTime: read}
}

// Now reads the clock. A suspended machine stops the monotonic clock but not
// the wall clock. Therefore the lead that the wall clock gains counts in
// ExpiryTime but not in MintTime.
func (c *Clock) Now() ClockReading {
	t := c.readTime()
	monotonic := t.Sub(c.start)
	currentLead := int64(t.Round(0).Sub(c.start.Round(0)) - monotonic)
	for {
		largestLead := c.wallLead.Load()
		if currentLead <= largestLead {
			currentLead = largestLead
			break
		}
		if c.wallLead.CompareAndSwap(largestLead, currentLead) {
			break
		}
	}
	return ClockReading{MintTime: Instant(monotonic), ExpiryTime: Instant(monotonic) + Instant(currentLead), Wall: t}
}
