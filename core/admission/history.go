package admission

import "time"

const (
	// classMemory is how long a class counts as present after its last request.
	classMemory = historyWindow
	// largeCostRatio is the ratio to the mean cost of its class from which a request is large.
	largeCostRatio = 1.5
	// meanCostWeight is the weight of the newest request in the mean cost of its class.
	meanCostWeight = 0.05
	// minServedRatio is the least ratio of the served fraction of a class to that of all
	// classes. Below it the class is starved. It is twice the quarter that is guaranteed, as one
	// instance sees only a sample of the requests.
	minServedRatio = 0.5
	// minLargeRatio is the same for the large requests of a class and the whole class, of which
	// a half is guaranteed.
	minLargeRatio = 0.7
	// priorRequests is the number of requests with the usual outcome that are added to those of
	// a class, so that few outcomes decide nothing.
	priorRequests = 2
)

// History counts the outcomes of the requests of one service by class. The caller serialises
// the calls.
type History struct {
	classes [Classes]classHistory
}

// classHistory holds the outcomes of the requests of one class.
type classHistory struct {
	seenAt   time.Time
	meanCost float64
	all      outcomes
	large    outcomes // Of requests that cost much more than the mean.
}

// outcomes counts requests that were served, and requests that were refused.
type outcomes struct{ served, refused decayingCount }

// record counts the outcome of a request.
func (o *outcomes) record(served bool, now time.Time) {
	if served {
		o.served.add(now)
	} else {
		o.refused.add(now)
	}
}

// RecordArrival records that a request of a class has arrived. It reports whether the request is
// large for its class.
func (h *History) RecordArrival(c Class, cost float64, now time.Time) (large bool) {
	class := &h.classes[c]
	class.seenAt = now
	if class.meanCost == 0 {
		class.meanCost = cost
	}
	large = cost > largeCostRatio*class.meanCost
	class.meanCost += meanCostWeight * (cost - class.meanCost)
	return large
}

// RecordOutcome records that a request was served or refused.
func (h *History) RecordOutcome(c Class, large, served bool, now time.Time) {
	h.classes[c].all.record(served, now)
	if large {
		h.classes[c].large.record(served, now)
	}
}

// Present returns the classes of the requests that have arrived lately.
func (h *History) Present(now time.Time) ClassSet {
	var set ClassSet
	for c := range h.classes {
		if seen := h.classes[c].seenAt; !seen.IsZero() && now.Sub(seen) < classMemory {
			set = set.With(Class(c))
		}
	}
	return set
}

// IsStarved reports whether the requests of a class are served much less often than all.
func (h *History) IsStarved(c Class, now time.Time) bool {
	var all tally
	for i := range h.classes {
		all = all.plus(h.classes[i].all.tally(now))
	}
	return h.classes[c].all.tally(now).isBelow(all, minServedRatio)
}

// AreLargeStarved reports whether the large requests of a class are served much less often than
// the whole class.
func (h *History) AreLargeStarved(c Class, now time.Time) bool {
	class := &h.classes[c]
	return class.large.tally(now).isBelow(class.all.tally(now), minLargeRatio)
}

// tally is the number of requests of a kind that have ended, and of those that were served.
type tally struct{ served, ended float64 }

// tally returns the counts now.
func (o *outcomes) tally(now time.Time) tally {
	served := o.served.current(now)
	return tally{served: served, ended: served + o.refused.current(now)}
}

// plus returns the sum of two tallies.
func (t tally) plus(u tally) tally { return tally{t.served + u.served, t.ended + u.ended} }

// isBelow reports whether the fraction that was served is below a ratio of that of a larger kind.
func (t tally) isBelow(whole tally, ratio float64) bool {
	if whole.ended == 0 {
		return false
	}
	usual := whole.served / whole.ended
	fraction := (t.served + priorRequests*usual) / (t.ended + priorRequests)
	return fraction < ratio*usual
}
