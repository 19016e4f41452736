package request

import (
	"context"

	"github.com/go-kit/log/level"

	"monsoonfork/core/claims"
	"monsoonfork/core/contain"
	"monsoonfork/core/endpoint"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
)

// maxBufferedAnswer is the largest answer body, in bytes, of a call that is sent at
// most once.
const maxBufferedAnswer = 16 << 20

// bufferedAnswer holds an answer in memory until it is complete.
type bufferedAnswer struct {
	head endpoint.Head
	body []byte
}

// sink returns a sink that stores an answer in h.
func (h *bufferedAnswer) sink() endpoint.Sink {
	return endpoint.Sink{
		OnHead: func(head endpoint.Head) error { h.head = head; return nil },
		OnBody: func(fragment []byte) error {
			if len(h.body)+len(fragment) > maxBufferedAnswer {
				return fault.New(fault.AnswerBroken, "the answer is larger than %d bytes", maxBufferedAnswer)
			}
			h.body = append(h.body, fragment...)
			return nil
		},
	}
}

// writeTo writes the answer to a sink.
func (h *bufferedAnswer) writeTo(sink endpoint.Sink) error {
	if err := sink.OnHead(h.head); err != nil {
		return err
	}
	if len(h.body) == 0 || sink.OnBody == nil {
		return nil
	}
	return sink.OnBody(h.body)
}

// forwardAtMostOnce forwards a call on a route that is not idempotent. After any
// byte may have been sent, it never sends the call again. The call continues if the
// caller disconnects, so that its outcome is recorded for a repeated call with the
// same Idempotency-Key.
func (s *Session) forwardAtMostOnce(call ServiceCall, sink endpoint.Sink) error {
	ticket, err := s.claim(call)
	if err != nil {
		return err
	}
	if ticket.Replay != nil {
		return replayAnswer(ticket.Replay, sink)
	}
	if s.ctx.Err() != nil {
		ticket.Release()
		return fault.From(context.Cause(s.ctx)).WithRan(fault.NotRun)
	}
	answer := &bufferedAnswer{}
	result := make(chan error, 1)
	s.pipeline.wg.Add(1)
	go func() {
		defer s.pipeline.wg.Done()
		var err error
		if panicked := s.boundary().Run("call", func() { err = s.sendAtMostOnce(call, ticket, answer) }); panicked != nil {
			err = panicked
		}
		result <- err
	}()
	select {
	case err = <-result:
	case <-s.ctx.Done():
		// sendAtMostOnce is still running, so part of the call may have been sent.
		s.markSent()
		return fault.From(context.Cause(s.ctx)).WithRan(fault.MayHaveRun)
	}
	if err != nil {
		return err
	}
	return answer.writeTo(sink)
}

// boundary returns the boundary for panics in work on the request that its handler does not
// wait for.
func (s *Session) boundary() contain.Boundary {
	return contain.Boundary{Log: s.log, Panics: s.pipeline.counters.containedPanics}
}

// sendAtMostOnce sends the call and records its outcome in the ticket. It is bound
// by the request's deadline but not by the cancellation of the request.
func (s *Session) sendAtMostOnce(call ServiceCall, ticket *ClaimTicket, answer *bufferedAnswer) error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(s.ctx), s.Deadline)
	defer cancel()
	neverRetry := func(*fault.Error) bool { return false }
	ended := false
	defer func() {
		if !ended { // A panic: the outcome is unknown.
			ticket.Abandon()
		}
	}()
	err := s.tryEndpoints(ctx, call, answer.sink(), neverRetry)
	ended = true
	switch {
	case err == nil:
		ticket.Complete(claims.Answer{
			Status:      answer.head.Status,
			ContentType: answer.head.Header.Get("Content-Type"),
			Body:        answer.body,
		})
	case fault.From(err).Ran == fault.NotRun:
		ticket.Release()
	default:
		ticket.Abandon()
		_ = level.Warn(s.log).Log("msg", event.OutcomeUnknown, "err", err)
	}
	return err
}

// replayAnswer writes the recorded answer of an earlier run of the call to the sink.
func replayAnswer(a *claims.Answer, sink endpoint.Sink) error {
	h := &bufferedAnswer{head: endpoint.Head{Status: a.Status, Header: map[string][]string{}}, body: a.Body}
	if a.ContentType != "" {
		h.head.Header.Set("Content-Type", a.ContentType)
	}
	h.head.Header.Set("Idempotent-Replayed", "true")
	return h.writeTo(sink)
}
