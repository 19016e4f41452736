// Package forward routes requests whose bodies are forwarded unchanged: it selects the
// engines, retries failed calls and resumes broken streams.
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

	"monsoonfork/core/admission"
	"monsoonfork/core/catalog"
	"monsoonfork/core/coldlimit"
	"monsoonfork/core/concurrency"
	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/loglimit"
	"monsoonfork/core/membudget"
	"monsoonfork/core/quarantine"
	"monsoonfork/core/subset"
)

// Request is a request from a caller.
type Request struct {
	ID       ident.RequestID
	Method   string
	Target   string // Path and query.
	Path     string
	Host     string
	Header   http.Header // Without the API key and the fields that the router sets itself.
	Body     []byte
	Key      string // API key.
	Received time.Time
	Deadline time.Time // Time at which the caller stops waiting; zero if not given.

	HasTokenCounts  bool         // The caller has given PromptTokens and MaxOutputTokens.
	PromptTokens    ident.Tokens // Length of the prompt.
	MaxOutputTokens ident.Tokens // Maximum length of the answer.
	EstimatedOutput ident.Tokens // Length of the answer that the caller expects; 0 if not given.
	LastEventID     string       // Id of the last event that the caller has received; empty if none.

	Model ident.ModelID  // Model that is to answer; empty if not given.
	Parts []ident.PartID // Parts of the prompt in order, nil if not given. The last one is the request's own, the others may be shared with other requests.
}

// ResponseWriter writes the response to the caller.
type ResponseWriter struct {
	SetDeadline func(at time.Time)                            // Sets the deadline of the request, before anything is sent; may be nil.
	WriteHeader func(status int, h http.Header, length int64) // Sends the head; a negative length is unknown.
	Write       func(data []byte) error                       // Sends data of the body; waits while the caller does not read.
	Abort       func()                                        // Aborts an answer that has begun, so that the caller sees it as incomplete.
}

// Head is the head of an engine's answer.
type Head struct {
	Status int
	Header http.Header
	Length int64 // -1 if unknown.
}

// Sink receives an engine's answer as it arrives. An error that it returns ends the call.
type Sink struct {
	OnHead func(Head) error
	OnData func([]byte) error
}

// Source locates a prefilled prompt in the memory of a prefill engine, or the copy of a run's
// memory at the engine that is to continue the run.
type Source struct {
	Address ident.Address
	Handle  string // Handle of the prompt, or id of the request.
}

// Call is a request to one engine.
type Call struct {
	Engine            engines.Entry
	Request           *Request
	Organisation      ident.OrganisationID // Empty on open routes.
	Priority          int
	Deadline          time.Time     // Sent to the engine as the remaining time.
	ConnectDeadline   time.Time     // Deadline for the connection.
	FirstByteDeadline time.Time     // Deadline for the first byte of the answer; zero for Deadline.
	PooledSince       time.Time     // Pooled connections that were last used earlier are not used.
	Reservation       string        // Id of a memory reservation at the engine; may be empty.
	Source            Source        // The prefilled prompt, or the copy with which the engine continues a run; without a handle the engine does the prefill itself.
	LastEventID       string        // Id of the event after which the answer resumes; empty for a new answer.
	Backup            ident.Address // The engine to which the memory of the run is copied as it grows; empty for none.
}

// EngineCalls makes the calls to engines. Their errors are of type *fault.Error; its
// field Ran tells whether the engine may have run the request.
type EngineCalls struct {
	// Send sends a request and passes the answer to the sink.
	Send func(ctx context.Context, c Call, sink Sink) error
	// Prefill has the prompt of a request prefilled, and returns the handle of the result.
	Prefill func(ctx context.Context, c Call) (handle string, err error)
	// ReleaseHandle frees a prefilled prompt, in the background.
	ReleaseHandle func(e engines.Entry, handle string)
	// Reserve reserves memory of the given size until a time.
	Reserve func(ctx context.Context, e engines.Entry, size ident.Tokens, until, connectBy time.Time) (id string, err error)
	// ReleaseReservation releases a reservation, in the background.
	ReleaseReservation func(e engines.Entry, reservation string)
	// IsDown reports whether the run of an engine has ended. It is false if that is not known by
	// the deadline.
	IsDown func(ctx context.Context, e engines.Entry, deadline time.Time) bool
	// Move copies the memory of a run at an engine to another one. The error has kind NotFound if
	// the engine does not run the request, CallInProgress if it is busy with another move of it,
	// and EndpointRefused if there is no room. A run that has stopped is no error.
	Move func(ctx context.Context, e engines.Entry, m Move, connectBy time.Time) (MoveReply, error)
	// IsReachable reports whether a connection to an engine can be opened by the deadline.
	IsReachable func(ctx context.Context, e engines.Entry, deadline time.Time) bool
}

// Admission is the answer to a request for tokens of an organisation's rate.
type Admission struct {
	Granted bool
	RetryAt time.Time // Time for a retry, if the tokens were not granted.
	Refund  func()    // Returns the tokens; for requests that have not run.

	// For the log: the share of the rate that this instance may grant, and when it sent the
	// last report that its collector, the instance that sums up what all admit, has answered.
	RateShare           float64
	CollectorAnsweredAt time.Time
	Reserved            ident.Tokens // Tokens that are kept for more urgent requests of the organisation.
}

// Router serves requests: it admits them, selects engines and forwards the answers. All
// exported fields must be set before the first request.
type Router struct {
	Catalog       func() *catalog.Catalog                                                  // The current configuration; nil while there is none.
	Engines       func(ident.ServiceID) []*engines.Engine                                  // The engines of a service.
	Admit         func(o *catalog.Organisation, cost ident.Tokens, priority int) Admission // Takes tokens of an organisation's rate.
	Calls         EngineCalls
	LiveInstances func() int             // Number of instances that share the retry budget.
	ConfigBy      func() time.Time       // When the configuration is read from the store unless another instance sends it before; nil if unknown.
	AloneInDomain func() bool            // Whether no other instance of the failure domain is live; nil for never.
	Quarantine    *quarantine.Quarantine // Parts of prompts that are held back from engines.
	Memory        *membudget.Budget      // Limits the answers that are buffered.
	Backups       bool                   // Runs may get a backup if their service supports backups.
	Pressure      *admission.Pressure    // Which classes of requests lack memory of engines.
	DrainTime     time.Duration          // How long an engine that leaves serves its streams at least.
	// Region returns the region of a failure domain, "" if it is unknown; nil if none is known.
	Region    func(ident.DomainID) ident.RegionID
	Subset    *subset.Chooser    // Engines that this instance prefers; nil for no preference.
	ColdLimit *coldlimit.Limiter // Limits the calls to cold engines; nil for no limit.

	domain          ident.DomainID
	log             log.Logger
	now             func() time.Time
	random          func() float64 // Uniform in [0, 1).
	retryBudget     retryBudget
	prefillSpeeds   prefillSpeeds
	decodeFigures   decodeFigures
	reserveQueues   reserveQueues
	counters        counters
	retrySettings   RetryBudgetSettings
	refusalLog      *loglimit.Limit[refusalKey]
	durations       durations
	plainLimits     *concurrency.Limiter // Requests that the engines of plain services admit.
	outputEstimates outputEstimates
	shortages       shortages
	processEnd      atomic.Pointer[time.Time] // Planned end of the process; nil while no stop is planned.
	balancerEnd     atomic.Pointer[time.Time] // When the load balancer sends no more callers; nil while no stop is planned.
	stopping        atomic.Bool
}

// Stop makes the router refuse new requests. Requests in progress are completed.
func (r *Router) Stop() { r.stopping.Store(true) }

// RetryBudgetSettings holds the settings of the retry budget. Extra calls are all calls
// of a request after its first, retries and hedges. A service may have RetryRatio times
// its requests plus RetryMinimum of them within RetryWindow, across all instances.
type RetryBudgetSettings struct {
	RetryRatio   float64       // Extra calls allowed for each request.
	RetryMinimum float64       // Extra calls allowed without any request.
	RetryWindow  time.Duration // Window in which requests and extra calls are counted.
}

// counters holds the metrics of a router.
type counters struct {
	turnCounters
	requests        metrics.Counter
	answered        metrics.Counter
	refused         metrics.Counter
	failed          metrics.Counter
	extraCalls      metrics.Counter // Calls of a request after its first.
	hedges          metrics.Counter // Of those, calls in parallel to a slow one.
	resumedStreams  metrics.Counter // Streams resumed at another engine.
	localPrefills   metrics.Counter // Prefills by the decode engine.
	backups         metrics.Counter // Runs for which a backup was requested.
	continuedRuns   metrics.Counter // Runs that were sent to their backup engine.
	refusedRuns     metrics.Counter // Of those, runs that the backup engine refused.
	moves           metrics.Counter // Attempts to move a run.
	movedRuns       metrics.Counter // Of those, moves to another engine.
	unusedPrefills  metrics.Counter // Prompt tokens that were prefilled and not used by a decode engine.
	slowEngines     metrics.Counter // Engines that were not asked for a reservation, as they would miss the deadline.
	containedPanics metrics.Counter // Panics that ended only a step.
	firstByte       metrics.Timer   // Time from arrival to the head of the answer.
	reserveWait     metrics.Timer   // Time to get a reservation at a decode engine.
	limited         metrics.Counter // Engines of plain services that began to refuse requests at their limit.
	limitWait       metrics.Timer   // Time that requests waited for the limits of engines of plain services.
}

// New returns a router for an instance in the given failure domain. The exported fields
// of the router are still to be set.
func New(domain ident.DomainID, logger log.Logger, r metrics.Registry, now func() time.Time, t RetryBudgetSettings) *Router {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("Forward."+name, r) }
	logger = log.With(logger, "part", "Forward")
	return &Router{
		domain:        domain,
		log:           logger,
		now:           now,
		random:        rand.Float64,
		retrySettings: t,
		plainLimits:   concurrency.New(now),
		Memory:        membudget.New(membudget.LimitFor(0)),
		Pressure:      admission.NewPressure(now),
		refusalLog:    newRefusalLog(logger),
		counters: counters{
			turnCounters:    newTurnCounters(counter),
			requests:        counter("Requests"),
			answered:        counter("Answered"),
			refused:         counter("Refused"),
			failed:          counter("Failed"),
			extraCalls:      counter("Repeated"),
			hedges:          counter("Hedged"),
			resumedStreams:  counter("Resumed"),
			localPrefills:   counter("LocalRead"),
			backups:         counter("Backups"),
			continuedRuns:   counter("BackupsUsed"),
			refusedRuns:     counter("BackupsMissing"),
			moves:           counter("Moves"),
			movedRuns:       counter("Moved"),
			unusedPrefills:  counter("UnusedPrefillTokens"),
			slowEngines:     counter("SlowEngines"),
			containedPanics: counter("ContainedPanics"),
			firstByte:       metrics.GetOrRegisterTimer("Forward.First", r),
			reserveWait:     metrics.GetOrRegisterTimer("Forward.Queued", r),
			limited:         counter("EnginesLimited"),
			limitWait:       metrics.GetOrRegisterTimer("Forward.LimitWait", r),
		},
	}
}

// Serve serves a request. If it returns an error, nothing was sent to the caller. An
// answer that has begun and can't be completed is aborted by ResponseWriter.Abort, without an error.
func (r *Router) Serve(ctx context.Context, q *Request, a ResponseWriter) error {
	r.counters.requests.Inc(1)
	j, err := r.resolve(q, a)
	if err != nil {
		r.counters.refused.Inc(1)
		r.logUnresolved(q, fault.From(err))
		return err
	}
	if a.SetDeadline != nil {
		a.SetDeadline(j.deadline)
	}
	ctx, cancel := context.WithDeadlineCause(ctx, j.deadline, fault.New(fault.DeadlineExceeded, "the deadline of the request has passed"))
	defer cancel()
	if panicked := j.boundary().Run("request", func() { err = j.run(ctx) }); panicked != nil {
		err = panicked
	}
	j.reportOutcome(err)
	defer j.runAfterEnd()
	if err != nil && j.headSent {
		a.Abort()
		return nil
	}
	return err
}

// logUnresolved logs a request that was refused before its route and its organisation
// were found.
func (r *Router) logUnresolved(q *Request, f *fault.Error) {
	if r.refusalLog.Allow(refusalKey{kind: f.Kind}) {
		_ = level.Info(r.log).Log("msg", event.Refused, "request", q.ID, "kind", f.Kind, "host", q.Host, "path", q.Path, "err", f.Message)
	}
}

// resolve finds the route, the organisation and the service of a request, and refuses
// the request if one of the first two is unknown or the instance is stopping.
func (r *Router) resolve(q *Request, a ResponseWriter) (*job, error) {
	c := r.Catalog()
	if r.stopping.Load() {
		return nil, fault.New(fault.ShuttingDown, "the instance is stopping").WithRetryAfter(r.stoppingRetryAt())
	}
	if c == nil {
		return nil, fault.New(fault.StoreUnavailable, "no configuration has been received yet").WithRetryAfter(r.configRetryAt())
	}
	route, ok := c.Route(q.Host, q.Path)
	if !ok {
		return nil, fault.New(fault.UnknownRoute, "no route for this host and path")
	}
	j := &job{Request: q, router: r, route: route, version: c.Version, answer: a, tried: make(map[ident.EndpointID]bool)}
	if c.RequiresKey() && !route.Public {
		if j.org, ok = c.Organisation(q.Key); !ok {
			return nil, fault.New(fault.Unauthenticated, "unknown API key")
		}
	}
	j.service, _ = c.Service(route.Choose(rand.Float64()))
	j.urgency = c.UrgencyRank(j.org, route, j.service.Name)
	j.deadline = q.Received.Add(time.Duration(route.TimeoutMS) * time.Millisecond)
	if !q.Deadline.IsZero() && q.Deadline.Before(j.deadline) {
		j.deadline = q.Deadline
	}
	j.log = log.With(r.log, "request", q.ID, "route", route.Name, "config", int64(c.Version), "organisation", j.organisation(), "prompt", q.PromptTokens, "output", q.MaxOutputTokens)
	return j, nil
}

// configRetryAt returns when a request may be sent again that was refused as there is no
// configuration yet.
func (r *Router) configRetryAt() time.Time {
	retry := r.now().Add(noConfigRetryAfter)
	if r.ConfigBy == nil {
		return retry
	}
	if at := r.ConfigBy().Add(listTime); at.After(retry) {
		return at
	}
	return retry
}

const (
	// noConfigRetryAfter is the least Retry-After of an instance that has no configuration yet.
	noConfigRetryAfter = 300 * time.Millisecond
	// listTime is how long it takes to list the store.
	listTime = 100 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of an instance that is stopping. It is short,
	// as another instance serves the retry.
	stoppingRetryAfter = 20 * time.Millisecond
)
