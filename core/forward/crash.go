package forward

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/quarantine"
)

// beginningTime is how long after its first data an answer counts as beginning. A prompt that
// crashes its engine does so while the answer begins.
const beginningTime = 50 * time.Millisecond

const (
	// clearTime is how long after its first data an answer shows that its prompt does not crash
	// engines.
	clearTime = 4 * beginningTime
	// clearInterval is the time between two records of that for one answer.
	clearInterval = time.Second
)

// answerProgress is how far the answer of the current call to a decode engine has come.
type answerProgress struct {
	firstDataAt time.Time // When the first data arrived; zero if none has.
}

// recordData records that data of the answer has arrived.
func (p *answerProgress) recordData(now time.Time) {
	if p.firstDataAt.IsZero() {
		p.firstDataAt = now
	}
}

// isBeginning reports whether the answer has not begun, or only just.
func (p *answerProgress) isBeginning(now time.Time) bool {
	return p.firstDataAt.IsZero() || now.Sub(p.firstDataAt) < beginningTime
}

// dataMS returns the milliseconds since the first data, or -1 if there was none.
func (p *answerProgress) dataMS(now time.Time) int64 {
	if p.firstDataAt.IsZero() {
		return -1
	}
	return now.Sub(p.firstDataAt).Milliseconds()
}

// recordCrash records a crash of an engine under the request, if there was one: the engine has
// broken off the answer, which was beginning, and its run has ended.
func (s *stream) recordCrash(ctx context.Context, e *engines.Engine, f *fault.Error) {
	if s.mayHaveCrashed(e, f) {
		s.checkCrash(ctx, e, f, s.progress.dataMS(s.router.now()))
	}
}

// recordDecodeCrash is recordCrash for a decode engine. If the answer ends with its run, the check
// follows the end, so that the caller does not wait for it.
func (s *stream) recordDecodeCrash(ctx context.Context, e *engines.Engine, f *fault.Error) {
	if !s.endsWithRun() {
		s.recordCrash(ctx, e, f)
		return
	}
	if s.mayHaveCrashed(e, f) {
		dataMS := s.progress.dataMS(s.router.now())
		s.afterEnd = func() { s.checkCrash(context.WithoutCancel(ctx), e, f, dataMS) }
	}
}

// mayHaveCrashed reports whether the engine has broken off the answer, which was beginning. An
// engine that leaves may end at any time.
func (s *stream) mayHaveCrashed(e *engines.Engine, f *fault.Error) bool {
	broken := f.Kind == fault.AnswerBroken || f.Kind == fault.EndpointFailed
	return broken && f.Ran != fault.NotRun && len(s.Parts) > 0 && s.progress.isBeginning(s.router.now()) && e.Usable()
}

// endsWithRun reports whether an answer that has begun ends with the current run, if that fails.
func (s *stream) endsWithRun() bool {
	return s.headSent && s.backup == nil && (!s.repeatable() || s.possibleRuns >= s.route.MaxEngines || s.attempts >= maxStreamAttempts)
}

// checkCrash records a crash of an engine if its run has ended.
func (s *stream) checkCrash(ctx context.Context, e *engines.Engine, f *fault.Error, dataMS int64) {
	if !s.router.Calls.IsDown(ctx, e.Entry, s.router.now().Add(connectTimeout)) {
		return
	}
	s.suspect = s.router.Quarantine.RecordCrash(s.prompt(), quarantine.Run{Engine: e.ID, Started: e.Started})
	_ = level.Warn(s.log).Log("msg", event.EngineCrashed, "engine", e.ID, "data_ms", dataMS, "model", s.Model,
		"parts", quarantine.JoinParts(s.Parts), "suspect", s.suspect, "err", f)
}

// prompt returns the prompt of the request as the quarantine knows it.
func (s *stream) prompt() quarantine.Prompt {
	return quarantine.Prompt{Scope: quarantine.Scope{Service: s.service.Name, Model: s.Model}, Parts: s.Parts}
}

// recordProgress records that data of the answer has arrived. An engine that continues writing has
// not crashed under the prompt.
func (s *stream) recordProgress(now time.Time) {
	s.progress.recordData(now)
	if now.Sub(s.progress.firstDataAt) >= clearTime && now.Sub(s.clearedAt) >= clearInterval {
		s.recordSoundAnswer(now)
	}
}

// recordSoundAnswer records that an engine answers the prompt.
func (s *stream) recordSoundAnswer(now time.Time) {
	s.clearedAt = now
	s.router.Quarantine.RecordAnswer(s.prompt())
}

// checkQuarantine returns an error if the prompt of the request is held back from engines, or may
// have crashed one in an earlier attempt. It is to be called before each call to an engine, as
// parts of a prompt may be held while the request waits.
func (s *stream) checkQuarantine(ctx context.Context) error {
	if s.suspect {
		return errSuspect
	}
	if s.trial {
		return nil
	}
	d := s.router.Quarantine.Check(ctx, s.prompt())
	s.trial = d.Trial
	if !d.Held {
		return nil
	}
	now := s.router.now()
	return fault.New(fault.PromptHeld, "%d engines have crashed under prompts with part %s, the last %v ago", d.Hold.Crashes, d.Hold.Part, now.Sub(d.Hold.LastAt).Round(time.Millisecond)).
		WithRetryAfter(spreadRetry(d.Hold.Until))
}

// mayTryAgain reports whether the prompt allows another attempt.
func (s *stream) mayTryAgain() bool { return !s.suspect && !s.trial }

// errSuspect is the error of a request under which an engine has crashed.
var errSuspect = fault.New(fault.EndpointFailed, "an engine has crashed under the request, and its prompt may be the cause")
