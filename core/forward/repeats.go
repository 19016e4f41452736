package forward

import (
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// repeatMargin is the part of the budget of repeats that is used. The rest covers
// instances that are not known and requests that come at the edge of a window.
const repeatMargin = 0.7

// repeats is this instance's part of the budget of calls beyond the first.
type repeats struct {
	mu       sync.Mutex
	services map[ident.ServiceID]*repeatWindow
}

// repeatWindow holds the requests and repeats of a service in the last window.
type repeatWindow struct {
	requests []time.Time
	repeats  []time.Time
}

// of returns the window of a service. The caller holds mu.
func (b *repeats) of(service ident.ServiceID) *repeatWindow {
	if b.services == nil {
		b.services = make(map[ident.ServiceID]*repeatWindow)
	}
	w := b.services[service]
	if w == nil {
		w = &repeatWindow{}
		b.services[service] = w
	}
	return w
}

// earn counts a request.
func (b *repeats) earn(service ident.ServiceID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.of(service)
	w.requests = append(w.requests, now)
}

// mayRepeat takes a call beyond the first out of the budget, or reports that
// there is none left.
func (r *Router) mayRepeat(service ident.ServiceID) bool {
	now := r.now()
	b := &r.repeats
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.of(service)
	since := now.Add(-r.tuning.RepeatWindow)
	w.requests, w.repeats = after(w.requests, since), after(w.repeats, since)
	allowed := repeatMargin * (r.tuning.RepeatRatio*float64(len(w.requests)) + r.tuning.RepeatSlack/float64(max(1, r.Live())))
	if float64(len(w.repeats)+1) > allowed {
		return false
	}
	w.repeats = append(w.repeats, now)
	r.counters.repeated.Inc(1)
	return true
}

// charge takes a call out of the budget that was made already.
func (r *Router) charge(service ident.ServiceID) {
	b := &r.repeats
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.of(service)
	w.repeats = append(w.repeats, r.now())
	r.counters.repeated.Inc(1)
}

// after returns the part of an ordered list that is later than a time.
func after(list []time.Time, t time.Time) []time.Time {
	i := 0
	for i < len(list) && !list[i].After(t) {
		i++
	}
	return list[i:]
}
