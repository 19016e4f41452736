package request

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/config"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/text"
)

// RequestInfo describes a request before its body is read.
type RequestInfo struct {
	ID       ident.RequestID
	Method   string
	Path     string
	Token    string // The caller's key; empty if the request has none.
	Received time.Time
}

// Session is an open request.
type Session struct {
	ID       ident.RequestID
	Identity Identity // Zero on a route with open access, which needs no key.
	Route    *text.Route
	Service  *text.Service
	Received time.Time
	Deadline time.Time

	pipeline       *Pipeline
	snapshot       *config.Snapshot
	log            log.Logger
	ctx            context.Context
	cancel         context.CancelCauseFunc
	cancelDeadline context.CancelFunc
	stopKeyWatch   func()
	sent           atomic.Bool // A byte may have reached an engine or endpoint.
}

// Open finds the route of a request and checks its key. Its errors have the
// kinds StoreUnavailable (no configuration yet), UnknownRoute, Unauthenticated and
// Forbidden, or are those of Verify.
func (p *Pipeline) Open(ctx context.Context, in RequestInfo) (*Session, error) {
	p.counters.requests.Inc(1)
	snapshot := p.CurrentConfig()
	if snapshot == nil {
		return nil, fault.New(fault.StoreUnavailable, "the instance has no configuration yet").WithRetryAfter(p.now().Add(time.Second))
	}
	s := &Session{ID: in.ID, Received: in.Received, pipeline: p, snapshot: snapshot}
	if err := s.findRoute(in); err != nil {
		return nil, err
	}
	verified, err := s.checkKey(in.Token)
	if err != nil {
		return nil, err
	}
	s.log = log.With(p.log, "request", string(s.ID), "route", s.Route.Name, "organisation", string(s.Identity.Organisation))
	s.Deadline = in.Received.Add(time.Duration(s.Route.TimeoutMS) * time.Millisecond)
	deadlineCtx, cancelDeadline := context.WithDeadlineCause(ctx, s.Deadline, fault.New(fault.DeadlineExceeded, "the time limit of route %s has passed", s.Route.Name))
	s.cancelDeadline = cancelDeadline
	s.ctx, s.cancel = context.WithCancelCause(deadlineCtx)
	p.sessions.add(s)
	s.stopKeyWatch = verified.OnWithdrawal(func(err error) { s.cancel(err) })
	return s, nil
}

// findRoute sets the route and its service.
func (s *Session) findRoute(in RequestInfo) error {
	index := s.snapshot.Text.Index()
	route, ok := index.Route(in.Method, in.Path)
	if !ok {
		return fault.New(fault.UnknownRoute, "no route for %s %s", in.Method, in.Path)
	}
	service, ok := index.Service(route.Service)
	if !ok {
		return fault.New(fault.UnknownRoute, "route %s has no service", route.Name)
	}
	s.Route, s.Service = route, service
	return nil
}

// anonymous is the result of the key check on a route with open access.
var anonymous = VerifiedKey{OnWithdrawal: func(func(error)) func() { return func() {} }}

// checkKey verifies the key and sets the identity. On a route with open access it
// ignores the key.
func (s *Session) checkKey(token string) (VerifiedKey, error) {
	if s.Route.Access == text.Open {
		return anonymous, nil
	}
	if token == "" {
		return VerifiedKey{}, fault.New(fault.Unauthenticated, "no key: send Authorization: Bearer KEY")
	}
	verified, err := s.pipeline.Verify(token)
	if err != nil {
		return VerifiedKey{}, err
	}
	if !s.Route.Admits(verified.Organisation) {
		return VerifiedKey{}, fault.New(fault.Forbidden, "organisation %s may not use route %s", verified.Organisation, s.Route.Name)
	}
	s.Identity = verified.Identity
	return verified, nil
}

// Context returns the context of the request. When it is cancelled, its cause is a
// *fault.Error.
func (s *Session) Context() context.Context { return s.ctx }

// Cancel cancels the request, for example when its caller has disconnected.
func (s *Session) Cancel(cause *fault.Error) { s.cancel(cause) }

// Close closes the session. err is the error of the request, or nil.
func (s *Session) Close(err error) {
	s.stopKeyWatch()
	s.pipeline.sessions.remove(s)
	s.cancel(nil)
	s.cancelDeadline()
	elapsed := s.pipeline.now().Sub(s.Received)
	if err == nil {
		_ = level.Debug(s.log).Log("msg", event.RequestDone, "took", elapsed)
		return
	}
	s.pipeline.counters.failed.Inc(1)
	f := fault.From(err)
	_ = level.Info(s.log).Log("msg", event.RequestFailed, "kind", f.Kind, "ran", f.Ran, "took", elapsed, "err", f)
}

// markSent records that a byte may have reached an engine or endpoint.
func (s *Session) markSent() { s.sent.Store(true) }

// requestError converts err to the error of the request. The result says NotRun
// only if no byte can have reached an engine or endpoint. In that case MayHaveRun
// becomes NotRun, except in errors that describe an earlier call with the same
// Idempotency-Key.
func (s *Session) requestError(err error) *fault.Error {
	f := s.withCause(fault.From(err))
	if s.sent.Load() && f.Ran == fault.NotRun {
		f = f.WithRan(fault.MayHaveRun)
	}
	if !s.sent.Load() && f.Ran == fault.MayHaveRun && !concernsEarlierCall(f.Kind) {
		f = f.WithRan(fault.NotRun)
	}
	invariant.Check(s.log, "NotRunIsTrue", f.Ran != fault.NotRun || !s.sent.Load(), "kind", f.Kind)
	return f
}

// withCause returns f, or the cause of the cancellation if the request was
// cancelled and f only reports that.
func (s *Session) withCause(f *fault.Error) *fault.Error {
	if s.ctx.Err() == nil || (f.Kind != fault.CallerGone && f.Kind != fault.DeadlineExceeded) {
		return f
	}
	return fault.From(context.Cause(s.ctx)).WithRan(f.Ran)
}

// concernsEarlierCall reports whether errors of kind k describe an earlier call with
// the same Idempotency-Key.
func concernsEarlierCall(k fault.Kind) bool {
	switch k {
	case fault.CallInProgress, fault.OutcomeUnknown, fault.AnswerNotKept:
		return true
	default:
		return false
	}
}
