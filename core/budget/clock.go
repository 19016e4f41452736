package budget

import (
	"sync/atomic"
	"time"
)

// Instant is a point on a process's own clock, in nanoseconds since the clock
// was made. Instants of different processes cannot be compared: between
// processes only ages travel.
type Instant int64

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Moment is one reading of a Clock.
type Moment struct {
	Mint Instant   // Runs no faster than real time; tokens are minted by it.
	Age  Instant   // Runs no slower than real time; tokens and leases expire by it.
	Wall time.Time // For logs.
}

// Clock gives Moments. It needs no agreement with the clocks of other
// processes, only that they run equally fast within a lease's margin.
type Clock struct {
	start  time.Time
	read   func() time.Time
	jumped atomic.Int64 // Largest lead of the wall clock over the monotonic one, in nanoseconds.
}

// NewClock returns a clock that reads the time by read, usually time.Now.
func NewClock(read func() time.Time) *Clock {
	return &Clock{start: read(), read: read}
}

// Now reads the clock. A suspended machine stops the monotonic clock but not
// the wall clock: the lead that the wall clock gains counts as age and is
// never minted.
func (c *Clock) Now() Moment {
	t := c.read()
	steady := t.Sub(c.start)
	lead := int64(t.Round(0).Sub(c.start.Round(0)) - steady)
	for {
		known := c.jumped.Load()
		if lead <= known {
			lead = known
			break
		}
		if c.jumped.CompareAndSwap(known, lead) {
			break
		}
	}
	return Moment{Mint: Instant(steady), Age: Instant(steady) + Instant(lead), Wall: t}
}
