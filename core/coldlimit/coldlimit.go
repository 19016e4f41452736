// Package coldlimit limits the requests that all instances together send to cold engines,
// without messages between the instances.
package coldlimit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/boottime"
	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
)

// Bounds bound the requests to one cold engine in any one second, over all instances: the rate
// of its service times Overshoot, plus Slack.
type Bounds struct {
	Overshoot float64
	Slack     float64
}

// defaultBounds are the bounds of a deployment that has none of its own.
var defaultBounds = Bounds{Overshoot: 1.5, Slack: 5}

// Limiter decides whether this instance may call a cold engine. The exported fields are set
// before the first use.
type Limiter struct {
	Bounds  Bounds                                 // The zero value stands for defaultBounds.
	Service func(ident.ServiceID) *catalog.Service // Returns a service of the current configuration, or nil.
	Domain  ident.DomainID                         // Failure domain of this instance.
	// Registered returns the number of registered instances by failure domain.
	Registered func() map[ident.DomainID]int
	// Live returns the number of live instances of the own failure domain, this one included.
	Live func() int
	// Owns reports whether this instance owns a key among those of its failure domain.
	Owns     func(key string) bool
	Calls    metrics.Counter // Uses of cold engines.
	Now      func() time.Time
	BootTime func() boottime.Instant

	mu   sync.Mutex
	used map[ident.EndpointID]use
}

// use is the last use of a cold engine by this instance.
type use struct {
	slot  int64
	until boottime.Instant // The engine is not used again before.
}

// IsLimited reports whether calls to an engine are limited now: it is cold, and its service has
// a rate for cold engines.
func (l *Limiter) IsLimited(e *engines.Engine) bool {
	s := l.Service(e.Service)
	return s != nil && s.ColdRate > 0 && e.IsCold()
}

// Permits reports whether this instance may call an engine now.
func (l *Limiter) Permits(e *engines.Engine) bool {
	if !l.IsLimited(e) {
		return true
	}
	s, ok := l.openSlot(e)
	return ok && l.isUnused(e.ID, s)
}

// Take is Permits, and uses up the permission.
func (l *Limiter) Take(e *engines.Engine) bool {
	if !l.IsLimited(e) {
		return true
	}
	s, ok := l.openSlot(e)
	return ok && l.use(e.ID, s)
}

// openSlot returns the current slot of an engine, if this instance may use it now.
func (l *Limiter) openSlot(e *engines.Engine) (slot, bool) {
	position, domains, ok := l.position()
	if !ok {
		return slot{}, false
	}
	service := l.Service(e.Service)
	if service == nil {
		return slot{}, false
	}
	p := newPlan(service.ColdRate, requestsPerUse(service, e), domains, cmp.Or(l.Bounds, defaultBounds))
	s, ok := p.openSlot(l.Now(), position)
	return s, ok && l.Owns(slotKey(e.ID, s.number))
}

// requestsPerUse returns how many requests an engine gets for one use: a stream follows a
// reservation, but a prefill and a plain request are single.
func requestsPerUse(service *catalog.Service, e *engines.Engine) int {
	if service.Model == nil || e.CurrentStage() == engines.Prefill {
		return 1
	}
	return 2
}

// position returns the position of this instance's failure domain among the registered ones, and
// their number. ok is false if this instance sees at most half of its domain, as the other half may
// find another owner of the same slot.
func (l *Limiter) position() (position, domains int, ok bool) {
	registered := l.Registered()
	if 2*l.Live() <= registered[l.Domain] {
		return 0, 0, false
	}
	names := make([]ident.DomainID, 0, len(registered))
	for domain := range registered {
		names = append(names, domain)
	}
	slices.Sort(names)
	position, ok = slices.BinarySearch(names, l.Domain)
	return position, len(names), ok
}

// isUnused reports whether this instance has not used a slot of an engine, nor the engine within the
// last half of a slot. The latter also holds when the clock is set back to an earlier slot.
func (l *Limiter) isUnused(id ident.EndpointID, s slot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allowsUse(id, s)
}

// allowsUse is isUnused for callers that hold mu.
func (l *Limiter) allowsUse(id ident.EndpointID, s slot) bool {
	last, used := l.used[id]
	return !used || last.slot != s.number && !l.BootTime().Before(last.until)
}

// use records the use of a slot of an engine. It returns false if it may not be used.
func (l *Limiter) use(id ident.EndpointID, s slot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.allowsUse(id, s) {
		return false
	}
	now := l.BootTime()
	l.forgetOld(now)
	l.used[id] = use{s.number, now.Add(s.length / 2)}
	l.Calls.Inc(1)
	return true
}

// forgetOld drops the uses of engines that were not used for useRetention. The caller must hold mu.
func (l *Limiter) forgetOld(now boottime.Instant) {
	if l.used == nil {
		l.used = make(map[ident.EndpointID]use)
	}
	for id, u := range l.used {
		if u.until.Add(useRetention).Before(now) {
			delete(l.used, id)
		}
	}
}

// useRetention is how long a use is remembered after it no longer excludes another one. It is
// longer than the slots of the slowest rates.
const useRetention = time.Hour
