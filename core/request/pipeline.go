// Package request runs a request through its stages: routing, key check, admission
// against the organisation's budget, placement, prefill and decode with resumption
// after failures, settlement and aborts; or the call to a plain service.
package request

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/claims"
	"monsoonfork/core/config"
	"monsoonfork/core/endpoint"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/ident"
	"monsoonfork/core/placement"
	"monsoonfork/core/text"
)

// Identity identifies the key of a request and the organisation that owns it.
type Identity struct {
	Key          ident.KeyID
	Organisation ident.OrganisationID
}

// VerifiedKey is the result of a successful key check.
type VerifiedKey struct {
	Identity
	// OnWithdrawal calls end when the key is withdrawn, or immediately if it already
	// has been. Calling stop ends the watch.
	OnWithdrawal func(end func(error)) (stop func())
}

// PlacedAttempt is an attempt with the engines reserved for it.
type PlacedAttempt struct {
	ID          string // Id of the attempt in calls to engines.
	Prefill     text.Engine
	Decode      text.Engine
	PrefillDone func()                  // Reports that the prefill has succeeded.
	Close       func(placement.Outcome) // Ends the reservation with the attempt's outcome.
}

// ClaimTicket is a granted claim on a call that is sent at most once. If Replay is not
// nil, the call ran earlier with that answer, and the functions are not used.
type ClaimTicket struct {
	Replay   *claims.Answer
	Complete func(claims.Answer) // Records that the call ran with this answer.
	Release  func()              // Records that the call did not run.
	Abandon  func()              // Leaves the claim in place: the outcome of the call is unknown.
}

// Pipeline runs requests through their stages. Its function fields are the interfaces
// to the components that implement the stages; all must be set before the first
// request.
type Pipeline struct {
	// CurrentConfig returns the current configuration, or nil before the first one is
	// loaded.
	CurrentConfig func() *config.Snapshot
	// Verify checks a token against the keys of the current configuration.
	Verify func(token string) (VerifiedKey, error)
	// Admit charges cost to an organisation. settle returns the unused part of
	// the charge.
	Admit func(ctx context.Context, org ident.OrganisationID, cost ident.Tokens) (settle func(used ident.Tokens), err error)
	// Place reserves engines for an attempt.
	Place func(ctx context.Context, r placement.Request) (*PlacedAttempt, error)
	// Claim claims a call that is sent at most once, by its Idempotency-Key.
	Claim func(ctx context.Context, c claims.Call) (*ClaimTicket, error)
	// Prefill, Decode and Abort call engines. held reports whether the engine had
	// the attempt.
	Prefill func(ctx context.Context, to ident.Address, p engineapi.PrefillCall) (engineapi.PrefillResult, error)
	Decode  func(ctx context.Context, to ident.Address, d engineapi.DecodeCall, onDelta func(engineapi.Delta) error) (engineapi.Finish, error)
	Abort   func(ctx context.Context, to ident.Address, attempt string) (held bool, err error)
	// Send calls an endpoint of a plain service.
	Send func(ctx context.Context, to ident.Address, call endpoint.ServiceCall, sink endpoint.Sink) error

	log         log.Logger
	now         func() time.Time
	domain      ident.DomainID
	counters    counters
	sessions    sessionTable
	attempts    attemptTable
	retryBudget retryBudget
	endpoints   endpointSelector

	abortCtx     context.Context // Cancelled when Close stops waiting for aborts.
	cancelAborts context.CancelFunc
	wg           sync.WaitGroup
}

// counters are the metrics of requests.
type counters struct {
	requests      metrics.Counter
	failed        metrics.Counter
	retried       metrics.Counter // Attempts after the first.
	resumed       metrics.Counter // Of those, attempts that resumed a partly delivered answer.
	retryRefused  metrics.Counter // Retries refused by the retry budget.
	prefillTokens metrics.Counter // Tokens that prefill engines computed.
	wastedTokens  metrics.Counter // Of those, tokens whose result was never decoded.
	firstToken    metrics.Timer   // Time from the arrival of a request to its first token.

	containedPanics metrics.Counter // Panics that ended only a call.
}

// Option configures a new Pipeline.
type Option func(*Pipeline)

// WithMetrics registers the metrics in r.
func WithMetrics(r metrics.Registry) Option {
	return func(p *Pipeline) { p.counters = newCounters(r) }
}

// WithClock sets the function that returns the current time.
func WithClock(now func() time.Time) Option { return func(p *Pipeline) { p.now = now } }

// New returns a Pipeline for an instance in the given failure domain. Its function
// fields are not set.
func New(domain ident.DomainID, logger log.Logger, opts ...Option) *Pipeline {
	abortCtx, cancelAborts := context.WithCancel(context.Background())
	p := &Pipeline{
		log:          log.With(logger, "part", "Request"),
		now:          time.Now,
		domain:       domain,
		counters:     newCounters(metrics.NewRegistry()),
		retryBudget:  retryBudget{balance: retryBurst},
		abortCtx:     abortCtx,
		cancelAborts: cancelAborts,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// newCounters registers the metrics in r.
func newCounters(r metrics.Registry) counters {
	return counters{
		requests:      metrics.GetOrRegisterCounter("Request.Requests", r),
		failed:        metrics.GetOrRegisterCounter("Request.Failed", r),
		retried:       metrics.GetOrRegisterCounter("Request.Retried", r),
		resumed:       metrics.GetOrRegisterCounter("Request.Resumed", r),
		retryRefused:  metrics.GetOrRegisterCounter("Request.RetryRefused", r),
		prefillTokens: metrics.GetOrRegisterCounter("Request.PrefillTokens", r),
		wastedTokens:  metrics.GetOrRegisterCounter("Request.WastedPrefillTokens", r),
		firstToken:    metrics.GetOrRegisterTimer("Request.FirstToken", r),

		containedPanics: metrics.GetOrRegisterCounter("Request.ContainedPanics", r),
	}
}

// drainPollInterval is the time between two checks for open requests and aborts.
const drainPollInterval = 20 * time.Millisecond

// Drain waits until no request is open and all aborts are acknowledged.
func (p *Pipeline) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for p.sessions.count() > 0 || p.attempts.pendingAbortCount() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// closeTimeout is how long Close waits for aborts to be acknowledged.
const closeTimeout = 2 * time.Second

// Close waits up to closeTimeout for open requests and aborts, cancels the remaining
// aborts, and waits for all background work to end.
func (p *Pipeline) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = p.Drain(ctx)
	p.cancelAborts()
	p.wg.Wait()
}

// Dump is the state of a Pipeline, for operators.
type Dump struct {
	Running  []SessionDump
	Attempts int // Attempts running at engines.
	Aborting int // Aborts that are not yet acknowledged.
}

// Dump returns the current state.
func (p *Pipeline) Dump() Dump {
	return Dump{Running: p.sessions.dump(), Attempts: p.attempts.count(), Aborting: p.attempts.pendingAbortCount()}
}

// ServesAttempts reports for each attempt id, in order, whether this instance still
// serves the attempt.
func (p *Pipeline) ServesAttempts(ids []string) []bool { return p.attempts.contains(ids) }
