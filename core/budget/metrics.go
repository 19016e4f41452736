package budget

import (
	"github.com/rcrowley/go-metrics"
)

// budgetMetrics are the counters of the role.
type budgetMetrics struct {
	admitted       metrics.Counter // Requests admitted for callers of this instance.
	refused        metrics.Counter // Requests refused to callers of this instance.
	calls          metrics.Counter // Calls to other instances, of all methods.
	takeCalls      metrics.Counter // Questions to slot holders, this instance included.
	spareCalls     metrics.Counter // Questions to other domains.
	taken          metrics.Counter // Tokens from the domain's slots.
	borrowed       metrics.Counter // Tokens from other domains.
	expired        metrics.Counter // Tokens that expired in pools.
	homeFailures   metrics.Counter // Homes that did not answer.
	lateSettles    metrics.Counter // Settlements of reservations that are not open.
	lostSettles    metrics.Counter // Settlements that did not reach their home.
	skippedSettles metrics.Counter // Settlements not sent, since the refund had expired.
	renewals       metrics.Counter // Renewals of slots in the store.
	slotLists      metrics.Counter // Readings of the slots' records to claim one.
	slotsLost      metrics.Counter // Slots given up or lost.
}

// newMetrics registers the counters in r.
func newMetrics(r metrics.Registry) *budgetMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("Budget."+name, r) }
	return &budgetMetrics{
		admitted:       counter("Admitted"),
		refused:        counter("Refused"),
		calls:          counter("Calls"),
		takeCalls:      counter("TakeCalls"),
		spareCalls:     counter("SpareCalls"),
		taken:          counter("TokensTaken"),
		borrowed:       counter("TokensBorrowed"),
		expired:        counter("TokensExpired"),
		homeFailures:   counter("HomeFailures"),
		lateSettles:    counter("LateSettles"),
		lostSettles:    counter("LostSettles"),
		skippedSettles: counter("SkippedSettles"),
		renewals:       counter("SlotRenewals"),
		slotLists:      counter("SlotLists"),
		slotsLost:      counter("SlotsLost"),
	}
}
