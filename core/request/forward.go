package request

import (
	"context"
	"net/http"

	"github.com/go-kit/log/level"

	"monsoonfork/core/claims"
	"monsoonfork/core/endpoint"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/text"
)

// ServiceCall is a request to a plain service. Its header does not contain the
// caller's key.
type ServiceCall struct {
	Method         string
	Target         string // Path and query.
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}

// Forward sends a call to an endpoint of the plain service and writes the answer
// to the sink. If it returns an error after the sink received the head, the answer
// is incomplete. A call on a route that is not idempotent is sent at most once.
func (s *Session) Forward(call ServiceCall, sink endpoint.Sink) error {
	s.pipeline.retryBudget.deposit()
	cost := s.Route.CostTokens
	settle, err := s.admit(cost)
	if err != nil {
		return s.requestError(err)
	}
	defer func() {
		if !s.sent.Load() {
			cost = 0
		}
		settle(cost)
	}()
	if s.Route.Idempotent {
		err = s.forwardIdempotent(call, sink)
	} else {
		err = s.forwardAtMostOnce(call, sink)
	}
	if err != nil {
		return s.requestError(err)
	}
	return nil
}

// forwardIdempotent tries endpoints until one answers, and streams the answer to
// the sink.
func (s *Session) forwardIdempotent(call ServiceCall, sink endpoint.Sink) error {
	headSent := false
	streaming := endpoint.Sink{
		OnHead: func(h endpoint.Head) error { headSent = true; return sink.OnHead(h) },
		OnBody: sink.OnBody,
	}
	return s.tryEndpoints(s.ctx, call, streaming, func(err *fault.Error) bool {
		return !headSent && isEndpointFailure(err) && s.pipeline.retryBudget.withdraw()
	})
}

// tryEndpoints calls one endpoint after another, at most maxAttempts of them. If no
// byte of the call reached an endpoint, it always tries the next one; after any
// other failure it does so only if mayRetry returns true. An endpoint that did not accept
// a connection in time is tried once more after those that were reached have failed: this
// process may have been paused meanwhile, or the connection attempt was lost.
func (s *Session) tryEndpoints(ctx context.Context, call ServiceCall, sink endpoint.Sink, mayRetry func(*fault.Error) bool) error {
	candidates := s.pipeline.endpoints.candidates(s.Service, s.pipeline.domain, s.pipeline.now())
	if len(candidates) > maxAttempts {
		candidates = candidates[:maxAttempts]
	}
	var lastErr *fault.Error
	var unreached []text.Endpoint
	for i := 0; i < len(candidates); i++ {
		e := candidates[i]
		err := s.callEndpoint(ctx, e, call, sink)
		if err == nil {
			return nil
		}
		lastErr = fault.From(err)
		if isEndpointFailure(lastErr) {
			s.pipeline.endpoints.recordFailure(e.Name, s.pipeline.now())
		}
		if lastErr.Kind == fault.EndpointTimeout && lastErr.Ran == fault.NotRun {
			unreached = append(unreached, e)
		} else if i == len(candidates)-1 {
			candidates = append(candidates, unreached[:min(len(unreached), maxAttempts-len(candidates))]...)
			unreached = nil
		}
		if ctx.Err() != nil || !isEndpointFailure(lastErr) || i == len(candidates)-1 {
			break
		}
		if lastErr.Ran != fault.NotRun && !mayRetry(lastErr) {
			break
		}
		s.pipeline.counters.retried.Inc(1)
		_ = level.Info(s.log).Log("msg", event.EndpointFailed, "endpoint", string(e.Name), "ran", lastErr.Ran, "err", lastErr)
	}
	if lastErr == nil {
		return fault.New(fault.NoEndpoint, "service %s has no active endpoint", s.Service.Name).WithRetryAfter(s.pipeline.now().Add(avoidDuration))
	}
	if lastErr.Ran == fault.NotRun && isEndpointFailure(lastErr) {
		return fault.Wrap(lastErr, fault.NoEndpoint, "no endpoint of service %s accepts connections", s.Service.Name).WithRetryAfter(s.pipeline.now().Add(avoidDuration))
	}
	return lastErr
}

// callEndpoint sends the call to one endpoint, and marks the request as sent if a
// byte may have reached the endpoint.
func (s *Session) callEndpoint(ctx context.Context, e text.Endpoint, call ServiceCall, sink endpoint.Sink) error {
	notRun := false
	defer func() {
		if !notRun { // Also if the call panics.
			s.markSent()
		}
	}()
	err := s.pipeline.Send(ctx, e.Address, endpoint.ServiceCall{
		Method:    call.Method,
		Target:    call.Target,
		Header:    call.Header,
		Body:      call.Body,
		RequestID: s.ID,
		Deadline:  s.Deadline,
		SendBy:    s.Deadline,
	}, sink)
	notRun = err != nil && fault.From(err).Ran == fault.NotRun
	return err
}

// isEndpointFailure reports whether an error is a failure of the endpoint or engine,
// rather than of the request or its caller.
func isEndpointFailure(err *fault.Error) bool {
	switch err.Kind {
	case fault.EndpointFailed, fault.EndpointTimeout, fault.AnswerBroken:
		return true
	default:
		return false
	}
}

// claim claims the call if it has an Idempotency-Key. Otherwise it returns a ticket
// without effect.
func (s *Session) claim(call ServiceCall) (*ClaimTicket, error) {
	if call.IdempotencyKey == "" {
		noop := func() {}
		return &ClaimTicket{Complete: func(claims.Answer) {}, Release: noop, Abandon: noop}, nil
	}
	return s.pipeline.Claim(s.ctx, claims.Call{
		RequestID:      s.ID,
		Organisation:   s.Identity.Organisation,
		Route:          s.Route.Name,
		IdempotencyKey: call.IdempotencyKey,
		Request:        claimDigestInput(call),
		Deadline:       s.Deadline,
	})
}

// claimDigestInput returns the bytes whose digest decides whether a call with a
// known Idempotency-Key repeats the same request.
func claimDigestInput(call ServiceCall) []byte {
	return append([]byte(call.Method+" "+call.Target+"\n"), call.Body...)
}
