// Package request decides the way of a request: route, key, budget, placement,
// prefill, decode, resume, settlement and abort, or the call to a plain service.
package request

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/claims"
	"monsoonfork/core/config"
	"monsoonfork/core/ident"
	"monsoonfork/core/placement"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
	"monsoonfork/io/httpcall"
	"monsoonfork/io/service"
)

// Identity is whose key came with a request.
type Identity struct {
	Key          ident.KeyID
	Organisation ident.OrganisationID
}

// Placed is an attempt that has engines.
type Placed struct {
	ID          string // Request id of the attempt at the engines.
	Prefill     text.Engine
	Decode      text.Engine
	PrefillDone func()
	Close       func(placement.Outcome)
}

// Ticket is a claim on a call that may not be repeated. If Replay is not nil,
// the call ran before, and the functions are not used.
type Ticket struct {
	Replay   *claims.Answer
	Complete func(claims.Answer) // The call ran and gave this answer.
	Release  func()              // The call did not run.
	Abandon  func()              // What became of the call is not known.
}

// Path takes requests through their stages. Its function fields are seams to
// the roles that decide the stages; all are set before the first request.
type Path struct {
	// Current returns the newest text, or nil before the first one.
	Current func() *config.Snapshot
	// Verify returns whose key a token is, by the newest text.
	Verify func(token string) (Identity, error)
	// Admit charges an organisation. settle gives back what was not used.
	Admit func(ctx context.Context, org ident.OrganisationID, cost ident.Tokens) (settle func(used ident.Tokens), err error)
	// Place reserves engines for an attempt.
	Place func(ctx context.Context, r placement.Request) (*Placed, error)
	// Claim claims a call that may not be repeated.
	Claim func(ctx context.Context, c claims.Call) (*Ticket, error)
	// Prefill, Decode and Abort call engines.
	Prefill func(ctx context.Context, to ident.Address, p engine.PrefillCall) (engine.Prefilled, error)
	Decode  func(ctx context.Context, to ident.Address, d engine.DecodeCall, onDelta func(engine.Delta) error) (engine.Finish, error)
	Abort   func(ctx context.Context, to ident.Address, attempt string) (held bool, err error)
	// Send calls an endpoint of a plain service.
	Send func(ctx context.Context, to ident.Address, call service.Call, sink httpcall.Sink) error

	log      log.Logger
	now      func() time.Time
	domain   ident.DomainID
	counters counters
	running  running
	attempts attempts
	retries  retryBudget
	chooser  chooser

	background context.Context // Ends when Close gives up on aborts.
	stop       context.CancelFunc
	wg         sync.WaitGroup
}

// counters are the metrics of the way of a request.
type counters struct {
	requests      metrics.Counter
	failed        metrics.Counter
	retried       metrics.Counter // Attempts after the first.
	resumed       metrics.Counter // Of those, attempts that went on in mid-answer.
	retryRefused  metrics.Counter // Retries that the retry budget did not allow.
	keyCut        metrics.Counter // Running requests that a withdrawn key ended.
	prefillTokens metrics.Counter // Tokens that prefill engines computed.
	wastedTokens  metrics.Counter // Of those, tokens whose result was never decoded.
	firstToken    metrics.Timer   // From arrival to the first token.
}

// Option changes a new Path.
type Option func(*Path)

// WithMetrics registers the metrics in r.
func WithMetrics(r metrics.Registry) Option {
	return func(p *Path) { p.counters = newCounters(r) }
}

// WithClock sets the source of the time.
func WithClock(now func() time.Time) Option { return func(p *Path) { p.now = now } }

// New returns a Path of an instance in the domain, with all seams unset.
func New(domain ident.DomainID, logger log.Logger, opts ...Option) *Path {
	background, stop := context.WithCancel(context.Background())
	p := &Path{
		log:        log.With(logger, "part", "Request"),
		now:        time.Now,
		domain:     domain,
		counters:   newCounters(metrics.NewRegistry()),
		retries:    retryBudget{left: retryBurst},
		background: background,
		stop:       stop,
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
		keyCut:        metrics.GetOrRegisterCounter("Request.KeyCut", r),
		prefillTokens: metrics.GetOrRegisterCounter("Request.PrefillTokens", r),
		wastedTokens:  metrics.GetOrRegisterCounter("Request.WastedPrefillTokens", r),
		firstToken:    metrics.GetOrRegisterTimer("Request.FirstToken", r),
	}
}

// drainInterval is the time between two looks at what is still open.
const drainInterval = 20 * time.Millisecond

// Drain waits until no request is open and all aborts are acknowledged.
func (p *Path) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for p.running.count() > 0 || p.attempts.aborting() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// closeGrace is how long Close waits for aborts to be acknowledged.
const closeGrace = 2 * time.Second

// Close waits a little for aborts, ends those that are still tried, and waits.
func (p *Path) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeGrace)
	defer cancel()
	_ = p.Drain(ctx)
	p.stop()
	p.wg.Wait()
}

// Dump is the state of the way of requests.
type Dump struct {
	Running  []RunningDump
	Attempts int // Held at engines.
	Aborting int // Aborts not acknowledged yet.
}

// Dump returns the state for operators.
func (p *Path) Dump() Dump {
	return Dump{Running: p.running.dump(), Attempts: p.attempts.heldCount(), Aborting: p.attempts.aborting()}
}

// Holds reports which of the attempts this instance still serves.
func (p *Path) Holds(ids []string) []bool { return p.attempts.holds(ids) }

// Verifier returns whose key a token is. The role that knows the keys provides
// it. Its errors have the kind Unauthenticated.
type Verifier func(token string) (Identity, error)
