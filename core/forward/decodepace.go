package forward

import (
	"bytes"
	"math"
	"sync"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
)

const (
	// paceSampleTime is the shortest time over which the pace of a stream is measured. An event
	// may contain several tokens, and several events may arrive together.
	paceSampleTime = 250 * time.Millisecond
	// decodeFigureWeight is the weight of the newest stream or sample in the averages of a service,
	// once there are as many that their mean gives it less.
	decodeFigureWeight = 0.02
	// maxLoadSlope bounds what one more open request at an engine adds to the binary logarithm of the
	// time between two events of its streams.
	maxLoadSlope = 0.1
)

// paceSample is the measurement of a stream's pace that is in progress. The zero value is one that
// begins with the next event.
type paceSample struct {
	startedAt time.Time // When the event before the first one of the sample arrived.
	events    int
}

// recordEvents counts events of the stream and measures the pace of its engine. The returned
// function is to be called when the caller has received them: a sample ends if the caller has
// kept the engine waiting.
func (s *stream) recordEvents(events []byte) (delivered func()) {
	n := countEvents(events)
	s.eventCount += n
	s.measurePace(n)
	return func() {
		if s.router.now().Sub(s.heardAt) >= minDeliveryWait {
			s.paceSample = paceSample{}
		}
	}
}

// measurePace adds events that have just arrived to the sample, and records it if it is complete.
func (s *stream) measurePace(events int) {
	sample := &s.paceSample
	if sample.startedAt.IsZero() {
		sample.startedAt = s.heardAt
		return
	}
	sample.events += events
	took := s.heardAt.Sub(sample.startedAt)
	if took < paceSampleTime || sample.events == 0 {
		return
	}
	eventMS := milliseconds(took) / float64(sample.events)
	*sample = paceSample{startedAt: s.heardAt}
	total, _, _ := s.decodeEngine.TotalLoad(s.heardAt)
	before := s.decodeEngine.RecordDecodePace(eventMS, total.Running, took, s.heardAt)
	s.router.decodeFigures.recordPace(s.service.Name, before, eventMS, total.Running)
}

// recordOutput records how many events the complete answer had for each expected token.
func (s *stream) recordOutput() {
	if s.LastEventID == "" {
		s.router.decodeFigures.recordOutput(s.service.Name, s.expectedOutput(), s.eventCount)
	}
}

// countEvents returns the number of events that end in data.
func countEvents(data []byte) int {
	n := 0
	for _, separator := range eventSeparators {
		n += bytes.Count(data, separator)
	}
	return n
}

// decodeFigures holds what this instance has measured of the streams of each service.
type decodeFigures struct {
	mu       sync.Mutex
	services map[ident.ServiceID]*decodeFigure
}

// decodeFigure holds averages over the streams of one service.
type decodeFigure struct {
	answers        int     // Complete answers.
	eventsPerToken float64 // Events of an answer for each expected token; 0 if unknown.

	// How the time between events depends on the open requests at an engine: by the deviations
	// of both from the means of the same engine, as faster engines have more requests.
	covariance, variance float64
}

// service returns the figures of a service. The caller must hold mu.
func (d *decodeFigures) service(s ident.ServiceID) *decodeFigure {
	if d.services == nil {
		d.services = make(map[ident.ServiceID]*decodeFigure)
	}
	if d.services[s] == nil {
		d.services[s] = &decodeFigure{}
	}
	return d.services[s]
}

// recordOutput records the events of a complete answer.
func (d *decodeFigures) recordOutput(s ident.ServiceID, expected ident.Tokens, events int) {
	if expected <= 0 || events <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	figure, ratio := d.service(s), float64(events)/float64(expected)
	figure.answers++
	weight := max(decodeFigureWeight, 1/float64(figure.answers))
	figure.eventsPerToken += weight * (ratio - figure.eventsPerToken)
}

// recordPace records a sample at an engine with the given earlier pace.
func (d *decodeFigures) recordPace(s ident.ServiceID, before engines.Pace, eventMS float64, running int) {
	if !before.Known() || eventMS <= 0 {
		return
	}
	more := float64(running) - before.MeanRunning()
	longer := math.Log2(eventMS) - before.MeanLog()
	d.mu.Lock()
	defer d.mu.Unlock()
	figure := d.service(s)
	figure.covariance += decodeFigureWeight * (more*longer - figure.covariance)
	figure.variance += decodeFigureWeight * (more*more - figure.variance)
}

// loadSlope returns by how much the binary logarithm of the time between events grows with each
// open request at an engine.
func (d *decodeFigures) loadSlope(s ident.ServiceID) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	figure := d.service(s)
	if figure.variance == 0 {
		return 0
	}
	return max(0, min(figure.covariance/figure.variance, maxLoadSlope))
}

// expectedEvents returns the number of events that an answer is expected to have; 0 if unknown.
func (d *decodeFigures) expectedEvents(s ident.ServiceID, expected ident.Tokens) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service(s).eventsPerToken * float64(expected)
}
