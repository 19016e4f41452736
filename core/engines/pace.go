package engines

import (
	"math"
	"time"
)

const (
	// paceWindow is how much measured work the average of a pace covers. It is several times as
	// long as an engine may be slow for a moment.
	paceWindow = 5 * time.Second
	// minPaceTime is the least measured work from which a pace is known.
	minPaceTime = 100 * time.Millisecond
	// paceTTL is how long a pace is known after the last measurement.
	paceTTL = time.Minute
)

// Pace is how fast an engine works, as one or several instances have measured it. The fields are
// sums over instances, so that paces can be added.
type Pace struct {
	Instances int     // Instances that have a measurement.
	LogMS     float64 // Binary logarithm of the milliseconds that a unit of work takes.
	Running   float64 // Open requests at the engine during the measurements.
}

// Plus returns the sum of two paces.
func (p Pace) Plus(q Pace) Pace {
	return Pace{p.Instances + q.Instances, p.LogMS + q.LogMS, p.Running + q.Running}
}

// Known reports whether there is a measurement.
func (p Pace) Known() bool { return p.Instances > 0 }

// MeanLog returns the mean of LogMS. The pace must be known.
func (p Pace) MeanLog() float64 { return p.LogMS / float64(p.Instances) }

// MeanRunning returns the mean of Running. The pace must be known.
func (p Pace) MeanRunning() float64 { return p.Running / float64(p.Instances) }

// paceAverage is the average of one instance's measurements of a pace: of all while there is less
// than paceWindow, and then exponentially decaying.
type paceAverage struct {
	logMS      float64
	running    float64
	measured   time.Duration // Measured work, at most paceWindow.
	measuredAt time.Time
}

// record adds a measurement of work that took a time.
func (a *paceAverage) record(ms float64, running int, took time.Duration, now time.Time) {
	if ms <= 0 || took <= 0 {
		return
	}
	if now.Sub(a.measuredAt) >= paceTTL {
		*a = paceAverage{}
	}
	a.measured = min(a.measured+took, paceWindow)
	weight := min(1, float64(took)/float64(a.measured))
	a.logMS += weight * (math.Log2(ms) - a.logMS)
	a.running += weight * (float64(running) - a.running)
	a.measuredAt = now
}

// pace returns the average, which is not known without enough measurements in paceTTL.
func (a *paceAverage) pace(now time.Time) Pace {
	if a.measured < minPaceTime || now.Sub(a.measuredAt) >= paceTTL {
		return Pace{}
	}
	return Pace{1, a.logMS, a.running}
}

// RecordDecodePace records the mean time between two events of a stream of this instance over some
// time, with the requests that were open at the engine. It returns the pace that was known before.
func (e *Engine) RecordDecodePace(eventMS float64, running int, took time.Duration, now time.Time) (before Pace) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before = e.decodePace.pace(now).Plus(e.validOthers(now).Decode)
	e.decodePace.record(eventMS, running, took, now)
	return before
}

// RecordPrefillPace records the time that a prefill took for each 1,000 prompt tokens, those that this
// instance had queued before it included.
func (e *Engine) RecordPrefillPace(kiloTokenMS float64, took time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefillPace.record(kiloTokenMS, e.running, took, now)
}

// DecodePace returns the pace of the engine's streams, whose unit of work is an event, as all
// instances have measured it.
func (e *Engine) DecodePace(now time.Time) Pace {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decodePace.pace(now).Plus(e.validOthers(now).Decode)
}

// PrefillPace returns the pace of the engine's prefills, whose unit of work is 1,000 tokens, as all
// instances have measured it.
func (e *Engine) PrefillPace(now time.Time) Pace {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prefillPace.pace(now).Plus(e.validOthers(now).Prefill)
}
