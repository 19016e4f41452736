package forward

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

const (
	// initialPrefillSpeed is the assumed prefill speed of a service before the first
	// measurement, in tokens per millisecond.
	initialPrefillSpeed = 20.0
	// minSpeedSample is the length of the shortest prompt, in tokens, whose prefill is used
	// to measure the speed.
	minSpeedSample = 1500
	// speedDecay is the factor by which the highest measured speed falls with each
	// measurement.
	speedDecay = 0.998
	// localSpeedRatio is the prefill speed of a decode engine relative to that of a prefill
	// engine.
	localSpeedRatio = 0.5
	// localPrefillPenalty is how many times shorter the estimate of a decode engine has to
	// be for it to do the prefill itself, as a prefill slows down the streams that it
	// decodes.
	localPrefillPenalty = 2.0
	// prefillTimeoutSlack and prefillTimeoutFactor set the timeout of a prefill: its
	// estimated time, multiplied by the factor, plus the slack.
	prefillTimeoutSlack  = 500 * time.Millisecond
	prefillTimeoutFactor = 2.0
	// maxPrefillFailureRate is the failure rate above which a prefill engine is not used,
	// since the decode engine can do the prefill instead.
	maxPrefillFailureRate = 0.3
	// maxPrefillAttempts limits the calls to prefill engines for one prompt.
	maxPrefillAttempts = 3
	// reservationMargin is the part of a reservation's validity that is not used for the prefill: the
	// stream has to reach the decode engine, and the reservation was granted a moment ago.
	reservationMargin = 150 * time.Millisecond
	// prefillRefusalPause is how long an engine is not called after it did not accept a
	// prefill: it is full, is changing its stage, or can't be reached.
	prefillRefusalPause = 500 * time.Millisecond
	// remoteDomainDelay is added to the estimate of a prefill engine in another failure
	// domain.
	remoteDomainDelay = 10 * time.Millisecond
	// coldDelay is added to the estimate of a cold prefill engine.
	coldDelay = 50 * time.Millisecond
	// prefillJitter limits a random addition to the estimates, so that the instances do not all
	// choose the first of several prefill engines with equal estimates.
	prefillJitter = 12 * time.Millisecond
)

// prefilledPrompt is a prefilled prompt and its prefill engine. The zero value means that
// the decode engine has to do the prefill.
type prefilledPrompt struct {
	engine *engines.Engine
	source Source
}

// prefillSpeeds holds the measured prefill speed of each service.
type prefillSpeeds struct {
	mu          sync.Mutex
	tokensPerMS map[ident.ServiceID]float64 // Tokens per millisecond.
}

// estimate returns the prefill speed of a service in tokens per millisecond.
func (p *prefillSpeeds) estimate(s ident.ServiceID) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.tokensPerMS[s]; v > 0 {
		return v
	}
	return initialPrefillSpeed
}

// record records the duration of a prefill.
func (p *prefillSpeeds) record(s ident.ServiceID, tokens ident.Tokens, duration time.Duration) {
	if tokens < minSpeedSample || duration <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tokensPerMS == nil {
		p.tokensPerMS = make(map[ident.ServiceID]float64)
	}
	p.tokensPerMS[s] = max(speedDecay*p.tokensPerMS[s], float64(tokens)/milliseconds(duration))
}

// milliseconds converts a duration to milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// prefillTime returns the time for the prefill of a number of tokens, at the given
// fraction of the speed of prefill engines.
func (j *job) prefillTime(tokens ident.Tokens, speedRatio float64) time.Duration {
	ms := float64(tokens) / (speedRatio * j.router.prefillSpeeds.estimate(j.service.Name))
	return time.Duration(ms * float64(time.Millisecond))
}

// estimatePrefill returns the expected time until an engine has prefilled the prompt, with
// the work that is already queued there.
func (s *stream) estimatePrefill(e *engines.Engine, speedRatio float64) time.Duration {
	now, own := s.router.now(), e.Load().Prefill
	t := e.QueueDelay(now) + s.prefillTime(own+s.PromptTokens, speedRatio)
	if e.Domain != s.router.domain {
		t += remoteDomainDelay
	}
	if s.router.isCold(e) {
		t += coldDelay
	}
	return t
}

// acceptsPrefill reports whether an engine may get the prompt.
func (s *stream) acceptsPrefill(e *engines.Engine, now time.Time) bool {
	return e.CurrentStage() == engines.Prefill && e.Accepts(now) && !e.IsChangingStage(now) && !e.IsSilent(now) &&
		e.FailureRate(now) <= maxPrefillFailureRate && e.HasCapacity(s.PromptTokens, now) && s.mayCall(e)
}

// spreadBySpeed returns a random multiple of an estimate. Of engines of different speeds, the one with
// the lowest result is then chosen with a probability that grows with the square of its speed. Without
// it all instances would choose the fastest engine.
func spreadBySpeed(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * math.Sqrt(rand.ExpFloat64()))
}

// choosePrefill returns the prefill engine that is expected to prefill the prompt first,
// and its estimated time. It returns nil if the decode engine is to do the prefill, also if the
// reservation there would end before the prefill.
func (s *stream) choosePrefill(decode *engines.Engine, reservedUntil time.Time) (*engines.Engine, time.Duration) {
	now := s.router.now()
	paces := s.newPrefillPaces(now)
	preferred := s.preferences(true)
	var best *engines.Engine
	var lowest, estimated time.Duration
	for _, e := range s.router.Engines(s.service.Name) {
		if !s.acceptsPrefill(e, now) {
			continue
		}
		t := s.estimatePrefill(e, paces.speedRatio(e))
		jittered := t + preferenceDelay(preferred, e) + rand.N(prefillJitter)
		if paces.differ {
			jittered = spreadBySpeed(jittered)
		}
		if best == nil || jittered < lowest {
			best, lowest, estimated = e, jittered, t
		}
	}
	if best == nil || now.Add(estimated).After(reservedUntil) || float64(estimated) > localPrefillPenalty*float64(s.estimatePrefill(decode, localSpeedRatio)) {
		return nil, 0
	}
	return best, estimated
}

// reservedUntil returns the time by which the prompt must be prefilled, so that the reservation that
// was just granted has not ended when the stream arrives at the decode engine. It is the deadline if
// the engines have no reservations, or none as long as a prefill without a queue.
func (s *stream) reservedUntil() time.Time {
	usable := s.reservationTime() - reservationMargin
	shortest := time.Duration(prefillTimeMargin * float64(s.prefillTime(s.PromptTokens, 1)))
	if s.service.Model.MaxReservationMS <= 0 || usable < shortest {
		return s.deadline
	}
	return s.router.now().Add(usable)
}

// prefill has the prompt prefilled. If a prefill engine does not accept the call, others
// are tried. It returns the zero value if the decode engine is to do the prefill. The first
// prefill that an engine accepts is not an extra call; all others are.
func (s *stream) prefill(ctx context.Context, decode *engines.Engine) (prefilledPrompt, error) {
	reservedUntil := s.reservedUntil()
	for range maxPrefillAttempts {
		if !s.acceptsDecode(decode, s.router.now()) {
			return prefilledPrompt{}, fault.New(fault.EndpointRefused, "engine %s leaves, changes its stage or has asked for no calls", decode.ID)
		}
		e, estimated := s.choosePrefill(decode, reservedUntil)
		if e == nil || s.prefilled && !s.router.takeExtraCall(s.service.Name) {
			break
		}
		started := s.router.now()
		handle, err := s.callPrefill(ctx, e, estimated, reservedUntil)
		if err == nil {
			s.prefilled = true
			s.logStage("read", e, started)
			return prefilledPrompt{e, Source{Address: e.Address, Handle: handle}}, nil
		}
		if ctx.Err() != nil {
			return prefilledPrompt{}, fault.From(context.Cause(ctx)).WithRan(fault.NotRun)
		}
		f := fault.From(err)
		_ = level.Info(s.log).Log("msg", event.PrefillFailed, "engine", e.ID, "estimate_ms", estimated.Milliseconds(), "ran", f.Ran, "err", err)
		if !s.prefilled && (f.Kind == fault.EndpointRefused || f.Ran != fault.NotRun) {
			s.router.chargeExtraCall(s.service.Name)
		}
		if f.Ran != fault.NotRun {
			break
		}
		e.MarkFull(0, s.router.now().Add(prefillRefusalPause))
	}
	s.router.counters.localPrefills.Inc(1)
	return prefilledPrompt{}, nil
}

// callPrefill has one engine prefill the prompt, and returns the handle of the result. A
// prefill does not count as a run of the request. It is cancelled when the reservation at the
// decode engine ends.
func (s *stream) callPrefill(ctx context.Context, e *engines.Engine, estimated time.Duration, reservedUntil time.Time) (string, error) {
	queued := e.Load().Prefill
	speedRatio := s.newPrefillPaces(s.router.now()).speedRatio(e)
	defer e.BeginPrefill(s.PromptTokens)()
	started := s.router.now()
	answerBy := started.Add(time.Duration(prefillTimeoutFactor*float64(estimated)) + prefillTimeoutSlack)
	reservationEnds := reservedUntil.Before(answerBy)
	if reservationEnds {
		answerBy = reservedUntil
	}
	callCtx, cancel := context.WithDeadline(ctx, answerBy)
	defer cancel()
	e.BeginTrial(started)
	handle, err := s.router.Calls.Prefill(callCtx, s.newCall(e))
	now := s.router.now()
	took := now.Sub(started)
	if err != nil {
		timedOut := callCtx.Err() != nil && ctx.Err() == nil
		if timedOut && (reservationEnds || e.RecordNoAnswer(started, now)) {
			return "", err
		}
		s.progress = answerProgress{}
		s.recordCrash(ctx, e, fault.From(err))
		s.recordEngineOutcome(e, callResult{heardAt: started, err: err})
		e.RecordQueueDelay(took, now)
		return "", err
	}
	s.router.prefillSpeeds.record(s.service.Name, s.PromptTokens, took)
	if s.PromptTokens >= minSpeedSample {
		e.RecordPrefillPace(milliseconds(took)*1000/float64(queued+s.PromptTokens), took, now)
	}
	e.RecordQueueDelay(max(0, took-s.prefillTime(queued+s.PromptTokens, speedRatio)), now)
	e.RecordSuccess(now)
	return handle, nil
}

// localPrefill is a prefill by a decode engine that is in progress.
type localPrefill struct {
	engine  *engines.Engine
	started time.Time
	queued  ident.Tokens // Prompt tokens of earlier prefills at the engine.
	end     func()       // Removes the prefill from the engine's load.
}

// beginLocalPrefill records that a decode engine begins to prefill the prompt.
func (s *stream) beginLocalPrefill(e *engines.Engine) *localPrefill {
	queued := e.Load().Prefill
	return &localPrefill{engine: e, started: s.router.now(), queued: queued, end: e.BeginPrefill(s.PromptTokens)}
}

// endLocalPrefill records that the decode engine has prefilled the prompt, or that the
// call to it has ended.
func (s *stream) endLocalPrefill() {
	l := s.localPrefill
	if l == nil {
		return
	}
	s.localPrefill = nil
	l.end()
	now := s.router.now()
	l.engine.RecordQueueDelay(max(0, now.Sub(l.started)-s.prefillTime(l.queued+s.PromptTokens, localSpeedRatio)), now)
}
