package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"monsoonfork/core/contain"
	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/sleep"
)

const (
	// maxReserveEngines is how many engines are asked for a reservation in one round.
	maxReserveEngines = 4
	// reservationTime is the validity of a reservation, unless the engines of a service grant
	// only shorter ones. It covers the prefill and its queueing delay.
	reservationTime = 1500 * time.Millisecond
	// reserveRefusalPause is how long an engine is not asked again after it has refused a
	// reservation.
	reserveRefusalPause = 150 * time.Millisecond
	// reserveInterval is the pause between two rounds.
	reserveInterval = 30 * time.Millisecond
	// reserveCallTimeout is how long a request waits for one call for a reservation.
	reserveCallTimeout = 250 * time.Millisecond
	// lateReservationTimeout is the timeout of the call itself. Engines without a fault may
	// pause for up to 2 s.
	lateReservationTimeout = 3 * time.Second
	// prefillTimeMargin is the factor by which the estimated prefill time is multiplied when
	// the latest useful time of a reservation is computed.
	prefillTimeMargin = 1.5
	// firstEventTime is the time allowed for the transfer of the prompt and the first event.
	firstEventTime = 80 * time.Millisecond
	// maxWaitShare is the largest fraction of the time until its deadline that a request
	// waits for a reservation.
	maxWaitShare = 0.4
	// maxWaitObjectives limits the wait for a reservation to a multiple of the route's time
	// objective. Callers give up some time after that, and must get the refusal before.
	maxWaitObjectives = 2
	// maxResumeWait limits the wait for a reservation of a request that has lost its place.
	// Callers give up two seconds after the last event at the earliest.
	maxResumeWait = time.Second
	// overloadedRetryAfter is the Retry-After of a request that got no reservation. Memory
	// is freed as streams end, which takes seconds.
	overloadedRetryAfter = time.Second
)

// decodeReservation is a reservation of memory for a stream at a decode engine.
type decodeReservation struct {
	engine *engines.Engine
	id     string // Assigned by the engine.
	end    func() // Removes the stream from the engine's load.
	sent   bool   // The engine may have run the stream, and then releases the reservation itself.
}

// endReservation ends the use of a reservation, and releases it if no stream has run with it.
func (j *job) endReservation(r *decodeReservation) {
	defer r.end()
	if !r.sent {
		j.router.Calls.ReleaseReservation(r.engine.Entry, r.id)
	}
}

// reserve waits for a reservation at a decode engine. It fails when the wait has become
// too long.
func (s *stream) reserve(ctx context.Context) (decodeReservation, error) {
	r := s.router
	r.outputEstimates.record(s.service.Name, s.possibleEstimate())
	started := r.now()
	defer func() { r.counters.reserveWait.UpdateSince(started) }()
	t := s.newTurn(started)
	defer t.end()
	reserved, err := s.awaitReservation(ctx, t)
	t.recordOutcome(err)
	return reserved, err
}

// awaitReservation asks the engines whenever it is the turn of the request.
func (s *stream) awaitReservation(ctx context.Context, t *turn) (decodeReservation, error) {
	r := s.router
	for {
		now := r.now()
		if end := s.decodePauseEnd(now); !end.Before(t.waitUntil) {
			return decodeReservation{}, fault.New(fault.Overloaded, "all decode engines have asked for no calls").WithRetryAfter(spreadRetry(end))
		}
		if err := s.checkExcluded(); err != nil {
			return decodeReservation{}, err
		}
		if err := t.checkDeadline(now); err != nil {
			return decodeReservation{}, err
		}
		if t.isOn(now) {
			reserved, ok := s.tryReserve(ctx)
			if ok {
				return reserved, nil
			}
			t.queue.recordRefusal(r.now())
		}
		if ctx.Err() != nil {
			return decodeReservation{}, fault.From(context.Cause(ctx)).WithRan(fault.NotRun)
		}
		now = r.now()
		if err := t.checkWait(now); err != nil {
			return decodeReservation{}, err
		}
		t.recordWait(now)
		sleep.For(ctx, reserveInterval+time.Duration(rand.Int64N(int64(reserveInterval/2))))
	}
}

// reservationCost returns the cost of the stream's reservation for the order of waiters.
func (j *job) reservationCost() float64 {
	return float64(j.reservationSize()) * float64(j.reservedOutput())
}

// reserveBy returns the time until which a reservation is early enough for a first event
// within the route's time objective. A request that has lost its place has no such objective
// left, and does not come after those that wait for their first place.
func (s *stream) reserveBy() time.Time {
	if s.lostPlace() {
		return s.waitDeadline()
	}
	objective := time.Duration(s.route.TargetLatencyMS) * time.Millisecond
	need := time.Duration(prefillTimeMargin*float64(s.prefillTime(s.PromptTokens, 1))) + firstEventTime
	return s.Received.Add(objective - need)
}

// lostPlace reports whether an earlier attempt had a reservation. The time that it took is not
// spent on waiting; and if the request may have run, it can't be refused any more.
func (s *stream) lostPlace() bool { return s.headSent || s.attempts > 1 }

// waitDeadline returns the time until which the request waits for a reservation. One that has
// lost its place may wait from now on.
func (s *stream) waitDeadline() time.Time {
	resumeBy := s.router.now().Add(maxResumeWait)
	if s.headSent {
		return resumeBy
	}
	wait := time.Duration(maxWaitShare * float64(s.deadline.Sub(s.Received)))
	if objective := time.Duration(s.route.TargetLatencyMS) * time.Millisecond; objective > 0 {
		wait = min(wait, maxWaitObjectives*objective)
	}
	refuseBy := s.Received.Add(wait)
	if s.lostPlace() && resumeBy.After(refuseBy) {
		return resumeBy
	}
	return refuseBy
}

// tryReserve asks the best decode engines for a reservation, one after another, until one
// grants it.
func (j *job) tryReserve(ctx context.Context) (decodeReservation, bool) {
	r := j.router
	size := j.reservationSize()
	list := j.decodeCandidates(size)
	if len(list) > maxReserveEngines {
		list = list[:maxReserveEngines]
	}
	for _, e := range list {
		now := r.now()
		if !e.Accepts(now) || e.AwaitsLateAnswer() {
			continue
		}
		reserved, err := j.reserveAt(ctx, e, size, now)
		if err == nil {
			r.shortages.record(j.service.Name, true, r.now())
			return reserved, true
		}
		if ctx.Err() != nil {
			return decodeReservation{}, false
		}
		if fault.Is(err, fault.EndpointRefused) {
			e.MarkFull(size, r.now().Add(reserveRefusalPause))
			continue
		}
		j.recordNoResponse(e, now, err)
	}
	r.shortages.record(j.service.Name, false, r.now())
	return decodeReservation{}, false
}

// reserveAt asks one engine for a reservation.
func (j *job) reserveAt(ctx context.Context, e *engines.Engine, size ident.Tokens, now time.Time) (decodeReservation, error) {
	end := e.BeginRequest(size)
	granted := false
	defer func() {
		if !granted {
			end()
		}
	}()
	e.BeginTrial(now)
	j.reserveCalls++
	id, err := j.callReserve(ctx, e, size)
	if err != nil {
		return decodeReservation{}, err
	}
	granted = true
	return decodeReservation{engine: e, id: id, end: end}, nil
}

// reserveResult is the result of a call for a reservation.
type reserveResult struct {
	id    string
	err   error
	panic *contain.Panic // The call has panicked.
}

// callReserve asks an engine for a reservation. The call continues after its timeout, since
// the engine may have made the reservation: if it answers then, the reservation is released.
func (j *job) callReserve(ctx context.Context, e *engines.Engine, size ident.Tokens) (string, error) {
	r := j.router
	now := r.now()
	callCtx, cancelCall := context.WithTimeout(context.WithoutCancel(ctx), lateReservationTimeout)
	result := make(chan reserveResult, 1)
	go func() {
		defer cancelCall()
		var res reserveResult
		res.panic = contain.Call(func() {
			res.id, res.err = r.Calls.Reserve(callCtx, e.Entry, size, now.Add(j.reservationTime()), now.Add(connectTimeout))
		})
		if res.panic == nil && res.err == nil || fault.Is(res.err, fault.EndpointRefused) {
			e.RecordAnswer(r.now())
		}
		result <- res
	}()
	timeout := time.NewTimer(reserveCallTimeout)
	defer timeout.Stop()
	var err error
	select {
	case res := <-result:
		if res.panic != nil {
			panic(res.panic)
		}
		return res.id, res.err
	case <-timeout.C:
		err = fault.New(fault.EndpointTimeout, "engine %s did not answer a reservation in time", e.ID)
	case <-ctx.Done():
		err = fault.From(context.Cause(ctx))
	}
	endLateCall := e.BeginLateCall()
	go func() {
		defer endLateCall()
		j.releaseLate(e, result)
	}()
	return "", err
}

// releaseLate waits for the result of a call for a reservation that is not needed any more,
// and releases the reservation.
func (j *job) releaseLate(e *engines.Engine, result <-chan reserveResult) {
	// The error is ignored: a panic is logged, and nothing waits for the release.
	_ = j.boundary().Run("late reservation", func() {
		switch res := <-result; {
		case res.panic != nil:
			panic(res.panic)
		case res.err == nil:
			j.router.Calls.ReleaseReservation(e.Entry, res.id)
		}
	})
}

// reservationTime returns the validity of the reservations that the request asks for.
func (j *job) reservationTime() time.Duration {
	longest := j.service.Model.MaxReservationMS
	if longest <= 0 || longest > float64(reservationTime.Milliseconds()) {
		return reservationTime
	}
	return time.Duration(longest * float64(time.Millisecond))
}

// reservationSize returns the memory, in tokens, to be reserved at a decode engine.
func (j *job) reservationSize() ident.Tokens { return j.PromptTokens + j.reservedOutput() }

// reservedOutput returns the part of the reservation for the answer: its expected length
// with the margin of the service, and at most the maximum.
func (j *job) reservedOutput() ident.Tokens {
	return min(j.MaxOutputTokens, j.expectedOutput()+j.router.outputEstimates.margin(j.service.Name))
}
