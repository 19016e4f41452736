// Package boottime reads the clock that also advances while the machine is suspended
// (CLOCK_BOOTTIME). Leases are measured with it, because the monotonic clock of package
// time stops during a suspension, so that a lapsed lease would look valid on resume.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time elapsed since this machine was booted.
type Instant time.Duration

// Now returns the time since the machine was booted, suspended time included.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call can't fail for a valid clock id. If it does, the largest instant is the
		// safe value, since every lease has lapsed by then.
		return Instant(1<<63 - 1)
	}
	return Instant(ts.Nano())
}

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Before reports whether t is before u.
func (t Instant) Before(u Instant) bool { return t < u }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }
