package forward

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
)

const (
	// maxModelTries bounds the tries of one request at decode engines.
	maxModelTries = 4
	// stallLimit is the silence after which a stream that may be resumed goes on
	// at another engine.
	stallLimit = 900 * time.Millisecond
)

// stream is the answer of a model that is being passed on.
type stream struct {
	*job
	split  splitter
	events bool // The answer is a series of events.
	runs   int  // Engines that may have run it.

	reading *localRead // While the decode engine reads the prompt.
}

// model sends the request to the engines of a model service.
func (j *job) model(ctx context.Context) error {
	s := &stream{job: j}
	s.split.lastID = j.LastEvent
	for try := 1; ; try++ {
		err := s.attempt(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return j.interruptedStream(ctx, s.runs)
		}
		if try >= maxModelTries || !s.mayGoOn(err) {
			return err
		}
		_ = level.Info(j.log).Log("msg", event.AnotherEngine, "try", try, "begun", j.begun, "event", s.split.lastID, "err", err)
	}
}

// interruptedStream is interrupted for a stream of which engines may have run.
func (j *job) interruptedStream(ctx context.Context, runs int) error {
	ran := fault.MayHaveRun
	if runs == 0 {
		ran = fault.NotRun
	}
	f := fault.From(context.Cause(ctx)).WithRan(ran)
	if ran == fault.NotRun && f.Kind == fault.DeadlineExceeded {
		return fault.Wrap(f, fault.Overloaded, "no engine had room in time").WithRetryAfter(j.router.now().Add(refusedRetry))
	}
	return f
}

// mayGoOn reports whether another engine may be tried after an error.
func (s *stream) mayGoOn(err error) bool {
	f := fault.From(err)
	if f.Kind == fault.Overloaded || f.Kind == fault.CallerGone {
		return false
	}
	if f.Ran != fault.NotRun && (!s.repeatable() || s.runs >= s.route.Attempts) {
		return false
	}
	if s.begun && !s.events {
		return false
	}
	return s.calls == 0 || s.router.mayRepeat(s.service.Name)
}

// attempt makes one try: room first, then the prompt, then the stream.
func (s *stream) attempt(ctx context.Context) error {
	started := s.router.now()
	place, err := s.reserve(ctx)
	if err != nil {
		return err
	}
	defer place.end()
	s.passed("room", place.engine, started)
	prompt, err := s.prefill(ctx, place.engine)
	if err != nil {
		s.router.Calls.Release(place.engine.Entry, place.reservation)
		return err
	}
	return s.decode(ctx, place, prompt)
}

// decode has the stream made and passes it on.
func (s *stream) decode(ctx context.Context, place room, p prompt) error {
	e := place.engine
	if !e.Usable() {
		s.router.Calls.Release(e.Entry, place.reservation)
		s.free(p)
		return fault.New(fault.EndpointRefused, "engine %s is leaving", e.ID)
	}
	call := s.call(e)
	call.Reservation = place.reservation
	call.Source = p.source
	call.LastEvent = s.split.lastID
	s.calls++
	s.runs++
	s.last = e.ID
	s.split.rest = nil
	if p.source.Handle == "" {
		s.reading = s.beginLocal(e)
		defer s.endLocal()
	}
	err := s.send(ctx, call)
	if err == nil {
		now := s.router.now()
		e.Succeeded(now)
		if p.source.Handle != "" {
			e.Fetched(true, now)
		}
		s.router.pace.saw(s.service.Name, s.likelyOutput(), now.Sub(s.Received))
		return nil
	}
	f := fault.From(err)
	if f.Ran == fault.NotRun {
		s.runs--
		s.free(p)
	}
	if ctx.Err() == nil {
		s.judgeDecode(e, p, f)
		s.tried[e.ID] = true
	}
	return err
}

// judgeDecode notes what a failed stream says about its engine. One that had kept room
// and refuses the stream all the same could not fetch the prompt.
func (s *stream) judgeDecode(e *engines.Engine, p prompt, f *fault.Error) {
	if f.Kind == fault.EndpointRefused && p.source.Handle != "" {
		e.Fetched(false, s.router.now())
		return
	}
	s.judge(e, result{err: f})
}

// free gives a prefilled prompt back.
func (s *stream) free(p prompt) {
	if p.source.Handle != "" {
		s.router.Calls.Free(p.engine.Entry, p.source.Handle)
	}
}

// send makes the call. A stream that may be resumed is given up when it falls
// silent.
func (s *stream) send(ctx context.Context, call Call) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := s.watch(cancel)
	defer stall.Stop()
	held := result{}
	err := s.router.Calls.Send(ctx, call, Sink{
		OnHead: func(h Head) error {
			held.head = h
			s.events = strings.HasPrefix(h.Header.Get("Content-Type"), "text/event-stream") && h.Status < 300
			return s.checkHead(h)
		},
		OnPiece: func(piece []byte) error {
			stall.Reset(stallLimit)
			if !s.events {
				held.body = append(held.body, piece...)
				return nil
			}
			return s.pass(held.head, s.split.feed(piece))
		},
	})
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
			return fault.New(fault.EndpointTimeout, "the stream fell silent")
		}
		return err
	}
	if !s.events {
		return s.give(held)
	}
	if !s.begun && len(s.split.rest) == 0 {
		held.head.Length = 0
		s.begin(held.head)
	}
	return s.pass(held.head, s.split.rest)
}

// errStalled is the cause of a stream that was given up because it fell silent.
var errStalled = errors.New("the stream fell silent")

// watch cancels a stream that may be resumed when it falls silent.
func (s *stream) watch(cancel context.CancelCauseFunc) *time.Timer {
	if !s.route.Resumable || s.route.Attempts < 2 {
		return time.NewTimer(time.Until(s.deadline) + time.Second)
	}
	return time.AfterFunc(stallLimit+time.Duration(s.route.FirstAnswerMS)*time.Millisecond, func() { cancel(errStalled) })
}

// checkHead refuses the answer of an engine that failed while another one may
// do better, and anything but events once events were passed on.
func (s *stream) checkHead(h Head) error {
	if s.begun && !s.events {
		return fault.New(fault.AnswerBroken, "the stream does not go on: status %d", h.Status)
	}
	if h.Status >= 500 && s.repeatable() && s.runs < s.route.Attempts {
		return fault.New(fault.EndpointFailed, "the engine failed with status %d", h.Status)
	}
	return nil
}

// pass gives whole events to the caller.
func (s *stream) pass(h Head, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	s.endLocal()
	if !s.begun {
		h.Length = -1
		s.begin(h)
	}
	return s.answer.Write(events)
}
