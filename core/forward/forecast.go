package forward

import (
	"math"
	"slices"
	"time"

	"monsoonfork/core/engines"
)

const (
	// minSharedEngines is the least number of engines of a service for which the choice also uses what
	// all instances have reported of them. An instance sees enough of fewer engines itself.
	minSharedEngines = 24
	// minRelativePace and maxRelativePace bound the pace of an engine relative to the average of
	// its service.
	minRelativePace, maxRelativePace = 0.3, 3.0
	// equalPaceRange is the factor within which a relative pace counts as that of the average, so
	// that the queues of equal engines do not change their order.
	equalPaceRange = 1.4
	// endMargin is the factor by which a predicted decode time is multiplied when it is compared
	// with the deadline.
	endMargin = 1.25
)

// UsesReports reports whether the choice of engines of a model service also uses what all instances
// have reported of them: which are full, and their paces. list contains all engines of the service.
func UsesReports(list []*engines.Engine) bool { return len(list) >= minSharedEngines }

// usesReports is UsesReports for the engines of the request's service.
func (j *job) usesReports() bool { return UsesReports(j.router.Engines(j.service.Name)) }

// mean returns the mean of a list. ok is false if it is empty.
func mean(list []float64) (value float64, ok bool) {
	for _, v := range list {
		value += v / float64(len(list))
	}
	return value, len(list) > 0
}

// relativePace returns the time that a unit of work takes relative to the average, given both
// logarithms.
func relativePace(log, average float64) float64 {
	ratio := math.Exp2(log - average)
	if ratio < equalPaceRange && ratio > 1/equalPaceRange {
		return 1
	}
	return max(minRelativePace, min(ratio, maxRelativePace))
}

// minDifferent is the part of the engines of a service whose pace must differ from the average for
// the service to have engines of different speeds.
const minDifferent = 0.2

// differ reports whether engines have different speeds. Engines of one speed are chosen as without
// measurements, since the differences of their paces are those of their queues.
func differ(logs []float64, average float64) bool {
	different := 0
	for _, log := range logs {
		if relativePace(log, average) != 1 {
			different++
		}
	}
	return different > 0 && float64(different) >= minDifferent*float64(len(logs))
}

// forecast predicts how long the decode engines of the request's service need for its answer. The
// zero value predicts the same time for all, within any deadline.
type forecast struct {
	now        time.Time
	latestEnd  time.Time // Deadline of the answer, less the expected time until its first event.
	known      bool      // The pace of an engine and the number of events are known.
	events     float64   // Expected events that are still to come.
	average    float64   // Mean of the binary logarithms of the engines' paces, each with running open requests.
	running    float64   // Mean number of open requests during the measurements.
	slope      float64   // What one more request adds to the logarithm.
	someInTime bool      // An engine that accepts requests is expected to end the answer in time.
}

// newForecast returns the forecast for the request.
func (j *job) newForecast(now time.Time) forecast {
	if !j.usesReports() || j.LastEventID != "" {
		return forecast{}
	}
	figures, service := &j.router.decodeFigures, j.service.Name
	f := forecast{now: now, slope: figures.loadSlope(service)}
	f.events = max(0, figures.expectedEvents(service, j.expectedOutput())-float64(j.eventCount))
	prefill := time.Duration(prefillTimeMargin*float64(j.prefillTime(j.PromptTokens, 1))) + firstEventTime
	f.latestEnd = j.deadline.Add(-prefill)
	f.setAverage(j.router.Engines(service))
	for _, e := range j.router.Engines(service) {
		if f.known && !f.someInTime && j.acceptsDecode(e, now) && !j.tried[e.ID] && !e.IsSilent(now) {
			f.someInTime = f.inTime(e)
		}
	}
	return f
}

// setAverage sets the average of the decode engines in a list.
func (f *forecast) setAverage(list []*engines.Engine) {
	var paces []engines.Pace
	for _, e := range list {
		if p := e.DecodePace(f.now); p.Known() && e.CurrentStage() != engines.Prefill {
			paces = append(paces, p)
			f.running += p.MeanRunning()
		}
	}
	f.running /= float64(max(1, len(paces)))
	logs := make([]float64, len(paces))
	for i, p := range paces {
		logs[i] = f.logPace(p)
	}
	f.average, f.known = mean(logs)
	f.known = f.known && f.events > 0 && differ(logs, f.average)
}

// logPace returns the logarithm of a pace with the mean number of open requests.
func (f *forecast) logPace(p engines.Pace) float64 {
	return p.MeanLog() + f.slope*(f.running-p.MeanRunning())
}

// relative returns the pace of an engine relative to the average. An engine without a measurement
// counts as average.
func (f *forecast) relative(e *engines.Engine) float64 {
	p := e.DecodePace(f.now)
	if !f.known || !p.Known() {
		return 1
	}
	return relativePace(f.logPace(p), f.average)
}

// averageTime returns the decode time at an average engine.
func (f *forecast) averageTime() time.Duration {
	return time.Duration(f.events * math.Exp2(f.average) * float64(time.Millisecond))
}

// inTime reports whether an engine is expected to end the answer before the deadline, with the
// requests that are open there.
func (f *forecast) inTime(e *engines.Engine) bool {
	total, _, _ := e.TotalLoad(f.now)
	longer := math.Exp2(f.slope * (float64(total.Running) + 1 - f.running))
	took := endMargin * f.relative(e) * longer * float64(f.averageTime())
	return f.now.Add(time.Duration(took)).Before(f.latestEnd)
}

// excludes reports whether an engine must not get the stream, as it is not expected to end it
// before the deadline and another one is.
func (f *forecast) excludes(e *engines.Engine) bool {
	return f.known && f.someInTime && !f.inTime(e)
}

// slowness returns the part of an engine's rank that is due to its speed: the time that it takes
// more than an average engine, as a fraction of the time that is left. Long answers are so sent to
// fast engines first.
func (f *forecast) slowness(e *engines.Engine) float64 {
	left := f.latestEnd.Sub(f.now)
	if !f.known || left <= 0 {
		return 0
	}
	return (f.relative(e) - 1) * min(1, float64(f.averageTime())/float64(left))
}

// prefillPaces compares the prefill engines of a service.
type prefillPaces struct {
	now     time.Time
	differ  bool    // The engines have different speeds; otherwise all count as equal.
	average float64 // Mean of the binary logarithms of the engines' paces.
	fastest float64 // Lowest of them.
}

// newPrefillPaces returns the paces of the prefill engines of the request's service.
func (j *job) newPrefillPaces(now time.Time) prefillPaces {
	if !j.usesReports() {
		return prefillPaces{}
	}
	var logs []float64
	for _, e := range j.router.Engines(j.service.Name) {
		if p := e.PrefillPace(now); p.Known() && e.CurrentStage() == engines.Prefill {
			logs = append(logs, p.MeanLog())
		}
	}
	average, known := mean(logs)
	if !known {
		return prefillPaces{}
	}
	return prefillPaces{now, differ(logs, average), average, slices.Min(logs)}
}

// speedRatio returns the speed of an engine relative to the fastest one, whose speed the service's
// estimate is. An engine without a measurement counts as average.
func (p prefillPaces) speedRatio(e *engines.Engine) float64 {
	if !p.differ {
		return 1
	}
	log := p.average
	if pace := e.PrefillPace(p.now); pace.Known() {
		log = pace.MeanLog()
	}
	return 1 / relativePace(log, p.fastest)
}
