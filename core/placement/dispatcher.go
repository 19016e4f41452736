package placement

import (
	"sort"
	"sync"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Limits of a dispatcher.
const (
	maxWaiting    = 20_000 // Requests in the queue.
	maxTombstones = 20_000 // Leases that ended before they were learned.
)

// Dispatcher places the requests for one model in one failure domain. It has
// no goroutine and does no I/O: Tick has to be called at the time that it
// returned last, and after each value on Wake.
type Dispatcher struct {
	domain ident.DomainID
	model  text.Model
	now    func() time.Time
	check  func(name string, ok bool, keyvals ...any) bool
	tuning Tuning
	wake   chan struct{}

	mu         sync.Mutex
	engines    map[ident.EndpointID]*engineState
	prefills   []*engineState // By name.
	decodes    []*engineState // By name.
	queue      *fairQueue
	waiting    map[LeaseID]*waiting
	leases     map[LeaseID]*lease
	prefixes   *prefixIndex
	rooms      map[ident.DomainID]*room
	learning   bool
	tombstones map[LeaseID]bool // Ended while learning.
	transfers  []*lease         // Prefilled, pieces not yet given back.
	nextExpiry time.Time        // No request expires before.
	nextAudit  time.Time
	drain      drainRate
	closed     error
	counts     counts
}

// counts are the totals of a dispatcher since its start.
type counts struct {
	Submitted, Granted, Refused, Cancelled, Elsewhere, Closed, Returned int64
}

// Option changes a new dispatcher.
type Option func(*Dispatcher)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(d *Dispatcher) { d.now = now } }

// WithCheck sets what is called for each invariant.
func WithCheck(check func(name string, ok bool, keyvals ...any) bool) Option {
	return func(d *Dispatcher) { d.check = check }
}

// WithTuning sets the parameters of the decisions.
func WithTuning(t Tuning) Option { return func(d *Dispatcher) { d.tuning = t } }

// WithLearning makes the dispatcher queue requests, and place none, until
// Learned is called.
func WithLearning() Option { return func(d *Dispatcher) { d.learning = true } }

// NewDispatcher returns a dispatcher without engines.
func NewDispatcher(domain ident.DomainID, model text.Model, logger log.Logger, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		domain:     domain,
		model:      model,
		now:        time.Now,
		check:      checkWith(logger),
		tuning:     DefaultTuning(),
		wake:       make(chan struct{}, 1),
		engines:    make(map[ident.EndpointID]*engineState),
		queue:      newFairQueue(),
		waiting:    make(map[LeaseID]*waiting),
		leases:     make(map[LeaseID]*lease),
		prefixes:   newPrefixIndex(),
		rooms:      make(map[ident.DomainID]*room),
		tombstones: make(map[LeaseID]bool),
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Wake has a value when Tick should be called earlier than Tick last said.
func (d *Dispatcher) Wake() <-chan struct{} { return d.wake }

// SetEngines sets the engines of the domain that serve the model, and the
// weights of the organisations. Reservations on engines stay.
func (d *Dispatcher) SetEngines(model text.Model, engines []text.Engine, weights map[ident.OrganisationID]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.model = model
	d.queue.setWeights(weights)
	for _, e := range d.engines {
		e.gone = true
	}
	for _, e := range engines {
		old, ok := d.engines[e.Name]
		fresh := newEngineState(e)
		if !ok {
			d.engines[e.Name] = fresh
			continue
		}
		old.Engine, old.gone = fresh.Engine, false
	}
	d.listEngines()
	d.changed()
}

// listEngines rebuilds the lists by role and drops engines that are gone and
// hold nothing.
func (d *Dispatcher) listEngines() {
	d.prefills, d.decodes = nil, nil
	for id, e := range d.engines {
		if e.gone && len(e.leases) == 0 {
			delete(d.engines, id)
			continue
		}
		if e.Role == text.Prefill {
			d.prefills = append(d.prefills, e)
		} else {
			d.decodes = append(d.decodes, e)
		}
	}
	byName := func(list []*engineState) func(i, j int) bool {
		return func(i, j int) bool { return list[i].Name < list[j].Name }
	}
	sort.Slice(d.prefills, byName(d.prefills))
	sort.Slice(d.decodes, byName(d.decodes))
}

// Submit queues a request of the holder. The decision comes on the returned
// channel, which has room for it. Submitting an attempt again returns a new
// channel for the same place in the queue, or the same grant.
func (d *Dispatcher) Submit(r Request, holder ident.InstanceID) <-chan Decision {
	answer := make(chan Decision, 1)
	if err := r.check(); err != nil {
		answer <- Decision{Err: err}
		return answer
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed != nil {
		answer <- Decision{Err: d.closed}
		return answer
	}
	id := r.LeaseID()
	if l, ok := d.leases[id]; ok {
		l.answer = answer
		answer <- Decision{Grant: d.grantOf(l)}
		return answer
	}
	if w, ok := d.waiting[id]; ok {
		w.answer = answer
		return answer
	}
	now := d.now()
	w := &waiting{request: r, holder: holder, arrived: now, answer: answer, index: -1}
	d.counts.Submitted++
	if err := d.admit(w, now); err != nil {
		d.counts.Refused++
		answer <- Decision{Err: err}
		return answer
	}
	d.queue.push(w)
	d.waiting[id] = w
	if d.nextExpiry.IsZero() || w.expires.Before(d.nextExpiry) {
		d.nextExpiry = w.expires
	}
	d.changed()
	return answer
}

// Cancel takes a request out of the queue, or ends its lease.
func (d *Dispatcher) Cancel(id LeaseID) {
	if !d.cancelWaiting(id) {
		d.Release(id, Outcome{Result: Cancelled})
	}
}

// CancelSubmission undoes the Submit that returned answer. It has no effect
// when the same attempt was submitted again since.
func (d *Dispatcher) CancelSubmission(id LeaseID, answer <-chan Decision) {
	d.mu.Lock()
	w, waits := d.waiting[id]
	l, holds := d.leases[id]
	mine := (waits && w.answer == answer) || (holds && l.answer == answer)
	d.mu.Unlock()
	if mine {
		d.Cancel(id)
	}
}

// cancelWaiting takes a request out of the queue. It reports whether the
// request was there.
func (d *Dispatcher) cancelWaiting(id LeaseID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.waiting[id]
	if !ok {
		return false
	}
	d.counts.Cancelled++
	d.answer(w, Decision{Err: fault.New(fault.CallerGone, "cancelled in the queue").WithRan(fault.NotRun)})
	// What waited behind it may fit now.
	d.changed()
	return true
}

// PrefillDone notes that the attempt's prefill has answered. Repeating it has
// no effect.
func (d *Dispatcher) PrefillDone(id LeaseID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.leases[id]
	if !ok || !l.prefilling {
		return
	}
	now := d.now()
	l.endPrefill()
	if e := l.prefill; e != nil {
		e.breaker.succeeded()
		e.prefills.observe(seconds(float64(l.prefillTokens)/e.PrefillRate), l.granted, now)
		d.recount(e, now)
		d.prefixesStored(e.Name, l)
		l.prefillFreeAt = now.Add(d.transferTime(l))
		d.transfers = append(d.transfers, l)
	}
	d.changed()
}

// Release ends a lease. Repeating it has no effect.
func (d *Dispatcher) Release(id LeaseID, o Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.leases[id]
	if !ok {
		if d.learning && len(d.tombstones) < maxTombstones {
			d.tombstones[id] = true
		}
		return
	}
	d.end(l, o, d.now())
	d.changed()
}

// end gives back what a lease holds and learns from its outcome.
func (d *Dispatcher) end(l *lease, o Outcome, now time.Time) {
	wasPrefilling := l.prefilling
	l.release()
	delete(d.leases, l.held.Lease)
	d.counts.Returned++
	if wasPrefilling && l.prefill != nil {
		d.recount(l.prefill, now)
	}
	unused := max(0, l.held.MaxTokens-o.OutputTokens)
	d.queue.refund(l.held.Organisation, unused)
	learnOutcome(l, o, now)
	for _, e := range []*engineState{l.prefill, l.decode} {
		if e != nil && e.gone && len(e.leases) == 0 {
			d.listEngines()
		}
	}
}

// learnOutcome feeds the breakers of the lease's engines.
func learnOutcome(l *lease, o Outcome, now time.Time) {
	weights := map[Result][2]int{
		PrefillFailed:  {breakerThreshold, 0},
		TransferFailed: {1, 1},
		DecodeFailed:   {0, breakerThreshold},
	}[o.Result]
	for i, e := range []*engineState{l.prefill, l.decode} {
		switch {
		case e == nil:
		case weights[i] > 0:
			e.breaker.failed(l.held.Lease, weights[i], now)
		case o.Result == Completed:
			e.breaker.succeeded()
		default:
			e.breaker.ended(l.held.Lease)
		}
	}
}

// recount predicts anew when a prefill engine has done what it was given.
func (d *Dispatcher) recount(e *engineState, now time.Time) {
	var left time.Duration
	for _, l := range e.leases {
		if l.prefilling && l.prefill == e {
			left += e.prefillTime(l.prefillTokens)
		}
	}
	e.prefills.ends = now.Add(left)
}

// answer takes a request out of the queue and answers it once.
func (d *Dispatcher) answer(w *waiting, a Decision) {
	d.queue.remove(w)
	delete(d.waiting, w.request.LeaseID())
	d.check("Placement.AnsweredOnce", !w.answered, "lease", w.request.LeaseID())
	w.answered = true
	w.answer <- a
}

// changed schedules, checks the invariants, and wakes the caller of Tick.
func (d *Dispatcher) changed() {
	d.schedule(d.now())
	d.checkInvariants()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
