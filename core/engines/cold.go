package engines

import (
	"time"

	"monsoonfork/core/boottime"
	"monsoonfork/core/ident"
	"monsoonfork/core/storeera"
)

// maxColdTime is the longest time for which an engine counts as cold, whatever its entry says.
const maxColdTime = time.Hour

// fleetStartTime is how long after an instance the engines may start that start together with
// all instances, before there is traffic.
const fleetStartTime = 10 * time.Second

// ColdTime returns the time for which an engine is cold, given in milliseconds.
func ColdTime[T int64 | float64](ms T) time.Duration {
	return time.Duration(min(max(0, float64(ms)), float64(maxColdTime.Milliseconds()))) * time.Millisecond
}

// Coldness holds what a table needs to tell how long engines are cold after their start. The
// zero value leaves this to the entries.
type Coldness struct {
	StartTime    func(ident.ServiceID) time.Duration // How long an engine of a service is cold after its start; nil for never.
	RunningSince time.Time                           // When this instance started.
	Now          func() time.Time
}

// SetColdness sets how long engines are cold after their start. It is called before the first
// engines are applied.
func (t *Table) SetColdness(c Coldness) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldness = c
}

// startTime returns how long an engine of a service is cold after its start.
func (c Coldness) startTime(service ident.ServiceID) time.Duration {
	if c.StartTime == nil {
		return 0
	}
	return c.StartTime(service)
}

// remainingAfterStart returns how long a new run of an engine is still cold after its start. If
// its previous run was listed, it has started just now; otherwise its entry tells when.
func (c Coldness) remainingAfterStart(e Entry, restarted bool) time.Duration {
	whole := c.startTime(e.Service)
	if whole <= 0 || restarted {
		return whole
	}
	started := time.UnixMilli(e.Started)
	if e.Started == 0 || started.Before(c.RunningSince.Add(fleetStartTime)) {
		return 0
	}
	return min(max(0, started.Add(whole).Sub(c.Now())), whole)
}

// newColdUntil returns until when a new run of an engine is cold. The caller must hold mu.
func (t *Table) newColdUntil(e Entry, restarted bool) boottime.Instant {
	return boottime.Now().Add(max(e.ColdRemaining, t.coldness.remainingAfterStart(e, restarted)))
}

// Current returns the engine that an entry describes, or nil if it is not listed any more.
func (t *Table) Current(run Entry) *Engine { return t.run(run) }

// ColdCount returns the number of engines that are cold.
func (t *Table) ColdCount() int {
	n := 0
	for _, e := range t.All() {
		if e.IsCold() {
			n++
		}
	}
	return n
}

// IsCold reports whether the engine is cold: it has started lately or was evacuated, and fails
// under a normal rate of requests.
func (e *Engine) IsCold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return boottime.Now().Before(e.coldUntil)
}

// coolFor records that the engine is cold for a time from now on, or longer as recorded before.
func (e *Engine) coolFor(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = max(e.coldUntil, boottime.Now().Add(d))
}

// becomesCold reports whether a newer entry of the same run says that the engine has become
// cold again. Where the store has come back from an older copy, the entry that is known has a newer
// revision without having been written again. The caller must hold mu.
func (e *Engine) becomesCold(newer Entry) bool {
	era, _ := storeera.Split(newer.ListRevision)
	knownEra, _ := storeera.Split(e.revision)
	listedAgain := era > knownEra && newer.Cold == e.cold
	return newer.Cold > 0 && newer.ListRevision > e.revision && !listedAgain
}

// remainingCold returns how long the engine is still cold. The caller must hold mu.
func (e *Engine) remainingCold() time.Duration {
	return max(0, e.coldUntil.Sub(boottime.Now()))
}
