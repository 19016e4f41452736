package placement

import (
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Tuning holds the placement parameters.
type Tuning struct {
	MaxPrefillWait   time.Duration // Prefill engines with a longer predicted wait get no new requests.
	FirstTokenMargin time.Duration // Safety margin before the first-token deadline.
	InterTokenTime   time.Duration // Expected time between two output tokens.
	RedirectAfter    time.Duration // Time in the queue after which a request may be redirected to another domain.
	EarlyFactor      float64       // Predicted wait over slack above which an organisation above its fair share is refused on arrival; 0 disables this.
	Headroom         int           // Free decode slots that organisations above their fair share may not use.
	ReservedFraction float64       // Fraction of the decode slots that is reserved for urgent requests.
	UrgentSlack      time.Duration // Slack up to which a request is urgent.
	Prefixes         bool          // Whether predictions take cached prefixes into account.
}

// DefaultTuning returns the default parameters.
func DefaultTuning() Tuning {
	return Tuning{
		MaxPrefillWait:   20 * time.Millisecond,
		FirstTokenMargin: 10 * time.Millisecond,
		InterTokenTime:   33 * time.Millisecond,
		RedirectAfter:    20 * time.Millisecond,
		EarlyFactor:      2,
		Headroom:         0,
		ReservedFraction: 0.025,
		UrgentSlack:      120 * time.Millisecond,
		Prefixes:         true,
	}
}

// maxTickInterval is the longest time between two ticks.
const maxTickInterval = time.Second

// auditInterval is the shortest time between two audits of the reservations.
const auditInterval = time.Second

// minRetryAfter is the shortest time after which a refused caller is asked to retry.
const minRetryAfter = time.Second

// Tick places the requests that fit, refuses those that have expired, and returns
// the time of the next call.
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

// nextTick returns the earliest time at which the state changes without a call: a
// transfer ends, a request expires or may be redirected, or an engine can take
// requests again.
func (d *Dispatcher) nextTick(now time.Time) time.Time {
	next := now.Add(maxTickInterval)
	earlier := func(at time.Time) {
		if at.After(now) && at.Before(next) {
			next = at
		}
	}
	for _, l := range d.transfers {
		earlier(l.transferDoneAt)
	}
	if d.queue.length == 0 {
		return next
	}
	earlier(d.nextExpiry.Add(time.Microsecond))
	for _, e := range d.prefillEngines {
		earlier(e.prefills.doneAt.Add(-d.tuning.MaxPrefillWait))
	}
	for _, e := range d.engines {
		earlier(e.breaker.openUntil)
	}
	for _, w := range d.waiting {
		earlier(w.arrived.Add(d.tuning.RedirectAfter))
		earlier(w.expires.Add(-d.tuning.UrgentSlack))
	}
	return next
}

// admit sets the expiry time and the first-token target of a request. It returns
// an error if the queue is full or the request cannot be served in time. A request
// whose predicted wait is too long is refused only if its organisation is above its
// fair share.
func (d *Dispatcher) admit(w *queuedRequest, now time.Time) error {
	if len(d.waiting) >= maxWaiting {
		return d.overloadedError(w, now, "the queue is full")
	}
	service, ok := d.idleServiceTime(w.request)
	if !ok {
		w.expires = d.expiryWithoutEngines(w, now)
		w.firstTokenTarget = w.request.Deadline
		if w.request.Forwarded {
			return fault.New(fault.NoEndpoint, "no engine serves %s in %s", w.request.Model, d.domain).
				WithRetryAfter(now.Add(minRetryAfter))
		}
		return nil
	}
	w.expires = d.expiry(w, service)
	w.firstTokenTarget = w.expires.Add(service + d.tuning.FirstTokenMargin)
	if now.After(w.expires) {
		return d.overloadedError(w, now, "the deadline cannot be met")
	}
	if d.recovering || d.tuning.EarlyFactor <= 0 {
		return nil
	}
	wait := d.predictedWait(w.request, now)
	if d.exceedsSlack(wait, w.expires.Sub(now)) && d.aboveFairShare(w.request.Organisation) {
		return d.overloadedError(w, now, "the organisation's queue is too long").WithRetryAfter(now.Add(max(wait, minRetryAfter)))
	}
	return nil
}

// exceedsSlack reports whether the predicted wait is longer than the slack times
// EarlyFactor.
func (d *Dispatcher) exceedsSlack(wait, slack time.Duration) bool {
	return wait.Seconds() > slack.Seconds()*d.tuning.EarlyFactor
}

// expiryWithoutEngines returns the time until which a request waits if no pair of
// engines could take it: the first-token deadline, or the overall one if that has
// passed or is not set.
func (d *Dispatcher) expiryWithoutEngines(w *queuedRequest, now time.Time) time.Time {
	if w.request.FirstTokenDeadline.After(now) {
		return w.request.FirstTokenDeadline
	}
	return w.request.Deadline
}

// expiry returns the latest time at which a placement still meets the first-token
// deadline. If even idle engines would miss it, the request may wait until the
// first-token deadline itself.
func (d *Dispatcher) expiry(w *queuedRequest, service time.Duration) time.Time {
	target := w.request.FirstTokenDeadline
	if target.IsZero() {
		return w.request.Deadline.Add(-service)
	}
	last := target.Add(-service - d.tuning.FirstTokenMargin)
	if last.Before(w.arrived) && target.After(w.arrived) {
		last = target
	}
	if last.After(w.request.Deadline) {
		last = w.request.Deadline
	}
	return last
}

// overloadedError returns the error for a refused request, with the predicted wait
// as the time to retry after.
func (d *Dispatcher) overloadedError(w *queuedRequest, now time.Time, reason string) *fault.Error {
	wait := max(d.predictedWait(w.request, now), minRetryAfter)
	return fault.New(fault.Overloaded, "%s for %s in %s", reason, w.request.Model, d.domain).
		WithRetryAfter(now.Add(wait))
}

// schedule ends transfers, refuses expired requests, places the requests that fit,
// beginning with the organisation that has had the least service, and redirects
// others.
func (d *Dispatcher) schedule(now time.Time) {
	d.endTransfers(now)
	d.expire(now)
	if d.recovering || d.closeErr != nil {
		return
	}
	for d.placeOne(now) {
	}
	d.redirectWaiting(now)
}

// endTransfers releases the prefill memory of leases whose transfer is predicted to
// be done.
func (d *Dispatcher) endTransfers(now time.Time) {
	kept := d.transfers[:0]
	for _, l := range d.transfers {
		if now.Before(l.transferDoneAt) {
			kept = append(kept, l)
			continue
		}
		l.endTransfer()
	}
	clear(d.transfers[len(kept):])
	d.transfers = kept
}

// expire refuses the requests that have expired, and recomputes nextExpiry.
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
		d.resolve(w, Decision{Err: d.overloadedError(w, now, "no engine was free in time")})
	}
}

// placeOne places at most one request, and reports whether it did. A request for
// which no decode engine has enough free memory claims the one with the most free
// memory: requests behind it may not use that engine in this round. This prevents
// small requests from starving a large one.
func (d *Dispatcher) placeOne(now time.Time) bool {
	if d.queue.length == 0 || !d.hasCapacity(now) {
		return false
	}
	claimed := make(map[ident.EndpointID]bool)
	for _, f := range d.queue.flowsByVirtualTime() {
		w := f.requests[0]
		p, ok := d.choosePair(w, now, claimed)
		if ok {
			d.grant(w, p, now)
			return true
		}
		if e := d.engineWithMostFreeMemory(w.request, now, claimed); e != nil && !e.fits(e.piecesFor(w.request.cost())) {
			claimed[e.Name] = true
		}
	}
	return false
}

// hasCapacity reports whether any pair of engines could take the smallest request
// now.
func (d *Dispatcher) hasCapacity(now time.Time) bool {
	return anyEngine(d.decodeEngines, func(e *engineState) bool { return e.usable(now) && e.fits(1) }) &&
		anyEngine(d.prefillEngines, func(e *engineState) bool { return d.prefillOpen(e, now) && e.fits(1) })
}

// prefillOpen reports whether a prefill engine may get a request now.
func (d *Dispatcher) prefillOpen(e *engineState, now time.Time) bool {
	return e.usable(now) && e.prefills.wait(now) <= d.tuning.MaxPrefillWait
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

// grant reserves the pair for the request and sends the grant.
func (d *Dispatcher) grant(w *queuedRequest, p enginePair, now time.Time) {
	r := w.request
	l := &lease{
		record: LeaseRecord{
			Lease: r.LeaseID(), Holder: w.holder, Organisation: r.Organisation,
			Prefill: p.prefill.Name, Decode: p.decode.Name,
			PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens,
			Phase: Prefilling, Deadline: r.Deadline,
		},
		prefill:       p.prefill,
		decode:        p.decode,
		decodePieces:  p.decode.piecesFor(r.cost()),
		prefillPieces: p.prefill.piecesFor(r.PromptTokens),
		prefillTokens: p.prefillTokens,
		prefilling:    true,
		grantedAt:     now,
		prefixHashes:  r.PrefixHashes,
		firstToken:    p.firstToken,
		answer:        w.answer,
	}
	l.reserve()
	d.checkGrant(l)
	d.leases[l.record.Lease] = l
	p.prefill.prefills.doneAt = p.prefillDoneAt
	p.prefill.linkFreeAt, p.decode.linkFreeAt = p.transferDoneAt, p.transferDoneAt
	p.prefill.breaker.started(l.record.Lease)
	p.decode.breaker.started(l.record.Lease)
	d.queue.charge(r)
	d.serviceRate.add(now, r.cost())
	d.counts.Granted++
	d.resolve(w, Decision{Grant: d.grantOf(l)})
}

// grantOf returns the grant that corresponds to a lease.
func (d *Dispatcher) grantOf(l *lease) *Grant {
	return &Grant{
		Lease: l.record.Lease, Domain: d.domain,
		Prefill: l.record.Prefill, Decode: l.record.Decode, FirstToken: l.firstToken,
	}
}
