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

// Incoming is what is known of a request before its body is read.
type Incoming struct {
	ID       ident.RequestID
	Method   string
	Path     string
	Token    string // The caller's key; empty if none came.
	Received time.Time
}

// Session is an open request.
type Session struct {
	ID       ident.RequestID
	Identity Identity // Zero on a route that is open to all.
	Route    *text.Route
	Service  *text.Service
	Received time.Time
	Deadline time.Time

	path     *Path
	snapshot *config.Snapshot
	log      log.Logger
	ctx      context.Context
	cancel   context.CancelCauseFunc
	release  context.CancelFunc
	unwatch  func()
	sent     atomic.Bool // A byte may have reached an endpoint.
}

// Open finds the route of a request and checks its key. Its errors have the
// kinds UnknownRoute, Unauthenticated, Forbidden and ShuttingDown.
func (p *Path) Open(ctx context.Context, in Incoming) (*Session, error) {
	p.counters.requests.Inc(1)
	snapshot := p.Current()
	if snapshot == nil {
		return nil, fault.New(fault.StoreUnavailable, "the instance has no configuration yet").WithRetryAfter(p.now().Add(time.Second))
	}
	s := &Session{ID: in.ID, Received: in.Received, path: p, snapshot: snapshot}
	if err := s.findRoute(in); err != nil {
		return nil, err
	}
	verified, err := s.checkKey(in.Token)
	if err != nil {
		return nil, err
	}
	s.log = log.With(p.log, "request", string(s.ID), "route", s.Route.Name, "organisation", string(s.Identity.Organisation))
	s.Deadline = in.Received.Add(time.Duration(s.Route.TimeoutMS) * time.Millisecond)
	deadlined, release := context.WithDeadlineCause(ctx, s.Deadline, fault.New(fault.DeadlineExceeded, "the time limit of route %s has passed", s.Route.Name))
	s.release = release
	s.ctx, s.cancel = context.WithCancelCause(deadlined)
	p.running.add(s)
	s.unwatch = verified.Watch(func(err error) { s.cancel(err) })
	return s, nil
}

// findRoute sets the route and the service.
func (s *Session) findRoute(in Incoming) error {
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

// nobody is the key of a request on a route that is open to all.
var nobody = Verified{Watch: func(func(error)) func() { return func() {} }}

// checkKey sets the identity, unless the route is open to all.
func (s *Session) checkKey(token string) (Verified, error) {
	if s.Route.Access == text.Open {
		return nobody, nil
	}
	if token == "" {
		return Verified{}, fault.New(fault.Unauthenticated, "no key: send Authorization: Bearer KEY")
	}
	verified, err := s.path.Verify(token)
	if err != nil {
		return Verified{}, err
	}
	if !s.Route.Admits(verified.Organisation) {
		return Verified{}, fault.New(fault.Forbidden, "organisation %s may not use route %s", verified.Organisation, s.Route.Name)
	}
	s.Identity = verified.Identity
	return verified, nil
}

// Context returns the context of the request. It ends with a *fault.Error as
// its cause.
func (s *Session) Context() context.Context { return s.ctx }

// Cancel ends the request early, for example when its caller has gone.
func (s *Session) Cancel(cause *fault.Error) { s.cancel(cause) }

// Close ends the session. err is what the request ended with, or nil.
func (s *Session) Close(err error) {
	s.unwatch()
	s.path.running.remove(s)
	s.cancel(nil)
	s.release()
	took := s.path.now().Sub(s.Received)
	if err == nil {
		_ = level.Debug(s.log).Log("msg", event.RequestDone, "took", took)
		return
	}
	s.path.counters.failed.Inc(1)
	f := fault.From(err)
	_ = level.Info(s.log).Log("msg", event.RequestFailed, "kind", f.Kind, "ran", f.Ran, "took", took, "err", f)
}

// markSent notes that a byte may have reached an endpoint.
func (s *Session) markSent() { s.sent.Store(true) }

// failure returns err as the error of the request: it says NotRun only if no
// byte can have reached an endpoint.
func (s *Session) failure(err error) *fault.Error {
	f := s.withCause(fault.From(err))
	if s.sent.Load() && f.Ran == fault.NotRun {
		f = f.WithRan(fault.MayHaveRun)
	}
	if !s.sent.Load() && f.Ran == fault.MayHaveRun && !ofEarlierCall(f.Kind) {
		f = f.WithRan(fault.NotRun)
	}
	invariant.Check(s.log, "NotRunIsTrue", f.Ran != fault.NotRun || !s.sent.Load(), "kind", f.Kind)
	return f
}

// withCause returns f, or the cause of the cancellation if f only says that the
// request was cancelled.
func (s *Session) withCause(f *fault.Error) *fault.Error {
	if s.ctx.Err() == nil || (f.Kind != fault.CallerGone && f.Kind != fault.DeadlineExceeded) {
		return f
	}
	return fault.From(context.Cause(s.ctx)).WithRan(f.Ran)
}

// ofEarlierCall reports whether an error of this kind speaks of an earlier call
// with the same Idempotency-Key.
func ofEarlierCall(k fault.Kind) bool {
	switch k {
	case fault.CallInProgress, fault.OutcomeUnknown, fault.AnswerNotKept:
		return true
	default:
		return false
	}
}
