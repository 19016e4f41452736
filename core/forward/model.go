package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

const (
	// maxStreamAttempts limits the attempts of one request at decode engines.
	maxStreamAttempts = 4
	// failedAnswerTime is how long the rest of an engine's error answer may take before another
	// engine is looked for.
	failedAnswerTime = 100 * time.Millisecond
)

// stream is a request to a model service, whose answer is forwarded as it arrives.
type stream struct {
	*job
	splitter      eventSplitter
	isEventStream bool // The answer is a stream of server-sent events.
	progress      answerProgress
	clearedAt     time.Time   // When an answer last showed that the prompt does not crash engines.
	suspect       bool        // An engine has crashed under the request, and its prompt may be the cause.
	trial         bool        // The request tries whether a part of its prompt still crashes engines.
	heardAt       time.Time   // When the last data of the current call arrived; when it was sent if none did.
	attempts      int         // Number of attempts, with the current one.
	possibleRuns  int         // Number of engines that may have run the request.
	failedAnswer  *callResult // The last complete error answer of an engine after which a retry was tried; otherwise nil.

	decodeEngine *engines.Engine // The engine of the current call.
	paceSample   paceSample      // Of the current call.

	prefilled      bool               // A prefill engine has prefilled the prompt in this or an earlier attempt.
	replacement    *decodeReservation // The reservation with which a stalled stream is resumed; otherwise nil.
	stalledAt      ident.EndpointID   // The engine whose call was cancelled for a replacement that has not run; otherwise empty.
	holdsExtraCall bool               // A part of the retry budget is kept for the next call to a decode engine.
	localPrefill   *localPrefill      // The prefill by the decode engine, while it lasts; otherwise nil.
	backup         *backup            // The backup of the current run; nil if there is none.
	moved          *movedRun          // The run, while it is stopped for a move; otherwise nil.
}

// serveModel serves the request by the engines of a model service, with retries. If an engine
// has failed with an answer and no other engine has answered, the caller gets that answer.
func (j *job) serveModel(ctx context.Context) error {
	s := &stream{job: j}
	s.splitter.lastID = j.LastEventID
	defer s.discardReplacement()
	defer s.returnExtraCall()
	defer s.endBackup()
	defer s.discardMove()
	err := s.checkQuarantine(ctx)
	if err == nil {
		err = s.serve(ctx)
	}
	if err == nil || s.failedAnswer == nil || s.headSent || fault.Is(err, fault.CallerGone) {
		return err
	}
	return s.sendAnswer(*s.failedAnswer)
}

// serve makes attempts until one succeeds or no other is allowed.
func (s *stream) serve(ctx context.Context) error {
	for s.attempts = 1; ; s.attempts++ {
		err := s.continueRun(ctx, s.attempt(ctx))
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return s.interruptedStreamError(ctx, s.possibleRuns)
		}
		if s.replacement == nil && (s.attempts >= maxStreamAttempts || !s.mayRetry(err)) {
			return s.finalError(err)
		}
		_ = level.Info(s.log).Log("msg", event.RetryingAtAnotherEngine, "try", s.attempts, "begun", s.headSent, "event", s.splitter.lastID, "err", err)
	}
}

// finalError returns the error of a stream whose last attempt has failed. The request may
// have run in an earlier attempt.
func (s *stream) finalError(err error) error {
	if s.possibleRuns == 0 {
		return err
	}
	return fault.From(err).WithRan(fault.MayHaveRun)
}

// interruptedStreamError returns the error of a stream whose caller left or whose
// deadline passed, given the number of engines that may have run the request.
func (j *job) interruptedStreamError(ctx context.Context, possibleRuns int) error {
	ran := fault.MayHaveRun
	if possibleRuns == 0 {
		ran = fault.NotRun
	}
	f := fault.From(context.Cause(ctx)).WithRan(ran)
	if ran == fault.NotRun && f.Kind == fault.DeadlineExceeded {
		return fault.Wrap(f, fault.Overloaded, "no decode engine had free memory before the deadline").WithRetryAfter(j.router.now().Add(refusedRetryAfter))
	}
	return f
}

// mayRetry reports whether the request may be sent to another engine after an error. A part
// of the retry budget is kept for a permitted retry until it is sent.
func (s *stream) mayRetry(err error) bool {
	f := fault.From(err)
	if f.Kind == fault.Overloaded || f.Kind == fault.NoEndpoint || f.Kind == fault.CallerGone || f.Kind == fault.PromptHeld || !s.mayTryAgain() {
		return false
	}
	if f.Ran == fault.NotRun && s.stalledAt != "" {
		return s.returnToStalled()
	}
	if f.Ran != fault.NotRun && (!s.repeatable() || s.possibleRuns >= s.route.MaxEngines) {
		return false
	}
	if s.headSent && !s.isEventStream {
		return false
	}
	return s.callCount == 0 || s.holdExtraCall()
}

// attempt makes one attempt: it reserves memory at a decode engine, has the prompt
// prefilled, and then has the answer decoded.
func (s *stream) attempt(ctx context.Context) error {
	started := s.router.now()
	reserved, ok := s.useReplacement()
	if !ok {
		var err error
		if reserved, err = s.reserve(ctx); err != nil {
			return err
		}
	}
	defer s.endReservation(&reserved)
	s.logStage("room", reserved.engine, started)
	if err := s.checkQuarantine(ctx); err != nil {
		return err
	}
	prompt, err := s.prefill(ctx, reserved.engine)
	if err != nil {
		return err
	}
	return s.decode(ctx, &reserved, prompt)
}

// decode sends the request to the reserved decode engine and forwards its stream. Without
// a prefilled prompt the decode engine does the prefill itself.
func (s *stream) decode(ctx context.Context, reserved *decodeReservation, p prefilledPrompt) error {
	e := reserved.engine
	if !e.Accepts(s.router.now()) {
		s.freePrompt(p)
		return fault.New(fault.EndpointRefused, "engine %s leaves or has asked for no calls", e.ID)
	}
	if err := s.checkQuarantine(ctx); err != nil {
		s.freePrompt(p)
		return err
	}
	call := s.newCall(e)
	call.Reservation = reserved.id
	call.Source = p.source
	call.LastEventID = s.splitter.lastID
	s.possibleRuns++
	s.beginCall(e)
	if p.source.Handle == "" {
		s.localPrefill = s.beginLocalPrefill(e)
		defer s.endLocalPrefill()
	}
	call.Backup = s.requestBackup(e)
	s.useExtraCall()
	err := s.send(ctx, e, call)
	reserved.sent = err == nil || fault.From(err).Ran != fault.NotRun
	if err == nil {
		s.recordDecodeAnswer(e, p)
		return nil
	}
	f := fault.From(err)
	if f.Ran == fault.NotRun {
		s.endBackup()
		s.possibleRuns--
		s.freePrompt(p)
	} else {
		s.stalledAt = "" // The replacement may have run.
	}
	if ctx.Err() == nil && s.moved == nil {
		s.recordDecodeCrash(ctx, e, f)
		s.recordDecodeOutcome(e, p, f)
	}
	return err
}

// beginCall records that a call to a decode engine is about to be made.
func (s *stream) beginCall(e *engines.Engine) {
	s.callCount++
	s.lastEngine = e.ID
	s.tried[e.ID] = true
	s.splitter.partial = nil
}

// recordDecodeAnswer records a complete answer in the statistics of its engine and of its
// service. A server error is a failure of the engine also if it is forwarded to the caller.
func (s *stream) recordDecodeAnswer(e *engines.Engine, p prefilledPrompt) {
	if s.status >= http.StatusInternalServerError {
		s.recordDecodeOutcome(e, p, serverError(s.status))
		return
	}
	now := s.router.now()
	e.RecordSuccess(now)
	if s.status < http.StatusMultipleChoices {
		s.recordSoundAnswer(now)
		s.recordOutput()
	}
	if p.source.Handle != "" {
		e.RecordFetch(true, now)
	}
	s.router.durations.record(s.service.Name, s.expectedOutput(), now.Sub(s.Received))
}

// serverError returns the error of an attempt that an engine has answered with a server
// error.
func serverError(status int) *fault.Error {
	return fault.New(fault.EndpointFailed, "the engine failed with status %d", status)
}

// recordDecodeOutcome records a failed stream in the statistics of its engine. An engine
// that has granted a reservation and still refuses the stream could not fetch the prompt.
func (s *stream) recordDecodeOutcome(e *engines.Engine, p prefilledPrompt, f *fault.Error) {
	if f.Kind == fault.EndpointRefused && p.source.Handle != "" {
		e.RecordFetch(false, s.router.now())
		return
	}
	s.recordEngineOutcome(e, callResult{heardAt: s.heardAt, err: f})
}

// freePrompt has the prefill engine free a prefilled prompt.
func (s *stream) freePrompt(p prefilledPrompt) {
	if p.source.Handle != "" {
		s.router.counters.unusedPrefills.Inc(int64(s.PromptTokens))
		s.router.Calls.ReleaseHandle(p.engine.Entry, p.source.Handle)
	}
}
