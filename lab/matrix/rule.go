package matrix

import "slices"

// Cell is a cell of the matrix with what it showed.
type Cell struct {
	Event   Event
	Row     Row
	Outcome Outcome
	Detail  string // What the caller and the engines saw.
}

// OK reports whether the rules allow the outcome.
func (c Cell) OK() bool { return slices.Contains(Allowed(c.Event, c.Row), c.Outcome) }

// Allowed returns the outcomes that the rules allow in a cell. A request that was read has a
// whole answer or a true refusal, whatever happens; the others are named here.
func Allowed(e Event, r Row) []Outcome {
	switch {
	case e.isStop():
		return allowedAtStop(r)
	case r.State == Accepted || r.State == KeptIdle || r.State == HeadHalfRead || r.State == BodyHalfRead:
		return allowedUnread(e, r)
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
	case StopRequested, StopDraining, StopDuringChange, StopStoreAway, StopStoreSlow:
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
	case HeadHalfRead, BodyHalfRead, NotHandled, WaitingForMemory:
		return []Outcome{Whole, Refused}
	default:
		return []Outcome{Whole}
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
	default:
	}
	return []Outcome{Whole}
}
