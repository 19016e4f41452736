package placement

import (
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Tuning holds the parameters of the decisions.
type Tuning struct {
	PrefillWindow  time.Duration // Longest predicted wait at a prefill engine that gets work.
	Margin         time.Duration // Kept free before the first-token deadline.
	TokenTime      time.Duration // Time between two tokens.
	ElsewhereAfter time.Duration // Wait after which another domain with room is tried.
	EarlyFactor    float64       // Predicted wait over slack at which a request is refused at once; 0 turns it off.
	Headroom       int           // Free decode slots that an organisation above its share may not take.
	Reserve        float64       // Part of the decode slots that only requests with little slack may take.
	LittleSlack    time.Duration // Slack at which a request may take reserved slots.
	Prefixes       bool          // Whether cached prefixes are considered.
}

// DefaultTuning returns the parameters in use.
func DefaultTuning() Tuning {
	return Tuning{
		PrefillWindow:  20 * time.Millisecond,
		Margin:         10 * time.Millisecond,
		TokenTime:      33 * time.Millisecond,
		ElsewhereAfter: 20 * time.Millisecond,
		EarlyFactor:    2,
		Headroom:       0,
		Reserve:        0.025,
		LittleSlack:    120 * time.Millisecond,
		Prefixes:       true,
	}
}

// longestSleep bounds the time between two ticks.
const longestSleep = time.Second

// auditInterval is the least time between two audits of all counts.
const auditInterval = time.Second

// retryFloor is the least time that a refused caller is told to wait.
const retryFloor = time.Second

// Tick places what can be placed, refuses what has expired, and returns when
// it wants to be called next.
func (d *Dispatcher) Tick() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.schedule(now)
	d.checkInvariants()
	if !now.Before(d.nextAudit) {
		d.audit()
		d.nextAudit = now.Add(auditInterval)
	}
	return d.nextTick(now)
}

// nextTick returns the earliest time at which something changes by itself.
func (d *Dispatcher) nextTick(now time.Time) time.Time {
	next := now.Add(longestSleep)
	earlier := func(at time.Time) {
		if at.After(now) && at.Before(next) {
			next = at
		}
	}
	for _, l := range d.transfers {
		earlier(l.prefillFreeAt)
	}
	if d.queue.length == 0 {
		return next
	}
	earlier(d.nextExpiry.Add(time.Microsecond))
	for _, e := range d.prefills {
		earlier(e.prefills.ends.Add(-d.tuning.PrefillWindow))
	}
	for _, e := range d.engines {
		earlier(e.breaker.until)
	}
	for _, w := range d.waiting {
		earlier(w.arrived.Add(d.tuning.ElsewhereAfter))
		earlier(w.expires.Add(-d.tuning.LittleSlack))
	}
	return next
}

// admit sets the expiry of a request and refuses one that cannot be served in
// time.
func (d *Dispatcher) admit(w *waiting, now time.Time) error {
	if len(d.waiting) >= maxWaiting {
		return d.overloaded(w, now, "the queue is full")
	}
	service, ok := d.idleTime(w.request)
	if !ok {
		w.expires = d.hopeless(w, now)
		w.target = w.request.Deadline
		if w.request.Forwarded {
			return fault.New(fault.NoEndpoint, "no engine serves %s in %s", w.request.Model, d.domain).
				WithRetryAfter(now.Add(retryFloor))
		}
		return nil
	}
	w.expires = d.expiry(w, service)
	w.target = w.expires.Add(service + d.tuning.Margin)
	if now.After(w.expires) {
		return d.overloaded(w, now, "the deadline is too near")
	}
	if d.learning || d.tuning.EarlyFactor <= 0 {
		return nil
	}
	wait := d.predictedWait(w.request, now)
	if d.tooLong(wait, w.expires.Sub(now)) && d.loud(w.request.Organisation) {
		return d.overloaded(w, now, "the organisation's queue is too long").WithRetryAfter(now.Add(max(wait, retryFloor)))
	}
	return nil
}

// tooLong reports whether a predicted wait is a reason to refuse at once.
func (d *Dispatcher) tooLong(wait, slack time.Duration) bool {
	return wait.Seconds() > slack.Seconds()*d.tuning.EarlyFactor
}

// hopeless returns how long a request waits while no engine is usable.
func (d *Dispatcher) hopeless(w *waiting, now time.Time) time.Time {
	if w.request.FirstTokenDeadline.After(now) {
		return w.request.FirstTokenDeadline
	}
	return w.request.Deadline
}

// expiry returns the latest time at which a placement still meets the
// first-token target. A target that even idle engines would miss is replaced
// by one that leaves the same time for waiting.
func (d *Dispatcher) expiry(w *waiting, service time.Duration) time.Time {
	target := w.request.FirstTokenDeadline
	if target.IsZero() {
		return w.request.Deadline.Add(-service)
	}
	last := target.Add(-service - d.tuning.Margin)
	if last.Before(w.arrived) && target.After(w.arrived) {
		last = target
	}
	if last.After(w.request.Deadline) {
		last = w.request.Deadline
	}
	return last
}

// overloaded returns the refusal of a request that has not run.
func (d *Dispatcher) overloaded(w *waiting, now time.Time, why string) *fault.Error {
	wait := max(d.predictedWait(w.request, now), retryFloor)
	return fault.New(fault.Overloaded, "%s for %s in %s", why, w.request.Model, d.domain).
		WithRetryAfter(now.Add(wait))
}

// schedule ends transfers, refuses what has expired and places what fits, the
// organisation that is furthest behind first.
func (d *Dispatcher) schedule(now time.Time) {
	d.endTransfers(now)
	d.expire(now)
	if d.learning || d.closed != nil {
		return
	}
	for d.placeOne(now) {
	}
	d.sendElsewhere(now)
}

// endTransfers gives back prefill memory whose transfer is predicted to be
// done.
func (d *Dispatcher) endTransfers(now time.Time) {
	kept := d.transfers[:0]
	for _, l := range d.transfers {
		if now.Before(l.prefillFreeAt) {
			kept = append(kept, l)
			continue
		}
		l.endTransfer()
	}
	clear(d.transfers[len(kept):])
	d.transfers = kept
}

// expire refuses the requests that can no longer be served in time.
func (d *Dispatcher) expire(now time.Time) {
	if !now.After(d.nextExpiry) {
		return
	}
	d.nextExpiry = time.Time{}
	for _, w := range d.waiting {
		if !now.After(w.expires) {
			if d.nextExpiry.IsZero() || w.expires.Before(d.nextExpiry) {
				d.nextExpiry = w.expires
			}
			continue
		}
		d.counts.Refused++
		d.answer(w, Decision{Err: d.overloaded(w, now, "no engine was free in time")})
	}
}

// placeOne places one request, and reports whether it did. A request that fits
// nowhere claims the engine with the most free memory, so that smaller ones
// cannot keep it waiting for ever.
func (d *Dispatcher) placeOne(now time.Time) bool {
	if d.queue.length == 0 || !d.anyRoom(now) {
		return false
	}
	claimed := make(map[ident.EndpointID]bool)
	for _, f := range d.queue.order() {
		w := f.requests[0]
		p, ok := d.choosePair(w, now, claimed)
		if ok {
			d.grant(w, p, now)
			return true
		}
		if e := d.roomiest(w.request, now, claimed); e != nil && !e.fits(e.piecesFor(w.request.cost())) {
			claimed[e.Name] = true
		}
	}
	return false
}

// anyRoom reports whether any pair of engines could take any request.
func (d *Dispatcher) anyRoom(now time.Time) bool {
	return anyEngine(d.decodes, func(e *engineState) bool { return e.usable(now) && e.fits(1) }) &&
		anyEngine(d.prefills, func(e *engineState) bool { return d.prefillOpen(e, now) && e.fits(1) })
}

// prefillOpen reports whether a prefill engine may get work now.
func (d *Dispatcher) prefillOpen(e *engineState, now time.Time) bool {
	return e.usable(now) && e.prefills.wait(now) <= d.tuning.PrefillWindow
}

// anyEngine reports whether f holds for any engine of the list.
func anyEngine(list []*engineState, f func(*engineState) bool) bool {
	for _, e := range list {
		if f(e) {
			return true
		}
	}
	return false
}

// grant reserves the pair for the request and answers it.
func (d *Dispatcher) grant(w *waiting, p pair, now time.Time) {
	r := w.request
	l := &lease{
		held: Held{
			Lease: r.LeaseID(), Holder: w.holder, Organisation: r.Organisation,
			Prefill: p.prefill.Name, Decode: p.decode.Name,
			PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens,
			Phase: Prefilling, Deadline: r.Deadline,
		},
		prefill:       p.prefill,
		decode:        p.decode,
		decodePieces:  p.decode.piecesFor(r.cost()),
		prefillPieces: p.prefill.piecesFor(r.PromptTokens),
		prefillTokens: p.tokens,
		prefilling:    true,
		granted:       now,
		hashes:        r.PrefixHashes,
		firstToken:    p.firstToken,
		answer:        w.answer,
	}
	l.reserve()
	d.checkGrant(l)
	d.leases[l.held.Lease] = l
	p.prefill.prefills.ends = p.prefillEnds
	p.prefill.linkFree, p.decode.linkFree = p.transferEnds, p.transferEnds
	p.prefill.breaker.started(l.held.Lease)
	p.decode.breaker.started(l.held.Lease)
	d.queue.served(r)
	d.drain.placed(now, r.cost())
	d.counts.Granted++
	d.answer(w, Decision{Grant: d.grantOf(l)})
}

// grantOf returns the grant of a lease.
func (d *Dispatcher) grantOf(l *lease) *Grant {
	return &Grant{
		Lease: l.held.Lease, Domain: d.domain,
		Prefill: l.held.Prefill, Decode: l.held.Decode, FirstToken: l.firstToken,
	}
}
