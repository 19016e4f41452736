package forward

import (
	"sync"

	"monsoonfork/core/ident"
)

const (
	// outputEstimateWeight is the weight of the newest estimate in the average of its
	// service.
	outputEstimateWeight = 0.05
	// outputMarginRatio is the margin of a reservation for answers that are longer than
	// their callers expect, as a fraction of the average estimate. A stream that outgrows
	// its reservation may be preempted, and its prompt is then prefilled again.
	outputMarginRatio = 0.5
)

// outputEstimates holds the average of the callers' estimates of the length of answers, by
// service. The margin of a reservation follows from it and not from the request's own
// estimate: short estimates are too low more often than long ones, and the memory that
// a margin takes does not depend on the estimate.
type outputEstimates struct {
	mu      sync.Mutex
	average map[ident.ServiceID]float64 // Tokens.
}

// possibleEstimate returns the caller's estimate of the answer's length, and at most what the
// request permits and the memory of an engine holds; 0 if the caller gave none. It is what counts
// in the average, which callers that give no possible estimate would change for all others.
func (j *job) possibleEstimate() ident.Tokens {
	estimate := min(j.EstimatedOutput, j.MaxOutputTokens)
	if capacity := j.service.Model.KVCacheTokens; capacity > 0 {
		estimate = min(estimate, capacity)
	}
	return estimate
}

// record adds the possible estimate of a request; 0 means that it has none.
func (o *outputEstimates) record(s ident.ServiceID, estimate ident.Tokens) {
	if estimate <= 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.average == nil {
		o.average = make(map[ident.ServiceID]float64)
	}
	average := float64(estimate)
	if old := o.average[s]; old > 0 {
		average = old + outputEstimateWeight*(average-old)
	}
	o.average[s] = average
}

// margin returns the memory to be reserved beyond an estimate, in tokens.
func (o *outputEstimates) margin(s ident.ServiceID) ident.Tokens {
	o.mu.Lock()
	defer o.mu.Unlock()
	return ident.Tokens(outputMarginRatio * o.average[s])
}
