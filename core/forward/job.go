package forward

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/catalog"
	"monsoonfork/core/contain"
	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// job is the state of a request that is being served.
type job struct {
	*Request
	router   *Router
	route    *catalog.Route
	service  *catalog.Service
	org      *catalog.Organisation
	version  ident.Revision
	urgency  int // Rank of the request by the priorities of organisation and route; 0 is the most urgent.
	deadline time.Time
	answer   ResponseWriter
	log      log.Logger

	headSent     bool                      // The head of the answer was sent to the caller.
	headSentAt   time.Time                 // When the head was sent.
	status       int                       // Status in the head that was sent.
	tried        map[ident.EndpointID]bool // Engines that were called and are not tried again.
	lastEngine   ident.EndpointID          // The last engine called.
	callCount    int                       // Number of calls sent to engines.
	eventCount   int                       // Number of events of the answer so far.
	reserveCalls int                       // Number of reservations requested.
	logFields    []any                     // Keys and values for the log line of the request.
	afterEnd     func()                    // Work that is left when the caller has received the end; nil if there is none.
}

// logStage adds a completed stage, its engine and its duration to the log line of the
// request.
func (j *job) logStage(stage string, e *engines.Engine, since time.Time) {
	j.logFields = append(j.logFields, stage, e.ID, stage+"_ms", j.router.now().Sub(since).Milliseconds())
}

// run checks the rate of the organisation and sends the request to engines, unless the
// caller has left or the deadline has passed already.
func (j *job) run(ctx context.Context) error {
	if ctx.Err() != nil {
		return fault.From(context.Cause(ctx)).WithRan(fault.NotRun)
	}
	if err := j.checkPlannedStop(); err != nil {
		return err
	}
	if err := j.checkExcluded(); err != nil {
		return err
	}
	admission := Admission{Granted: true, Refund: func() {}}
	if j.org != nil {
		admission = j.router.Admit(j.org, j.rateCost(), j.route.Priority)
	}
	if !admission.Granted {
		j.logRateRefusal(admission)
		return fault.New(fault.RateExceeded, "organisation %s is above its rate of %.0f a second with a burst of %d", j.org.Name, j.org.Rate, j.org.Burst).WithRetryAfter(admission.RetryAt)
	}
	j.router.retryBudget.countRequest(j.service.Name, j.router.now())
	end := j.router.durations.begin(j.service.Name, j.expectedOutput(), j.Received)
	defer end()
	var err error
	if j.service.Model != nil {
		err = j.serveModel(ctx)
	} else if err = j.servePlain(ctx); err == nil {
		j.router.durations.record(j.service.Name, j.expectedOutput(), j.router.now().Sub(j.Received))
	}
	if err != nil && fault.From(err).Ran == fault.NotRun {
		admission.Refund()
	}
	return err
}

// runAfterEnd does the work that is left after the end of the request.
func (j *job) runAfterEnd() {
	if j.afterEnd != nil {
		_ = j.boundary().Run("end of a request", j.afterEnd) // A panic is logged; the caller has been told the end.
	}
}

// logRateRefusal adds the reasons for a refusal by the rate to the log line of the request.
func (j *job) logRateRefusal(a Admission) {
	j.logFields = append(j.logFields, "rate_part", a.RateShare)
	if !a.CollectorAnsweredAt.IsZero() {
		j.logFields = append(j.logFields, "heard_ms", j.router.now().Sub(a.CollectorAnsweredAt).Milliseconds())
	}
	if a.Reserved > 0 {
		j.logFields = append(j.logFields, "reserved", a.Reserved)
		j.router.counters.refusedForReserve.Inc(1)
	}
}

// rateCost returns how much the request uses of its organisation's rate, in tokens or
// requests.
func (j *job) rateCost() ident.Tokens {
	if !j.org.CountsTokens {
		return 1
	}
	if !j.HasTokenCounts {
		return j.org.PlainRequestTokens
	}
	return j.PromptTokens + j.MaxOutputTokens
}

// boundary returns the boundary for panics in the work on the request.
func (j *job) boundary() contain.Boundary {
	return contain.Boundary{Log: log.With(j.router.log, "request", j.ID), Panics: j.router.counters.containedPanics}
}

// priority returns the priority of the request; 0 is the most urgent.
func (j *job) priority() int {
	if j.org != nil && j.org.HasPriority {
		return j.org.Priority
	}
	return j.route.Priority
}

// organisation returns the name of the organisation, or "" on open routes.
func (j *job) organisation() ident.OrganisationID {
	if j.org == nil {
		return ""
	}
	return j.org.Name
}

// reportOutcome logs and counts the outcome of the request.
func (j *job) reportOutcome(err error) {
	r := j.router
	tookMS := r.now().Sub(j.Received).Milliseconds()
	if j.headSent {
		j.logFields = append(j.logFields, "first_ms", j.headSentAt.Sub(j.Received).Milliseconds(), "status", j.status)
	}
	line := log.With(j.log, j.logFields...)
	if err == nil {
		r.counters.answered.Inc(1)
		_ = level.Info(line).Log("msg", event.Answered, "took_ms", tookMS, "calls", j.callCount)
		return
	}
	f := fault.From(err)
	outcome := event.Failed
	if f.Ran == fault.NotRun {
		outcome = event.Refused
		r.counters.refused.Inc(1)
		if !r.refusalLog.Allow(refusalKey{f.Kind, j.organisation(), j.route.Name}) {
			return
		}
	} else {
		r.counters.failed.Inc(1)
	}
	_ = level.Info(line).Log("msg", outcome, "kind", f.Kind, "ran", f.Ran, "begun", j.headSent, "took_ms", tookMS,
		"left_ms", j.deadline.Sub(r.now()).Milliseconds(), "calls", j.callCount, "last", j.lastEngine, "err", f)
}

// newCall returns a call to an engine with the fields that all calls have in common.
func (j *job) newCall(e *engines.Engine) Call {
	now := j.router.now()
	return Call{
		Engine:          e.Entry,
		Request:         j.Request,
		Organisation:    j.organisation(),
		Priority:        j.priority(),
		Deadline:        j.deadline,
		ConnectDeadline: now.Add(connectTimeout),
		PooledSince:     now.Add(-j.maxIdleTime()),
		LastEventID:     j.LastEventID,
	}
}

const (
	// connectTimeout is the time limit for a connection to an engine.
	connectTimeout = 150 * time.Millisecond
	// repeatableMaxIdle is how long a pooled connection may have been idle if it is used
	// for a repeatable request.
	repeatableMaxIdle = 10 * time.Second
	// onceMaxIdle is the limit for a request that must not run twice. It is lower, since
	// a recently used connection is less likely to have been closed by the engine.
	onceMaxIdle = 4 * time.Second
)

// maxIdleTime returns how long a pooled connection for the request may have been idle.
func (j *job) maxIdleTime() time.Duration {
	if j.repeatable() {
		return repeatableMaxIdle
	}
	return onceMaxIdle
}

// repeatable reports whether the request may run more than once.
func (j *job) repeatable() bool {
	return j.route.Kind == catalog.Idempotent || (j.route.Kind == catalog.Stream && j.route.Resumable)
}
