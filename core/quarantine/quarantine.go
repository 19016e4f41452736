// Package quarantine finds parts of prompts that crash engines, and keeps requests whose prompts
// have them from engines. The instances share what they have seen.
package quarantine

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/boottime"
	"monsoonfork/core/contain"
	"monsoonfork/core/event"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
)

const (
	// maxScopes is the number of scopes for which evidence is kept.
	maxScopes = 256
	// maxRemoteScopes is the number of scopes up to which what other instances report adds one.
	maxRemoteScopes = maxScopes / 2
)

// Quarantine holds the evidence of one instance. It is safe for concurrent use.
type Quarantine struct {
	self     ident.InstanceID
	log      log.Logger
	now      func() time.Time
	bootTime func() boottime.Instant
	peers    peers
	store    StoreFunc // Nil if there is no store.
	metrics  quarantineMetrics
	boundary contain.Boundary // Contains panics in work on what other instances send.

	mu     sync.Mutex
	scopes map[Scope]*evidence

	outbox     outbox
	stored     storeState
	comparison comparison
	permits    permits
}

// peers are the connections to other instances. View is nil if there are none.
type peers struct {
	View func() *membership.View
	Call link.CallFunc
}

// StoreFunc writes the crashes that this instance has reported to the platform's store, in place
// of what it wrote before. They are removed after ttl.
type StoreFunc func(ctx context.Context, value []byte, ttl time.Duration) error

// quarantineMetrics are the metrics of a Quarantine.
type quarantineMetrics struct {
	crashes  metrics.Counter // Crashes of engines under requests of this instance.
	refused  metrics.Counter // Requests that were kept from engines.
	trials   metrics.Counter // Requests with a held part that were sent to try it.
	released metrics.Counter // Parts that are no longer held since a prompt with them was answered.
	held     metrics.Gauge   // Parts that are held.
}

// Option configures a Quarantine.
type Option func(*Quarantine)

// WithPeers makes the quarantine share its evidence with other instances.
func WithPeers(view func() *membership.View, call link.CallFunc) Option {
	return func(q *Quarantine) { q.peers = peers{View: view, Call: call} }
}

// WithStore makes the quarantine write crashes to the platform's store that instances need which
// start later or can't be reached.
func WithStore(f StoreFunc) Option {
	return func(q *Quarantine) { q.store = f }
}

// WithBootTime sets a clock that also counts the time in which the process or its host is
// suspended.
func WithBootTime(f func() boottime.Instant) Option {
	return func(q *Quarantine) { q.bootTime = f }
}

// New returns a quarantine without evidence.
func New(self ident.InstanceID, logger log.Logger, r metrics.Registry, now func() time.Time, opts ...Option) *Quarantine {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("Quarantine."+name, r) }
	q := &Quarantine{
		self: self, log: log.With(logger, "part", "Quarantine"), now: now, bootTime: boottime.Now,
		scopes: make(map[Scope]*evidence),
		outbox: newOutbox(),
		metrics: quarantineMetrics{
			crashes: counter("Crashes"), refused: counter("Refused"), trials: counter("Trials"), released: counter("Released"),
			held: metrics.GetOrRegisterGauge("Quarantine.Held", r),
		},
	}
	q.boundary = contain.Boundary{Log: q.log, Panics: counter("ContainedPanics")}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Decision says what to do with a request.
type Decision struct {
	Held  bool
	Trial bool // The request may be sent to one engine, once, to try a part that was held.
	Hold  Hold // The part that is held, or tried.
}

// Check decides whether a request may be sent to engines.
func (q *Quarantine) Check(ctx context.Context, p Prompt) Decision {
	parts := p.shared()
	if len(parts) == 0 {
		return Decision{}
	}
	q.refresh(ctx, p)
	e := q.existing(p.Scope)
	if e == nil {
		return Decision{}
	}
	now := q.now()
	h, held := e.held(parts, now)
	if !held {
		return Decision{}
	}
	if !now.Before(h.Until) {
		if e.isTrialFor(h, parts, now) && q.takeTrial(ctx, h) {
			q.metrics.trials.Inc(1)
			_ = level.Info(q.log).Log("msg", event.PartTried, "service", h.Service, "model", h.Model, "prompt_part", h.Part, "crashes", h.Crashes)
			return Decision{Trial: true, Hold: h}
		}
		h.Until = now.Add(trialInterval)
	}
	q.metrics.refused.Inc(1)
	return Decision{Held: true, Hold: h}
}

// IsHeld reports whether a part of a prompt is held, by the evidence at hand.
func (q *Quarantine) IsHeld(p Prompt) bool {
	e := q.existing(p.Scope)
	if e == nil {
		return false
	}
	_, held := e.held(p.shared(), q.now())
	return held
}

// RecordAnswer records that an engine has answered a prompt without crashing as it began.
func (q *Quarantine) RecordAnswer(p Prompt) {
	parts := p.shared()
	if len(parts) == 0 {
		return
	}
	if e := q.scope(p.Scope, maxScopes); e != nil {
		q.clear(e, clearedNow(p.Scope, parts, q.now()), "a prompt with it was answered", toAll)
	}
}

// RecordCrash records that a run of an engine crashed as it began to answer a prompt. It reports
// whether the prompt may be the cause, so that the request must not be sent to another engine.
func (q *Quarantine) RecordCrash(p Prompt, run Run) (suspect bool) {
	q.metrics.crashes.Inc(1)
	parts := p.shared()
	e := q.scope(p.Scope, maxScopes)
	if len(parts) == 0 || e == nil {
		return false
	}
	q.addCrashes(e, []Crash{{Scope: p.Scope, Run: run, Reporter: q.self, Parts: slices.Clone(parts), At: q.now()}}, toAll)
	return e.suspects(parts)
}

// Free releases a part at all instances, as if the prompts that crashed with it had been answered.
// It reports whether the part was held here.
func (q *Quarantine) Free(scope Scope, part ident.PartID) bool {
	e := q.existing(scope)
	if e == nil {
		return false
	}
	return slices.Contains(q.clear(e, clearedNow(scope, e.companions(part), q.now()), "an operator has released it", toAll), part)
}

// Holds returns all parts that are held, sorted by service, model and part.
func (q *Quarantine) Holds() []Hold {
	now := q.now()
	list := []Hold{}
	for _, e := range q.allEvidence() {
		list = append(list, e.allHolds(now)...)
	}
	slices.SortFunc(list, func(a, b Hold) int {
		return strings.Compare(string(a.Service)+"\x00"+string(a.Model)+"\x00"+string(a.Part), string(b.Service)+"\x00"+string(b.Model)+"\x00"+string(b.Part))
	})
	return list
}

// addCrashes adds crashes of one scope, and sends those that are new to others.
func (q *Quarantine) addCrashes(e *evidence, list []Crash, to recipients) {
	now := q.now()
	added, held := e.addCrashes(list, now)
	q.outbox.add(to, batch{crashes: added})
	for _, h := range held {
		_ = level.Warn(q.log).Log("msg", event.PartHeld, "service", h.Service, "model", h.Model, "prompt_part", h.Part,
			"crashes", h.Crashes, "reporters", h.Reporters, "first_ms", now.Sub(h.FirstAt).Milliseconds(), "until_ms", h.Until.Sub(now).Milliseconds())
	}
	if len(held) > 0 {
		q.updateGauge()
		q.outbox.wake()
	}
}

// clear records that prompts with some parts of one scope were answered, and returns the parts
// that are no longer held. In that case it sends to others what was cleared.
func (q *Quarantine) clear(e *evidence, list []clearedPart, why string, to recipients) []ident.PartID {
	answered := make(map[ident.PartID]time.Time, len(list))
	for _, c := range list {
		answered[c.Part] = c.At
	}
	released := e.clear(answered, q.now())
	if len(released) == 0 {
		return nil
	}
	q.metrics.released.Inc(int64(len(released)))
	for _, p := range released {
		_ = level.Info(q.log).Log("msg", event.PartReleased, "service", list[0].Service, "model", list[0].Model, "prompt_part", p, "why", why)
	}
	q.outbox.add(to, batch{cleared: list})
	q.outbox.wake()
	q.updateGauge()
	return released
}

// clearedNow returns parts of a scope as cleared at the given time.
func clearedNow(scope Scope, parts []ident.PartID, now time.Time) []clearedPart {
	list := make([]clearedPart, len(parts))
	for i, p := range parts {
		list[i] = clearedPart{scope, p, now}
	}
	return list
}

// updateGauge updates the number of parts that are held.
func (q *Quarantine) updateGauge() { q.metrics.held.Update(int64(len(q.Holds()))) }

// existing returns the evidence about a scope, or nil if there is none.
func (q *Quarantine) existing(s Scope) *evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scopes[s]
}

// scope returns the evidence about a scope, which may be new. It is nil if the scope is unknown and
// there are as many as the limit.
func (q *Quarantine) scope(s Scope, limit int) *evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.scopes[s]
	if e == nil && len(q.scopes) < limit {
		e = newEvidence(q.self)
		q.scopes[s] = e
	}
	return e
}

// allEvidence returns the evidence about all scopes.
func (q *Quarantine) allEvidence() map[Scope]*evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := make(map[Scope]*evidence, len(q.scopes))
	for s, e := range q.scopes {
		all[s] = e
	}
	return all
}
