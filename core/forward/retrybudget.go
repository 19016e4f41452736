package forward

import (
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// retryBudgetMargin is the fraction of the retry budget that is used. The rest allows for
// instances that LiveInstances does not count, and for requests at the edge of a window.
const retryBudgetMargin = 0.7

// retryBudget is this instance's part of the retry budget: it limits the calls of
// requests after their first, by service.
type retryBudget struct {
	mu       sync.Mutex
	services map[ident.ServiceID]*budgetWindow
}

// budgetWindow holds the times of the requests for a service and of their extra calls, the
// calls after the first of a request, within the window of the retry budget.
type budgetWindow struct {
	requests   []time.Time
	extraCalls []time.Time
	heldCalls  int // Extra calls that may be made soon; they are in neither list.
}

// window returns the window of a service. The caller must hold mu.
func (b *retryBudget) window(service ident.ServiceID) *budgetWindow {
	if b.services == nil {
		b.services = make(map[ident.ServiceID]*budgetWindow)
	}
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{}
		b.services[service] = w
	}
	return w
}

// countRequest counts a request, which adds to the budget.
func (b *retryBudget) countRequest(service ident.ServiceID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests = append(w.requests, now)
}

// takeExtraCall takes an extra call out of the retry budget. It returns false if the
// budget is used up.
func (r *Router) takeExtraCall(service ident.ServiceID) bool {
	if !r.holdExtraCall(service) {
		return false
	}
	r.useExtraCall(service)
	return true
}

// holdExtraCall keeps a part of the retry budget for an extra call that may be made soon,
// until useExtraCall or returnExtraCall. It returns false if the budget is used up.
func (r *Router) holdExtraCall(service ident.ServiceID) bool {
	b := &r.retryBudget
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	since := r.now().Add(-r.retrySettings.RetryWindow)
	w.requests, w.extraCalls = after(w.requests, since), after(w.extraCalls, since)
	allowed := retryBudgetMargin * (r.retrySettings.RetryRatio*float64(len(w.requests)) + r.retrySettings.RetryMinimum/float64(max(1, r.LiveInstances())))
	if float64(len(w.extraCalls)+w.heldCalls+1) > allowed {
		return false
	}
	w.heldCalls++
	return true
}

// holdExtraCallAnyway keeps a part of the retry budget for an extra call, even if the budget
// is used up.
func (r *Router) holdExtraCallAnyway(service ident.ServiceID) {
	b := &r.retryBudget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).heldCalls++
}

// useExtraCall counts an extra call for which holdExtraCall has kept a part of the budget.
func (r *Router) useExtraCall(service ident.ServiceID) {
	b := &r.retryBudget
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.heldCalls--
	w.extraCalls = append(w.extraCalls, r.now())
	r.counters.extraCalls.Inc(1)
}

// returnExtraCall returns what holdExtraCall has kept for an extra call that is not made.
func (r *Router) returnExtraCall(service ident.ServiceID) {
	b := &r.retryBudget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).heldCalls--
}

// chargeExtraCall takes an extra call that has already been made out of the retry budget,
// even if the budget is used up.
func (r *Router) chargeExtraCall(service ident.ServiceID) {
	b := &r.retryBudget
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.extraCalls = append(w.extraCalls, r.now())
	r.counters.extraCalls.Inc(1)
}

// after returns the times of a sorted list that are later than t.
func after(list []time.Time, t time.Time) []time.Time {
	i := 0
	for i < len(list) && !list[i].After(t) {
		i++
	}
	return list[i:]
}
