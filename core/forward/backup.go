package forward

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// backup is the copy of a run's memory at another engine, at which the run can be continued.
type backup struct {
	first  *engines.Engine // The engine of the run.
	engine *engines.Engine // The engine with the copy.
	end    func()          // Removes the copy from the load of the engine.
}

// requestBackup chooses a backup engine for the run that is about to begin at an engine, and
// returns its address, or "" if the run gets no backup.
func (s *stream) requestBackup(first *engines.Engine) ident.Address {
	s.endBackup()
	e := s.chooseBackup(first)
	if e == nil {
		return ""
	}
	s.backup = &backup{first: first, engine: e, end: e.BeginRequest(s.reservationSize())}
	s.router.counters.backups.Inc(1)
	s.logFields = append(s.logFields, "backup", e.ID)
	return e.Address
}

// chooseBackup returns the backup engine for a run, or nil if backups are off, a backup is not
// justified or no engine has room.
func (s *stream) chooseBackup(first *engines.Engine) *engines.Engine {
	if !s.router.Backups || !s.service.Model.Backups || s.route.Kind != catalog.Stream || !s.mayTryAgain() {
		return nil
	}
	need := s.backupNeed(first)
	if !need.isJustified() {
		return nil
	}
	now := s.router.now()
	candidates := s.rank(func(e *engines.Engine) (float64, bool) {
		rank, ok := need.rank(e, now)
		if e.Domain != s.router.domain {
			rank -= remoteDomainPenalty // The run continues there only after a failure.
		}
		return rank, ok
	})
	if len(candidates) == 0 {
		return nil
	}
	return candidates[0]
}

// backupNeed returns what decides whether a run at an engine gets a backup.
func (s *stream) backupNeed(first *engines.Engine) backupNeed {
	now := s.router.now()
	return backupNeed{
		first:      first,
		model:      s.service.Model,
		size:       s.reservationSize(),
		expected:   s.latestEnd(now).Sub(now),
		mostUrgent: s.route.Priority <= mostUrgentPriority(s.router.Catalog(), s.service.Name),
		shortage:   s.router.shortages.estimate(s.service.Name, now),
	}
}

// mostUrgentPriority returns the priority of the most urgent route of a service.
func mostUrgentPriority(c *catalog.Catalog, service ident.ServiceID) int {
	lowest := math.MaxInt
	for i := range c.Routes {
		for _, t := range c.Routes[i].Targets {
			if t.Service == service {
				lowest = min(lowest, c.Routes[i].Priority)
			}
		}
	}
	return lowest
}

// endBackup ends the use of the backup. Its engine frees the copy when the run has ended, or some
// time after the last part has arrived.
func (s *stream) endBackup() {
	if s.backup != nil {
		s.backup.end()
		s.backup = nil
	}
}

// continueRun continues a run whose call has ended with err where it was moved to or at its backup
// engine, as often as that is possible. It returns nil once the answer is complete, and otherwise
// the error of the last engine that ran the request.
func (s *stream) continueRun(ctx context.Context, err error) error {
	for {
		for s.moved != nil {
			err = s.continueMoved(ctx, err)
		}
		if !s.mayContinue(ctx, err) {
			return err
		}
		next := s.continueAtBackup(ctx, err)
		if next != nil && fault.From(next).Ran == fault.NotRun {
			return err
		}
		err = next
	}
}

// mayContinue reports whether a run that has failed with err may continue at its backup engine. Without
// an event that the caller has received, the engine would take the request for a new run. A part of
// the retry budget is kept for a permitted continuation until it is sent.
func (s *stream) mayContinue(ctx context.Context, err error) bool {
	if s.splitter.lastID == "" {
		return false
	}
	if err == nil || s.backup == nil || s.replacement != nil || ctx.Err() != nil || !s.mayTryAgain() {
		return false
	}
	if !s.isEventStream && !s.progress.firstDataAt.IsZero() || s.router.Quarantine.IsHeld(s.prompt()) {
		return false
	}
	return endsRun(fault.From(err)) && s.backup.engine.Accepts(s.router.now()) && s.holdExtraCall()
}

// endsRun reports whether an engine that has failed with f does not work on the run any more: it
// has closed the connection, or this instance has, and the engine learns of it. A connection that
// has timed out may be cut off from an engine that still runs the request.
func endsRun(f *fault.Error) bool {
	if f.Ran == fault.NotRun {
		return false
	}
	return f.Kind == fault.AnswerBroken || f.Kind == fault.EndpointFailed || errors.Is(f, errSilent)
}

// continueAtBackup sends the request to the engine with the backup, which continues the run after the
// last event that the caller has received. The engine admits it with the copy. It is the same run:
// it needs no permission to run again.
func (s *stream) continueAtBackup(ctx context.Context, cause error) error {
	b := s.backup
	s.backup = nil
	defer b.end()
	e := b.engine
	_ = level.Info(s.log).Log("msg", event.ContinuingAtBackup, "from", s.lastEngine, "engine", e.ID, "begun", s.headSent, "event", s.splitter.lastID, "err", cause)
	s.router.counters.continuedRuns.Inc(1)
	err := s.sendContinuation(ctx, e, Source{Address: e.Address, Handle: string(s.ID)})
	if err != nil && fault.From(err).Ran == fault.NotRun {
		s.router.counters.refusedRuns.Inc(1)
	}
	return err
}

// sendContinuation sends the request to an engine that continues its run with the memory at a
// source. The engine admits it with that memory, so that it needs no reservation. An earlier backup
// is kept until the engine takes the run.
func (s *stream) sendContinuation(ctx context.Context, e *engines.Engine, from Source) error {
	earlier := s.backup
	s.backup = nil
	defer func() {
		if earlier != nil && s.backup != earlier {
			earlier.end()
		}
	}()
	call := s.newCall(e)
	call.Source = from
	call.LastEventID = s.splitter.lastID
	s.beginCall(e)
	call.Backup = s.requestBackup(e)
	s.useExtraCall()
	err := s.send(ctx, e, call)
	if err != nil && fault.From(err).Ran == fault.NotRun {
		s.endBackup()
		s.backup = earlier
	}
	if err != nil {
		s.recordContinuationFailure(ctx, e, fault.From(err))
		return err
	}
	s.recordDecodeAnswer(e, prefilledPrompt{})
	return nil
}

// recordContinuationFailure records why an engine has not completed the answer of a run that it
// was to continue. One that has no copy is not at fault, and may be tried like any other engine.
func (s *stream) recordContinuationFailure(ctx context.Context, e *engines.Engine, f *fault.Error) {
	if f.Ran == fault.NotRun {
		delete(s.tried, e.ID)
		_ = level.Info(s.log).Log("msg", event.RunNotContinued, "engine", e.ID, "err", f)
	}
	if ctx.Err() != nil || f.Kind == fault.EndpointRefused || s.moved != nil {
		return
	}
	s.recordDecodeCrash(ctx, e, f)
	s.recordEngineOutcome(e, callResult{heardAt: s.heardAt, err: f})
}

// silenceTimeout returns how long an engine may complete no event of a run with a backup before
// the run is continued there. The copy is kept for as long again.
func (s *stream) silenceTimeout() time.Duration { return s.service.Model.CopyTime / 2 }
