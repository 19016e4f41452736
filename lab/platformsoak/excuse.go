package platformsoak

import "monsoonfork/platform/standin"

//go:generate stringer -type=Excuse -output=excuse_string.go

// Excuse is why a request without a complete answer is no finding.
type Excuse int

// The excuses, in the order in which they are looked for.
const (
	NoExcuse          Excuse = iota
	CallerLeft               // The caller disconnected.
	TimeLimit                // The answer ended at the time limit of the request.
	InstanceEnded            // The instance was killed, paused or stopped meanwhile.
	InstanceDisturbed        // The instance had another fault.
	EngineFault              // An engine that the request reached had a fault.
)

// excusesOfUnanswered counts the requests without a complete answer by their excuses.
func (r *run) excusesOfUnanswered(arrivals []standin.Arrival) map[Excuse]int {
	reached := make(map[string][]standin.Arrival)
	for _, t := range arrivals {
		reached[t.Request] = append(reached[t.Request], t)
	}
	count := make(map[Excuse]int)
	for id, a := range r.requestsSent() {
		if a.answer.Err != nil {
			count[r.excuse(a, reached[id])]++
		}
	}
	return count
}

// excuse returns the first excuse of a request without a complete answer that reached some engines.
func (r *run) excuse(a *request, arrivals []standin.Arrival) Excuse {
	r.mu.Lock()
	stoppedAt, stopped := r.plannedStops[a.process]
	r.mu.Unlock()
	switch {
	case !a.disconnectedAt.IsZero():
		return CallerLeft
	case a.endedAt.After(a.sentAt.Add(a.Timeout - measurementSlack)):
		return TimeLimit
	case stopped && a.endedAt.After(stoppedAt), r.isInterrupted(a.process, a.sentAt, a.endedAt):
		return InstanceEnded
	}
	for _, t := range arrivals {
		if !r.engineFaultFree(t.Engine, a.sentAt, a.endedAt) {
			return EngineFault
		}
	}
	if !r.faultFree(a.instance, a.sentAt, a.endedAt) {
		return InstanceDisturbed
	}
	return NoExcuse
}

// mustBeAnswered reports whether nothing at the caller or the instance excuses that a
// request has no answer, apart from faults of the instance's links.
func (r *run) mustBeAnswered(a *request) bool {
	e := r.excuse(a, nil)
	return e == NoExcuse || e == InstanceDisturbed
}
