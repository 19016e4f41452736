package request

import (
	"context"

	"github.com/go-kit/log/level"

	"monsoonfork/core/claims"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/io/httpcall"
)

// maxHeldAnswer bounds the answer of a call that may not be repeated, in bytes.
const maxHeldAnswer = 16 << 20

// heldAnswer is an answer that is kept until it is whole.
type heldAnswer struct {
	head httpcall.Head
	body []byte
}

// sink returns the sink that fills h.
func (h *heldAnswer) sink() httpcall.Sink {
	return httpcall.Sink{
		OnHead: func(head httpcall.Head) error { h.head = head; return nil },
		OnPiece: func(piece []byte) error {
			if len(h.body)+len(piece) > maxHeldAnswer {
				return fault.New(fault.AnswerBroken, "the answer is larger than %d bytes", maxHeldAnswer)
			}
			h.body = append(h.body, piece...)
			return nil
		},
	}
}

// give gives the whole answer to a sink.
func (h *heldAnswer) give(sink httpcall.Sink) error {
	if err := sink.OnHead(h.head); err != nil {
		return err
	}
	if len(h.body) == 0 || sink.OnPiece == nil {
		return nil
	}
	return sink.OnPiece(h.body)
}

// forwardOnce sends a call that may not be repeated. It is never sent again
// once a byte may have left. The call goes on when its caller leaves, so that
// what came of it is recorded for a repetition.
func (s *Session) forwardOnce(call PlainCall, sink httpcall.Sink) error {
	ticket, err := s.claim(call)
	if err != nil {
		return err
	}
	if ticket.Replay != nil {
		return replay(ticket.Replay, sink)
	}
	if s.ctx.Err() != nil {
		ticket.Release()
		return fault.From(context.Cause(s.ctx)).WithRan(fault.NotRun)
	}
	answer := &heldAnswer{}
	result := make(chan error, 1)
	s.path.wg.Add(1)
	go func() {
		defer s.path.wg.Done()
		result <- s.sendOnce(call, ticket, answer)
	}()
	select {
	case err = <-result:
	case <-s.ctx.Done():
		// The call is on its way: only sendOnce knows how far.
		s.markSent()
		return fault.From(context.Cause(s.ctx)).WithRan(fault.MayHaveRun)
	}
	if err != nil {
		return err
	}
	return answer.give(sink)
}

// sendOnce sends the call and records what came of it.
func (s *Session) sendOnce(call PlainCall, ticket *Ticket, answer *heldAnswer) error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(s.ctx), s.Deadline)
	defer cancel()
	never := func(*fault.Error) bool { return false }
	err := s.tryEndpoints(ctx, call, answer.sink(), never)
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

// replay answers with the answer of an earlier run.
func replay(a *claims.Answer, sink httpcall.Sink) error {
	h := &heldAnswer{head: httpcall.Head{Status: a.Status, Header: map[string][]string{}}, body: a.Body}
	if a.ContentType != "" {
		h.head.Header.Set("Content-Type", a.ContentType)
	}
	h.head.Header.Set("Idempotent-Replayed", "true")
	return h.give(sink)
}
