package share

import (
	"slices"

	"monsoonfork/core/ident"
)

// recentCosts is how many of the last requests of an organisation the limit of one request
// is computed from.
const recentCosts = 32

// costHistory holds the costs of the last requests that an instance was asked to admit.
type costHistory struct {
	costs []float64
	next  int // Where the next cost is stored once the history is complete.
}

// add stores the cost of a request in place of the oldest one.
func (h *costHistory) add(cost ident.Tokens) {
	if len(h.costs) < recentCosts {
		h.costs = append(h.costs, float64(cost))
		return
	}
	h.costs[h.next] = float64(cost)
	h.next = (h.next + 1) % recentCosts
}

// fairLimit divides a proportion of the tokens of all requests among them by max-min
// fairness, and returns the most that one of them gets.
func (h *costHistory) fairLimit(proportion float64) float64 {
	sorted := slices.Clone(h.costs)
	slices.Sort(sorted)
	left := 0.0
	for _, cost := range sorted {
		left += cost * proportion
	}
	for i, cost := range sorted {
		limit := left / float64(len(sorted)-i)
		if limit <= cost {
			return limit
		}
		left -= cost
	}
	return sorted[len(sorted)-1]
}
