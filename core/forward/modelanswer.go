package forward

import (
	"context"
	"strings"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
)

// send makes the call and forwards the answer: a stream of events as it arrives, any
// other answer when it is complete. A resumable stream that stalls, and an error answer that
// does not end, are cancelled as soon as another engine has granted a reservation.
func (s *stream) send(ctx context.Context, e *engines.Engine, call Call) error {
	s.heardAt, s.progress = s.router.now(), answerProgress{}
	s.decodeEngine, s.paceSample = e, paceSample{}
	buffered := callResult{}
	err := s.sendMonitored(ctx, e, call, Sink{
		OnHead: func(h Head) error {
			s.recordData(e)
			buffered.head = h
			s.isEventStream = strings.HasPrefix(h.Header.Get("Content-Type"), "text/event-stream") && h.Status < 300
			return s.checkHead(h)
		},
		OnData: func(data []byte) error {
			s.recordData(e)
			s.recordProgress(s.heardAt)
			if !s.isEventStream {
				buffered.body = append(buffered.body, data...)
				return nil
			}
			return s.sendEvents(buffered.head, s.splitter.feed(data))
		},
	})
	replaced := err != nil && s.replacement != nil
	if !replaced {
		s.discardReplacement()
	}
	switch {
	case s.isRetryableFailure(buffered.head):
		return s.keepFailedAnswer(buffered, err)
	case replaced:
		return fault.Wrap(errStreamStalled, fault.EndpointTimeout, "the call was replaced").WithRan(fault.From(err).Ran)
	case err != nil:
		return err
	case !s.isEventStream:
		return s.sendAnswer(buffered)
	}
	if s.splitter.isInsideEvent() {
		return fault.New(fault.AnswerBroken, "the stream ended inside an event")
	}
	if !s.headSent && len(s.splitter.partial) == 0 {
		buffered.head.Length = 0
		s.sendHead(buffered.head)
	}
	return s.sendEvents(buffered.head, s.splitter.partial)
}

// recordData records that the engine of the current call has sent something.
func (s *stream) recordData(e *engines.Engine) {
	s.heardAt = s.router.now()
	e.RecordAnswer(s.heardAt)
}

// isRetryableFailure reports whether an answer is a server error and another engine may be
// tried.
func (s *stream) isRetryableFailure(h Head) bool {
	return h.Status >= 500 && !s.headSent && s.repeatable() && s.possibleRuns < s.route.MaxEngines
}

// keepFailedAnswer keeps an error answer for the case that no retry can be made, if it is
// complete (err is nil), and returns the error of the attempt.
func (s *stream) keepFailedAnswer(answer callResult, err error) error {
	s.endBackup() // The run has ended.
	failed := serverError(answer.head.Status)
	if err != nil {
		return fault.Wrap(err, failed.Kind, "%s", failed.Message)
	}
	s.failedAnswer = &answer
	return failed
}

// checkHead rejects an answer other than events after events have been sent to the caller.
func (s *stream) checkHead(h Head) error {
	if s.headSent && !s.isEventStream {
		return fault.New(fault.AnswerBroken, "the stream can't be resumed: the engine answered with status %d and no events", h.Status)
	}
	return nil
}

// sendEvents sends complete events to the caller, and the head before the first ones.
func (s *stream) sendEvents(h Head, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	s.endLocalPrefill()
	defer s.recordEvents(events)()
	if !s.headSent {
		h.Length = -1
		s.sendHead(h)
	}
	return s.answer.Write(events)
}
