package forward

import (
	"errors"

	"github.com/go-kit/log/level"

	"monsoonfork/core/concurrency"
	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/ident"
)

// ErrEngineFull is wrapped by the error of a call that an engine has refused as it is at its limit.
var ErrEngineFull = errors.New("the engine is at its limit")

// takeEngine takes the next engine for a call, or nil if there is none. If no other call is open, it
// waits while the engines are at their limits, and records why the request can't be run in time.
func (p *plainCalls) takeEngine() (*engines.Engine, *concurrency.Slot) {
	var chosen *engines.Engine
	r := concurrency.Request{Service: p.service.Name, Priority: p.priority(), Deadline: p.deadline, Pick: func(admits func(ident.EndpointID) bool) (ident.EndpointID, bool) {
		if chosen = p.chooseAdmitted(admits); chosen == nil {
			return "", false
		}
		return chosen.ID, true
	}}
	if p.pending > 0 {
		slot := p.router.plainLimits.TryAcquire(r)
		return chosen, slot
	}
	began := p.router.now()
	slot, err := p.router.plainLimits.Acquire(p.ctx, r)
	p.router.counters.limitWait.UpdateSince(began)
	p.limitErr = err
	return chosen, slot
}

// chooseAdmitted returns the best engine that admits accepts. Engines that were full are tried again
// once all others were tried.
func (p *plainCalls) chooseAdmitted(admits func(ident.EndpointID) bool) *engines.Engine {
	if e := p.chooseUntried(admits); e != nil || len(p.full) == 0 || p.choosePlain() != nil {
		return e
	}
	for id := range p.full {
		delete(p.tried, id)
	}
	clear(p.full)
	return p.chooseUntried(admits)
}

// chooseUntried returns the best engine that was not tried yet and that admits accepts.
func (p *plainCalls) chooseUntried(admits func(ident.EndpointID) bool) *engines.Engine {
	var skipped []ident.EndpointID
	defer func() {
		for _, id := range skipped {
			delete(p.tried, id)
		}
	}()
	for {
		e := p.choosePlain()
		if e == nil || admits(e.ID) {
			return e
		}
		p.tried[e.ID] = true
		skipped = append(skipped, e.ID)
	}
}

// endSlot records the result of a call for the limit of its engine.
func (p *plainCalls) endSlot(s *concurrency.Slot, res callResult) {
	outcome := concurrency.Other
	switch {
	case errors.Is(res.err, ErrEngineFull):
		outcome = concurrency.Full
	case !res.failed():
		outcome = concurrency.Answered
	}
	if limit := s.End(outcome); limit > 0 {
		p.router.counters.limited.Inc(1)
		_ = level.Info(p.router.log).Log("msg", event.EngineLimited, "engine", s.Engine, "service", p.service.Name, "limit", limit)
	}
}

// notStartedError returns the error of a request without a call.
func (p *plainCalls) notStartedError() error {
	if p.limitErr != nil {
		return p.limitErr
	}
	return p.noEngineError(nil)
}
