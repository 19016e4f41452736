// Package boottime reads the clock that goes on while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time on this machine's clock since its start.
type Instant time.Duration

// Now returns the time since the machine was started, suspended time included.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call can't fail with a valid clock; a right that is checked against
		// the largest instant has lapsed.
		return Instant(1<<63 - 1)
	}
	return Instant(ts.Nano())
}

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Before reports whether t is before u.
func (t Instant) Before(u Instant) bool { return t < u }
