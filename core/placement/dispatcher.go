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
	maxWaiting    = 20_000 // Maximum number of queued requests.
	maxTombstones = 20_000 // Maximum number of recorded leases that ended during recovery.
)

// Dispatcher places the requests for one model in one failure domain: it queues
// them and reserves a prefill and a decode engine for each. It has no goroutine
// and does no I/O. Its caller must call Tick at the time that the last Tick
// returned, and after each value received from Wake.
type Dispatcher struct {
	domain ident.DomainID
	model  text.Model
	now    func() time.Time
	check  func(name string, ok bool, keyvals ...any) bool
	tuning Tuning
	wake   chan struct{}

	mu             sync.Mutex
	engines        map[ident.EndpointID]*engineState
	prefillEngines []*engineState // Sorted by name.
	decodeEngines  []*engineState // Sorted by name.
	queue          *fairQueue
	waiting        map[LeaseID]*queuedRequest
	leases         map[LeaseID]*lease
	prefixes       *prefixIndex
	capacities     map[ident.DomainID]*domainCapacity
	recovering     bool
	tombstones     map[LeaseID]bool // Leases that ended during recovery; they must not be restored.
	transfers      []*lease         // Prefilled leases whose pieces on the prefill engine are still reserved.
	nextExpiry     time.Time        // No waiting request expires before this time.
	nextAudit      time.Time
	serviceRate    tokenRate
	closeErr       error
	counts         counts
}

// counts are the totals of a dispatcher since its start. Ended counts leases that
// ended; the others count requests. Dump writes Redirected out as "Elsewhere" and
// Ended as "Returned".
type counts struct {
	Submitted, Granted, Refused, Cancelled, Redirected, Closed, Ended int64
}

// Option configures a new Dispatcher.
type Option func(*Dispatcher)

// WithClock sets the clock; the default is time.Now.
func WithClock(now func() time.Time) Option { return func(d *Dispatcher) { d.now = now } }

// WithCheck sets the function that is called for each invariant check.
func WithCheck(check func(name string, ok bool, keyvals ...any) bool) Option {
	return func(d *Dispatcher) { d.check = check }
}

// WithTuning sets the placement parameters; the default is DefaultTuning.
func WithTuning(t Tuning) Option { return func(d *Dispatcher) { d.tuning = t } }

// WithRecovery makes the dispatcher queue requests without placing any until
// FinishRecovery is called, so that the leases granted by its predecessor can be
// restored first.
func WithRecovery() Option { return func(d *Dispatcher) { d.recovering = true } }

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
		waiting:    make(map[LeaseID]*queuedRequest),
		leases:     make(map[LeaseID]*lease),
		prefixes:   newPrefixIndex(),
		capacities: make(map[ident.DomainID]*domainCapacity),
		tombstones: make(map[LeaseID]bool),
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Wake returns a channel that has a value when Tick should be called before the
// time that the last Tick returned.
func (d *Dispatcher) Wake() <-chan struct{} { return d.wake }

// SetEngines sets the engines of the domain that serve the model, and the
// weights of the organisations. Reservations are kept; an engine that is missing
// from the list gets no new work and is dropped when its last lease ends.
func (d *Dispatcher) SetEngines(model text.Model, engines []text.Engine, weights map[ident.OrganisationID]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.model = model
	d.queue.setWeights(weights)
	for _, e := range d.engines {
		e.removed = true
	}
	for _, e := range engines {
		old, ok := d.engines[e.Name]
		fresh := newEngineState(e)
		if !ok {
			d.engines[e.Name] = fresh
			continue
		}
		old.Engine, old.removed = fresh.Engine, false
	}
	d.rebuildEngineLists()
	d.reschedule()
}

// rebuildEngineLists rebuilds the lists by role and drops removed engines that
// have no leases.
func (d *Dispatcher) rebuildEngineLists() {
	d.prefillEngines, d.decodeEngines = nil, nil
	for id, e := range d.engines {
		if e.removed && len(e.leases) == 0 {
			delete(d.engines, id)
			continue
		}
		if e.Role == text.Prefill {
			d.prefillEngines = append(d.prefillEngines, e)
		} else {
			d.decodeEngines = append(d.decodeEngines, e)
		}
	}
	byName := func(list []*engineState) func(i, j int) bool {
		return func(i, j int) bool { return list[i].Name < list[j].Name }
	}
	sort.Slice(d.prefillEngines, byName(d.prefillEngines))
	sort.Slice(d.decodeEngines, byName(d.decodeEngines))
}

// Submit queues a request on behalf of an instance, the future holder of the
// lease. The decision is sent on the returned channel, which is buffered. Submit
// is idempotent for an attempt: repeated while the attempt waits, it returns a new
// channel that replaces the earlier one; repeated after the grant, it returns the
// same grant.
func (d *Dispatcher) Submit(r Request, holder ident.InstanceID) <-chan Decision {
	answer := make(chan Decision, 1)
	if err := r.check(); err != nil {
		answer <- Decision{Err: err}
		return answer
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closeErr != nil {
		answer <- Decision{Err: d.closeErr}
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
	w := &queuedRequest{request: r, holder: holder, arrived: now, answer: answer, heapIndex: -1}
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
	d.reschedule()
	return answer
}

// Cancel removes a request from the queue, or ends its lease if it was granted.
func (d *Dispatcher) Cancel(id LeaseID) {
	if !d.cancelWaiting(id) {
		d.Release(id, Outcome{Result: Cancelled})
	}
}

// CancelSubmission cancels the request whose Submit returned answer. It has no
// effect if the same attempt has been submitted again since then.
func (d *Dispatcher) CancelSubmission(id LeaseID, answer <-chan Decision) {
	d.mu.Lock()
	w, queued := d.waiting[id]
	l, leased := d.leases[id]
	current := (queued && w.answer == answer) || (leased && l.answer == answer)
	d.mu.Unlock()
	if current {
		d.Cancel(id)
	}
}

// cancelWaiting removes a request from the queue, and reports whether it was
// queued.
func (d *Dispatcher) cancelWaiting(id LeaseID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.waiting[id]
	if !ok {
		return false
	}
	d.counts.Cancelled++
	d.resolve(w, Decision{Err: fault.New(fault.CallerGone, "request was cancelled while it was queued").WithRan(fault.NotRun)})
	// Requests queued behind the cancelled one may be placed now.
	d.reschedule()
	return true
}

// PrefillDone records that the prefill engine has answered: its slot is released,
// and its memory is kept until the predicted end of the transfer. Repeated calls
// have no effect.
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
		e.prefills.observe(secondsToDuration(float64(l.prefillTokens)/e.PrefillRate), l.grantedAt, now)
		d.predictPrefillEnd(e, now)
		d.recordPrefixes(e.Name, l)
		l.transferDoneAt = now.Add(d.remainingTransferTime(l))
		d.transfers = append(d.transfers, l)
	}
	d.reschedule()
}

// Release ends a lease. Repeated calls have no effect. During recovery the id of
// an unknown lease is recorded, so that the lease is not restored later.
func (d *Dispatcher) Release(id LeaseID, o Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.leases[id]
	if !ok {
		if d.recovering && len(d.tombstones) < maxTombstones {
			d.tombstones[id] = true
		}
		return
	}
	d.end(l, o, d.now())
	d.reschedule()
}

// end releases the reservations of a lease, refunds the unused tokens to its
// organisation, and updates the circuit breakers from the outcome.
func (d *Dispatcher) end(l *lease, o Outcome, now time.Time) {
	wasPrefilling := l.prefilling
	l.release()
	delete(d.leases, l.record.Lease)
	d.counts.Ended++
	if wasPrefilling && l.prefill != nil {
		d.predictPrefillEnd(l.prefill, now)
	}
	unused := max(0, l.record.MaxTokens-max(0, o.OutputTokens))
	d.queue.refund(l.record.Organisation, unused)
	updateBreakers(l, o, now)
	for _, e := range []*engineState{l.prefill, l.decode} {
		if e != nil && e.removed && len(e.leases) == 0 {
			d.rebuildEngineLists()
		}
	}
}

// updateBreakers updates the circuit breakers of the lease's engines. A failed
// prefill or decode opens the breaker of its engine at once; a failed transfer
// counts half as much, on both engines.
func updateBreakers(l *lease, o Outcome, now time.Time) {
	weights := map[Result][2]int{
		PrefillFailed:  {breakerThreshold, 0},
		TransferFailed: {1, 1},
		DecodeFailed:   {0, breakerThreshold},
	}[o.Result]
	for i, e := range []*engineState{l.prefill, l.decode} {
		switch {
		case e == nil:
		case weights[i] > 0:
			e.breaker.failed(l.record.Lease, weights[i], now)
		case o.Result == Completed:
			e.breaker.succeeded()
		default:
			e.breaker.inconclusive(l.record.Lease)
		}
	}
}

// predictPrefillEnd recomputes when a prefill engine will have completed all its
// open prefills.
func (d *Dispatcher) predictPrefillEnd(e *engineState, now time.Time) {
	var remaining time.Duration
	for _, l := range e.leases {
		if l.prefilling && l.prefill == e {
			remaining += e.prefillTime(l.prefillTokens)
		}
	}
	e.prefills.doneAt = now.Add(remaining)
}

// resolve removes a request from the queue and sends its decision. It must be
// called only once for a request.
func (d *Dispatcher) resolve(w *queuedRequest, a Decision) {
	d.queue.remove(w)
	delete(d.waiting, w.request.LeaseID())
	d.check("Placement.AnsweredOnce", !w.resolved, "lease", w.request.LeaseID())
	w.resolved = true
	w.answer <- a
}

// reschedule places what can be placed after a change of state, checks the
// invariants, and wakes the caller of Tick.
func (d *Dispatcher) reschedule() {
	d.schedule(d.now())
	d.checkInvariants()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
