package budget

import (
	"github.com/rcrowley/go-metrics"
)

// budgetMetrics are the counters of the Budget role.
type budgetMetrics struct {
	admitted     metrics.Counter // Requests admitted for callers of this instance.
	refused      metrics.Counter // Requests refused to callers of this instance.
	calls        metrics.Counter // Calls to other instances, all methods.
	collectCalls metrics.Counter // Requests for minted tokens to slot holders, including this instance.
	borrowCalls  metrics.Counter // Requests to other domains to lend tokens.
	collected    metrics.Counter // Tokens collected from the domain's slots.
	borrowed     metrics.Counter // Tokens borrowed from other domains.
	expired      metrics.Counter // Tokens that expired in pools.
	// Failed attempts to admit on an instance, after which the next candidate
	// was asked.
	ownerFailures  metrics.Counter
	lateSettles    metrics.Counter // Settlements of reservations that are not open any more.
	lostSettles    metrics.Counter // Settlements that failed to reach the instance that charged the request.
	skippedSettles metrics.Counter // Settlements not sent, since all charged tokens had expired.
	renewals       metrics.Counter // Renewals of slots written to the store by their holder.
	slotLists      metrics.Counter // Reads of the domain's slot records in order to claim a slot.
	slotsLost      metrics.Counter // Slots released or lost.
}

// newMetrics registers the counters in r.
func newMetrics(r metrics.Registry) *budgetMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("Budget."+name, r) }
	return &budgetMetrics{
		admitted:       counter("Admitted"),
		refused:        counter("Refused"),
		calls:          counter("Calls"),
		collectCalls:   counter("TakeCalls"),
		borrowCalls:    counter("SpareCalls"),
		collected:      counter("TokensTaken"),
		borrowed:       counter("TokensBorrowed"),
		expired:        counter("TokensExpired"),
		ownerFailures:  counter("HomeFailures"),
		lateSettles:    counter("LateSettles"),
		lostSettles:    counter("LostSettles"),
		skippedSettles: counter("SkippedSettles"),
		renewals:       counter("SlotRenewals"),
		slotLists:      counter("SlotLists"),
		slotsLost:      counter("SlotsLost"),
	}
}
