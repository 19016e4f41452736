// Package forward decides the way of requests that are passed on as they are.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Request is a request as the caller sent it.
type Request struct {
	ID       ident.RequestID
	Method   string
	Target   string // Path and query.
	Path     string
	Host     string
	Header   http.Header // Without the key and without what is the system's to set.
	Body     []byte
	Key      string
	Received time.Time
	Deadline time.Time // When the caller stops waiting; zero if it did not say.

	Sized     bool         // Prompt and MaxOutput were given.
	Prompt    ident.Tokens // Size of the prompt.
	MaxOutput ident.Tokens // Most tokens of the answer.
	Estimate  ident.Tokens // What the caller thinks the answer will have; 0 if it did not say.
	LastEvent string       // The caller has the events up to this id.
}

// Answer is the seam to the caller.
type Answer struct {
	Begin func(status int, h http.Header, length int64) // A negative length is not known.
	Write func(piece []byte) error
	Cut   func() // Ends a begun answer so that it does not look whole.
}

// Head is the head of an engine's answer.
type Head struct {
	Status int
	Header http.Header
	Length int64 // -1 if it is not known.
}

// Sink takes an engine's answer as it comes. An error ends the call.
type Sink struct {
	OnHead  func(Head) error
	OnPiece func([]byte) error
}

// Source is a prefilled prompt that an engine keeps.
type Source struct {
	Address ident.Address
	Handle  string
}

// Call is a request to one engine.
type Call struct {
	Engine       engines.Entry
	Request      *Request
	Organisation ident.OrganisationID // Empty on open routes.
	Priority     int
	Deadline     time.Time // Sent to the engine as the time that is left.
	ConnectBy    time.Time
	FirstByteBy  time.Time // Zero: the deadline.
	UsedSince    time.Time // Kept connections that were idle before are not used.
	Reservation  string    // Of room at the engine; may be empty.
	Source       Source    // Of the prompt; without a handle the engine reads it itself.
	LastEvent    string    // The answer goes on after this event.
}

// Calls are the seams to engines. Their errors are *fault.Error; Ran says
// whether the request may have run.
type Calls struct {
	Send    func(ctx context.Context, c Call, sink Sink) error
	Prefill func(ctx context.Context, c Call) (handle string, err error)
	Free    func(e engines.Entry, handle string) // In the background.
	Reserve func(ctx context.Context, e engines.Entry, size ident.Tokens, until, connectBy time.Time) (id string, err error)
	Release func(e engines.Entry, reservation string) // In the background.
}

// Share is the outcome of asking for tokens of an organisation.
type Share struct {
	Granted bool
	RetryAt time.Time // When to come again, if it was not granted.
	Refund  func()    // Gives the tokens back; for requests that did not run.

	// For the log: the part of the rate that this instance counts on, and when its
	// collector was last heard.
	Part    float64
	HeardAt time.Time
}

// Router takes requests through their stages. All seams are set before the first
// request.
type Router struct {
	Catalog func() *catalog.Catalog
	Engines func(ident.ServiceID) []*engines.Engine
	Admit   func(o *catalog.Organisation, cost ident.Tokens) Share
	Calls   Calls
	Live    func() int // Instances that share the budget of repeats.

	domain   ident.DomainID
	log      log.Logger
	now      func() time.Time
	repeats  repeats
	speed    prefillSpeed
	waiting  waiting
	counters counters
	tuning   Tuning
	refusals *refusals
	pace     pace
	endBy    atomic.Pointer[time.Time] // When the process ends; nil while no stop is planned.
	stopping atomic.Bool
}

// Stop makes the router refuse new requests. Those under way go on.
func (r *Router) Stop() { r.stopping.Store(true) }

// Tuning are the settings of a router that a deployment gives.
type Tuning struct {
	RepeatRatio  float64       // Calls beyond the first, of the requests for a service.
	RepeatSlack  float64       // Calls beyond the first in a window that are always allowed.
	RepeatWindow time.Duration // The window in which both are counted.
}

// counters are the metrics of a router.
type counters struct {
	requests  metrics.Counter
	answered  metrics.Counter
	refused   metrics.Counter
	failed    metrics.Counter
	repeated  metrics.Counter // Calls beyond the first of a request.
	hedged    metrics.Counter // Of those, calls beside one that is slow.
	resumed   metrics.Counter // Streams that went on at another engine.
	localRead metrics.Counter // Prompts read by their decode engine.
	first     metrics.Timer   // From arrival to the head of the answer.
	queued    metrics.Timer   // Wait for room at a decode engine.
}

// New returns a router whose seams are not set.
func New(domain ident.DomainID, logger log.Logger, r metrics.Registry, now func() time.Time, t Tuning) *Router {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("Forward."+name, r) }
	logger = log.With(logger, "part", "Forward")
	return &Router{
		domain:   domain,
		log:      logger,
		now:      now,
		tuning:   t,
		refusals: newRefusals(logger),
		counters: counters{
			requests:  counter("Requests"),
			answered:  counter("Answered"),
			refused:   counter("Refused"),
			failed:    counter("Failed"),
			repeated:  counter("Repeated"),
			hedged:    counter("Hedged"),
			resumed:   counter("Resumed"),
			localRead: counter("LocalRead"),
			first:     metrics.GetOrRegisterTimer("Forward.First", r),
			queued:    metrics.GetOrRegisterTimer("Forward.Queued", r),
		},
	}
}

// job is a request under way.
type job struct {
	*Request
	router   *Router
	route    *catalog.Route
	service  *catalog.Service
	org      *catalog.Organisation
	version  ident.Revision
	deadline time.Time
	answer   Answer
	log      log.Logger

	begun bool                      // The head was given to the caller.
	first time.Time                 // When the head was given to the caller.
	head  int                       // Its status.
	tried map[ident.EndpointID]bool // Engines that were called.
	last  ident.EndpointID          // The engine that was called last.
	calls int                       // Calls that engines may have got.
	asked int                       // Times that an engine was asked for room.
	way   []any                     // What the log says of the way of the request, as keys and values.
}

// passed notes a stage of the request's way for its line in the log.
func (j *job) passed(stage string, e *engines.Engine, since time.Time) {
	j.way = append(j.way, stage, e.ID, stage+"_ms", j.router.now().Sub(since).Milliseconds())
}

// Serve takes a request through its stages. An error means that nothing was
// given to the caller; what has begun and can't be finished is cut.
func (r *Router) Serve(ctx context.Context, q *Request, a Answer) error {
	r.counters.requests.Inc(1)
	j, err := r.open(q, a)
	if err != nil {
		r.counters.refused.Inc(1)
		r.logUnopened(q, fault.From(err))
		return err
	}
	ctx, cancel := context.WithDeadlineCause(ctx, j.deadline, fault.New(fault.DeadlineExceeded, "the time of the request has passed"))
	defer cancel()
	err = j.run(ctx)
	j.end(err)
	if err != nil && j.begun {
		a.Cut()
		return nil
	}
	return err
}

// logUnopened logs a request that was refused before its route was known.
func (r *Router) logUnopened(q *Request, f *fault.Error) {
	if r.refusals.shown(refusalKey{kind: f.Kind}) {
		_ = level.Info(r.log).Log("msg", event.Refused, "request", q.ID, "kind", f.Kind, "host", q.Host, "path", q.Path, "err", f.Message)
	}
}

// open decides what does not need an engine.
func (r *Router) open(q *Request, a Answer) (*job, error) {
	c := r.Catalog()
	if r.stopping.Load() {
		return nil, fault.New(fault.ShuttingDown, "the instance is stopping").WithRetryAfter(r.now().Add(stoppingRetry))
	}
	if c == nil {
		return nil, fault.New(fault.StoreUnavailable, "no configuration is known yet").WithRetryAfter(r.now().Add(unknownRetry))
	}
	route, ok := c.Route(q.Host, q.Path)
	if !ok {
		return nil, fault.New(fault.UnknownRoute, "no route for this host and path")
	}
	j := &job{Request: q, router: r, route: route, version: c.Version, answer: a, tried: make(map[ident.EndpointID]bool)}
	if c.Keyed() && !route.Open {
		if j.org, ok = c.Organisation(q.Key); !ok {
			return nil, fault.New(fault.Unauthenticated, "the key is not known")
		}
	}
	j.service, _ = c.Service(route.Choose(rand.Float64()))
	j.deadline = q.Received.Add(time.Duration(route.TimeoutMS) * time.Millisecond)
	if !q.Deadline.IsZero() && q.Deadline.Before(j.deadline) {
		j.deadline = q.Deadline
	}
	j.log = log.With(r.log, "request", q.ID, "route", route.Name, "config", int64(c.Version), "organisation", j.organisation(), "prompt", q.Prompt, "output", q.MaxOutput)
	return j, nil
}

const (
	// unknownRetry is when a caller should come again whom an instance without a
	// configuration has refused.
	unknownRetry = 300 * time.Millisecond
	// stoppingRetry is when a caller should come again whom an instance that stops
	// has refused. Another one serves it.
	stoppingRetry = 20 * time.Millisecond
)

// run admits the request and sends it to engines, unless its caller has gone or its
// time has passed already.
func (j *job) run(ctx context.Context) error {
	if ctx.Err() != nil {
		return fault.From(context.Cause(ctx)).WithRan(fault.NotRun)
	}
	if err := j.mayEnd(); err != nil {
		return err
	}
	share := Share{Granted: true, Refund: func() {}}
	if j.org != nil {
		share = j.router.Admit(j.org, j.cost())
	}
	if !share.Granted {
		j.way = append(j.way, "rate_part", share.Part)
		if !share.HeardAt.IsZero() {
			j.way = append(j.way, "heard_ms", j.router.now().Sub(share.HeardAt).Milliseconds())
		}
		return fault.New(fault.RateExceeded, "organisation %s is above its rate of %.0f a second with a burst of %d", j.org.Name, j.org.Rate, j.org.Burst).WithRetryAfter(share.RetryAt)
	}
	j.router.repeats.earn(j.service.Name, j.router.now())
	var err error
	if j.service.Model != nil {
		err = j.model(ctx)
	} else {
		err = j.plain(ctx)
	}
	if err != nil && fault.From(err).Ran == fault.NotRun {
		share.Refund()
	}
	return err
}

// cost is what the request takes of its organisation's rate.
func (j *job) cost() ident.Tokens {
	if !j.org.CountsTokens {
		return 1
	}
	if !j.Sized {
		return j.org.RequestTokens
	}
	return j.Prompt + j.MaxOutput
}

// priority returns the rank of the request; 0 is the most urgent.
func (j *job) priority() int {
	if j.org != nil && j.org.HasPriority {
		return j.org.Priority
	}
	return j.route.Priority
}

// organisation returns the name of the organisation, or "".
func (j *job) organisation() ident.OrganisationID {
	if j.org == nil {
		return ""
	}
	return j.org.Name
}

// end logs and counts what came of the request.
func (j *job) end(err error) {
	r := j.router
	tookMS := r.now().Sub(j.Received).Milliseconds()
	if j.begun {
		j.way = append(j.way, "first_ms", j.first.Sub(j.Received).Milliseconds(), "status", j.head)
	}
	line := log.With(j.log, j.way...)
	if err == nil {
		r.counters.answered.Inc(1)
		_ = level.Info(line).Log("msg", event.Answered, "took_ms", tookMS, "calls", j.calls)
		return
	}
	f := fault.From(err)
	outcome := event.Failed
	if f.Ran == fault.NotRun {
		outcome = event.Refused
		r.counters.refused.Inc(1)
		if !r.refusals.shown(refusalKey{f.Kind, j.organisation(), j.route.Name}) {
			return
		}
	} else {
		r.counters.failed.Inc(1)
	}
	_ = level.Info(line).Log("msg", outcome, "kind", f.Kind, "ran", f.Ran, "begun", j.begun, "took_ms", tookMS,
		"left_ms", j.deadline.Sub(r.now()).Milliseconds(), "calls", j.calls, "last", j.last, "err", f)
}

// call returns a call to an engine with what all calls have in common.
func (j *job) call(e *engines.Engine) Call {
	now := j.router.now()
	return Call{
		Engine:       e.Entry,
		Request:      j.Request,
		Organisation: j.organisation(),
		Priority:     j.priority(),
		Deadline:     j.deadline,
		ConnectBy:    now.Add(connectTime),
		UsedSince:    now.Add(-j.keptTime()),
		LastEvent:    j.LastEvent,
	}
}

const (
	// connectTime is the time to connect to an engine.
	connectTime = 150 * time.Millisecond
	// keptSafe is how long a kept connection may have been idle that carries a
	// call which can be repeated.
	keptSafe = 10 * time.Second
	// keptOnce is the same for a call that can't be: a connection that was in use
	// a moment ago is likely alive.
	keptOnce = 4 * time.Second
)

// keptTime is how long the connection of a call may have been idle.
func (j *job) keptTime() time.Duration {
	if j.repeatable() {
		return keptSafe
	}
	return keptOnce
}

// repeatable reports whether the request may run more than once.
func (j *job) repeatable() bool {
	return j.route.Kind == catalog.Safe || (j.route.Kind == catalog.Stream && j.route.Resumable)
}
