package matrix

import (
	"slices"
	"time"

	"monsoonfork/platform/standin"
)

// Cell is a cell of the matrix with what it showed.
type Cell struct {
	Events  Events
	Row     Row
	Outcome Outcome
	Detail  string // What the caller and the engines saw.
}

// OK reports whether the rules allow the outcome.
func (c Cell) OK() bool { return slices.Contains(c.Events.Allowed(c.Row), c.Outcome) }

// Events are one event, or several that overlap.
type Events []Event

// Allowed returns the outcomes that the rules allow for a row. With several events it is not
// known which state a request is in when the later one begins, nor which of them it meets: what
// one of them allows is allowed, and so are a whole answer and a true refusal.
func (events Events) Allowed(r Row) []Outcome {
	if len(events) == 1 {
		return Allowed(events[0], r)
	}
	allowed := []Outcome{Whole, Refused}
	for _, e := range events {
		allowed = append(allowed, Allowed(e, r)...)
	}
	slices.Sort(allowed)
	return slices.Compact(allowed)
}

// services returns the services that may run the row's request. With several events a request
// may be handled before them.
func (events Events) services(r Row) []string {
	var services []string
	if len(events) > 1 {
		services = servicesOf(Hangup, r)
	}
	for _, e := range events {
		services = append(services, servicesOf(e, r)...)
	}
	return services
}

// timeout returns the time within which the row's request must have its answer.
func (events Events) timeout(r Row) time.Duration {
	timeout := time.Duration(0)
	for _, e := range events {
		timeout = max(timeout, timeoutOf(e, r))
	}
	return timeout
}

// stops reports whether the instance stops.
func (events Events) stops() bool { return slices.ContainsFunc(events, Event.isStop) }

// stopsInTime reports whether the instance stops and can complete its requests before.
func (events Events) stopsInTime() bool {
	return events.stops() && !slices.Contains(events, StopOutlasted)
}

// Allowed returns the outcomes that the rules allow in a cell. A request that was read has a
// whole answer or a true refusal, whatever happens; the others are named here.
func Allowed(e Event, r Row) []Outcome {
	switch {
	case e == StopOutlasted && r.sentWhole():
		return allowedAtEnd(r)
	case e.isStop():
		return allowedAtStop(r)
	case !r.sentWhole():
		return allowedUnread(e, r)
	case r.State == WaitingForMemory:
		return []Outcome{Whole, Refused} // Refused if it has waited for too long.
	case r.State == NotHandled && (e == RouteRemoved || e == KeyWithdrawn):
		return []Outcome{Whole, NotAllowed} // Read before the change, handled after it.
	case r.State == NotHandled && e == RateLowered:
		return []Outcome{Whole, Refused}
	default:
		return []Outcome{Whole}
	}
}

// isStop reports whether the instance stops.
func (e Event) isStop() bool {
	switch e {
	case StopRequested, StopDraining, StopOutlasted, StopDuringChange, StopStoreAway, StopStoreSlow:
		return true
	default:
		return false
	}
}

// allowedAtStop returns the outcomes that the rules allow while the instance stops.
func allowedAtStop(r Row) []Outcome {
	switch r.State {
	case Accepted, KeptIdle:
		return []Outcome{Whole, Refused, ClosedBefore, Crossed}
	case HeadHalfRead, BodyHalfRead, ChunksHalfRead, NotHandled, WaitingForMemory:
		return []Outcome{Whole, Refused}
	default:
		return []Outcome{Whole}
	}
}

// allowedAtEnd returns the outcomes that the rules allow for a request that is in its state
// until the instance ends: an engine is at work on it in the last sixth of the time for the
// stop, or none has got it.
func allowedAtEnd(r Row) []Outcome {
	switch r.State {
	case NotHandled, WaitingForMemory:
		return []Outcome{Refused}
	case Prefilling:
		return []Outcome{Refused, Unknown} // Unknown if the decode engine reads the prompt.
	case FirstPartWritten, MidStream:
		return []Outcome{Whole, BrokenOff} // Whole if another engine has resumed it.
	case Unacknowledged:
		return []Outcome{Whole, BrokenOff} // What the caller's host has not accepted is lost.
	default:
		return []Outcome{Unknown}
	}
}

// allowedUnread returns the outcomes that the rules allow for a request that was not read
// whole before the event. What a change forbids is not allowed to run after it is in force.
func allowedUnread(e Event, r Row) []Outcome {
	unstarted := r.State == Accepted || r.State == KeptIdle
	switch e {
	case RouteRemoved, KeyWithdrawn:
		return []Outcome{NotAllowed}
	case HeaderLimitSmaller, BodyLimitSmaller:
		if unstarted {
			return []Outcome{NotAllowed}
		}
	case RateLowered:
		return []Outcome{Whole, Refused}
	case TimeoutShorter:
		return []Outcome{Unknown} // Its engine is held until the timeout has passed.
	default:
	}
	return []Outcome{Whole}
}

// servicesOf returns the services that may run the row's request.
func servicesOf(e Event, r Row) []string {
	before, after := standin.PlainService, otherPlain
	if r.Kind.isStream() {
		before, after = standin.ModelService, otherModel
	}
	if r.State == WaitingForMemory {
		before = fullModel
	}
	switch e {
	case RouteMoved, ServiceRemoved, ChangeStoreSlow:
		if !r.sentWhole() {
			return []string{after}
		}
		if r.State == NotHandled {
			return []string{before, after}
		}
	case RoutesSplit, StopDuringChange, ChangeStoreAway:
		return []string{before, after}
	default:
	}
	return []string{before}
}

// isTimed reports whether the time from the end of the row's request to the end of its answer
// is bounded: the caller reads all the time, and no other request is ahead.
func (r Row) isTimed() bool { return r.State != Unacknowledged && r.State != NotHandled }

// timeoutOf returns the time within which the row's request must have its answer.
func timeoutOf(e Event, r Row) time.Duration {
	switch {
	case e == TimeoutShorter && !r.sentWhole() && r.Kind.isStream():
		return shortStreamTimeout
	case e == TimeoutShorter && !r.sentWhole():
		return shortPlainTimeout
	default:
		return requestTimeout
	}
}
