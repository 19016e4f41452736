package request

import (
	"context"
	"net/http"

	"github.com/go-kit/log/level"

	"monsoonfork/core/claims"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/text"
	"monsoonfork/io/httpcall"
	"monsoonfork/io/service"
)

// PlainCall is a request to a plain service, without the caller's key.
type PlainCall struct {
	Method         string
	Target         string // Path and query.
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}

// Forward sends a call to an endpoint of the plain service and gives its answer
// to the sink. If the sink got the head and an error is returned, the answer is
// broken. A call on a route that is not idempotent is sent at most once.
func (s *Session) Forward(call PlainCall, sink httpcall.Sink) error {
	s.path.retries.earn()
	cost := s.Route.CostTokens
	settle, err := s.admit(cost)
	if err != nil {
		return s.failure(err)
	}
	if s.Route.Idempotent {
		err = s.forwardIdempotent(call, sink)
	} else {
		err = s.forwardOnce(call, sink)
	}
	if !s.sent.Load() {
		cost = 0
	}
	settle(cost)
	if err != nil {
		return s.failure(err)
	}
	return nil
}

// forwardIdempotent tries endpoints until one has answered. An answer streams
// through as it comes.
func (s *Session) forwardIdempotent(call PlainCall, sink httpcall.Sink) error {
	begun := false
	passing := httpcall.Sink{
		OnHead:  func(h httpcall.Head) error { begun = true; return sink.OnHead(h) },
		OnPiece: sink.OnPiece,
	}
	return s.tryEndpoints(s.ctx, call, passing, func(err *fault.Error) bool {
		return !begun && endpointFault(err) && s.path.retries.spend()
	})
}

// tryEndpoints calls one endpoint after another. An endpoint that got nothing
// of the call is always followed by the next one; after any other failure again
// decides.
func (s *Session) tryEndpoints(ctx context.Context, call PlainCall, sink httpcall.Sink, again func(*fault.Error) bool) error {
	list := s.path.chooser.candidates(s.Service, s.path.domain, s.path.now())
	if len(list) > maxAttempts {
		list = list[:maxAttempts]
	}
	var last *fault.Error
	for i, e := range list {
		err := s.sendTo(ctx, e, call, sink)
		if err == nil {
			return nil
		}
		last = fault.From(err)
		if endpointFault(last) {
			s.path.chooser.noteFailure(e.Name, s.path.now())
		}
		if ctx.Err() != nil || !endpointFault(last) || i == len(list)-1 {
			break
		}
		if last.Ran != fault.NotRun && !again(last) {
			break
		}
		s.path.counters.retried.Inc(1)
		_ = level.Info(s.log).Log("msg", event.EndpointFailed, "endpoint", string(e.Name), "ran", last.Ran, "err", last)
	}
	if last == nil {
		return fault.New(fault.NoEndpoint, "service %s has no endpoint in use", s.Service.Name).WithRetryAfter(s.path.now().Add(avoidTime))
	}
	if last.Ran == fault.NotRun && endpointFault(last) {
		return fault.Wrap(last, fault.NoEndpoint, "no endpoint of service %s takes connections", s.Service.Name).WithRetryAfter(s.path.now().Add(avoidTime))
	}
	return last
}

// sendTo calls one endpoint.
func (s *Session) sendTo(ctx context.Context, e text.Endpoint, call PlainCall, sink httpcall.Sink) error {
	err := s.path.Send(ctx, e.Address, service.Call{
		Method:   call.Method,
		Target:   call.Target,
		Header:   call.Header,
		Body:     call.Body,
		Request:  s.ID,
		Deadline: s.Deadline,
		SendBy:   s.Deadline,
	}, sink)
	if err == nil || fault.From(err).Ran != fault.NotRun {
		s.markSent()
	}
	return err
}

// endpointFault reports whether an error is the endpoint's.
func endpointFault(err *fault.Error) bool {
	switch err.Kind {
	case fault.EndpointFailed, fault.EndpointTimeout, fault.AnswerBroken:
		return true
	default:
		return false
	}
}

// claim claims the call if it carries an Idempotency-Key.
func (s *Session) claim(call PlainCall) (*Ticket, error) {
	if call.IdempotencyKey == "" {
		nothing := func() {}
		return &Ticket{Complete: func(claims.Answer) {}, Release: nothing, Abandon: nothing}, nil
	}
	return s.path.Claim(s.ctx, claims.Call{
		ID:             s.ID,
		Organisation:   s.Identity.Organisation,
		Route:          s.Route.Name,
		IdempotencyKey: call.IdempotencyKey,
		Request:        digestInput(call),
		Deadline:       s.Deadline,
	})
}

// digestInput returns what makes two calls the same call.
func digestInput(call PlainCall) []byte {
	return append([]byte(call.Method+" "+call.Target+"\n"), call.Body...)
}
