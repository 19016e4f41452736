// Package reaper aborts attempts that still hold engine memory although no instance
// serves their requests any more. An attempt is one run of a request on a prefill and
// a decode engine.
package reaper

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/event"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Tuning contains the reaper's intervals and timeouts.
type Tuning struct {
	SweepInterval time.Duration // Time between two listings of an engine.
	QueryDelay    time.Duration // Age of an attempt, since first listed, at the first query to its holder.
	QueryInterval time.Duration // Time between two queries about the same attempt.
	EndedGrace    time.Duration // Time between the end of a holder and the abort of its attempts.
	ExpiryMargin  time.Duration // An attempt older than the longest route timeout by this is aborted.
	CallTimeout   time.Duration // Timeout of a listing or a query.
	AbortTimeout  time.Duration // Timeout of one abort, including retries.
}

// DefaultTuning returns the values used in production.
func DefaultTuning() Tuning {
	return Tuning{
		SweepInterval: 2 * time.Second,
		QueryDelay:    8 * time.Second,
		QueryInterval: 8 * time.Second,
		EndedGrace:    time.Second,
		ExpiryMargin:  10 * time.Second,
		CallTimeout:   2 * time.Second,
		AbortTimeout:  20 * time.Second,
	}
}

// HolderState is the known state of an attempt's holder: the process that started it.
type HolderState int

//go:generate stringer -type=HolderState -output=reaper_string.go

// States of a holder.
const (
	Unknown HolderState = iota // May be alive: unresponsive, partitioned, paused, or not in the member table.
	Alive                      // Responds to other instances.
	Ended                      // Its process is confirmed to have ended.
)

// HolderReply is the reply of a holder to the question which attempts it serves.
type HolderReply struct {
	Held  []bool // Whether it serves each attempt, in the order of the query; nil without a reply.
	Ended bool   // Another process answers at the holder's address, or the address refuses connections.
}

// Reaper aborts orphaned attempts at the engines assigned to this instance. Its
// function fields are the interfaces to other components and must be set before Run.
type Reaper struct {
	// Engines returns the engines currently assigned to this instance.
	Engines func() []text.Engine
	// LongestRouteTimeout returns the longest timeout of any route, or 0 if
	// unknown; then no attempt expires.
	LongestRouteTimeout func() time.Duration
	// HolderState returns the state of a holder according to membership.
	HolderState func(ident.InstanceID) HolderState
	// QueryHolder asks a holder which of the attempts it serves.
	QueryHolder func(ctx context.Context, holder ident.InstanceID, attempts []string) HolderReply
	// ListAttempts returns the attempts at an engine, with their holders. Abort
	// aborts one; held reports whether the engine had it.
	ListAttempts func(ctx context.Context, to ident.Address) ([]engineapi.HeldRequest, error)
	Abort        func(ctx context.Context, to ident.Address, attempt string) (held bool, err error)

	log     log.Logger
	now     func() time.Time
	tuning  Tuning
	metrics reaperMetrics

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	tracked map[attemptKey]*trackedAttempt
}

// attemptKey identifies an attempt at an engine.
type attemptKey struct {
	engine  ident.EndpointID
	attempt string
}

// trackedAttempt is the state of an attempt listed by an engine.
type trackedAttempt struct {
	holder      ident.InstanceID
	firstSeen   time.Time
	nextQueryAt time.Time // Time of the next query to the holder.
	endedAt     time.Time // When the holder was first found to have ended; zero before.
	refusals    int       // Consecutive queries answered with Ended.
	aborting    bool      // An abort is in progress.
}

// reaperMetrics count started aborts by reason, and failed aborts. An abort that a
// later sweep repeats is counted again.
type reaperMetrics struct {
	ended   metrics.Counter // The holder's process had ended.
	notHeld metrics.Counter // The holder replied that it does not serve the attempt.
	expired metrics.Counter // The attempt was older than the longest route timeout.
	failed  metrics.Counter // Aborts that were not acknowledged.
}

// Option configures a new Reaper.
type Option func(*Reaper)

// WithTuning sets the intervals and timeouts.
func WithTuning(t Tuning) Option { return func(r *Reaper) { r.tuning = t } }

// WithMetrics registers the metrics in registry.
func WithMetrics(registry metrics.Registry) Option {
	return func(r *Reaper) { r.metrics = newMetrics(registry) }
}

// newMetrics registers the metrics in r.
func newMetrics(r metrics.Registry) reaperMetrics {
	return reaperMetrics{
		ended:   metrics.GetOrRegisterCounter("Reaper.HolderEnded", r),
		notHeld: metrics.GetOrRegisterCounter("Reaper.NotHeld", r),
		expired: metrics.GetOrRegisterCounter("Reaper.Expired", r),
		failed:  metrics.GetOrRegisterCounter("Reaper.AbortFailed", r),
	}
}

// New returns a reaper with unset function fields. The caller must start it with Run.
func New(logger log.Logger, opts ...Option) *Reaper {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reaper{
		log:     log.With(logger, "part", "Reaper"),
		now:     time.Now,
		tuning:  DefaultTuning(),
		metrics: newMetrics(metrics.NewRegistry()),
		ctx:     ctx,
		cancel:  cancel,
		tracked: make(map[attemptKey]*trackedAttempt),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Run starts a goroutine that sweeps at every interval until Close.
func (r *Reaper) Run() {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		ticker := time.NewTicker(r.tuning.SweepInterval)
		defer ticker.Stop()
		for {
			select {
			case <-r.ctx.Done():
				return
			case <-ticker.C:
				r.sweep()
			}
		}
	}()
}

// Close stops the sweeps, cancels the aborts in progress and waits for both.
func (r *Reaper) Close() error {
	r.cancel()
	r.wg.Wait()
	return nil
}

// abort aborts an attempt in the background.
func (r *Reaper) abort(e text.Engine, attempt string, w *trackedAttempt, reason string) {
	_ = level.Info(r.log).Log("msg", event.AbortingOrphan, "request", string(ident.RequestIDOfAttempt(attempt)), "engine", string(e.Name), "attempt", attempt, "holder", string(w.holder), "reason", reason)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		ctx, cancel := context.WithTimeout(r.ctx, r.tuning.AbortTimeout)
		defer cancel()
		_, err := r.Abort(ctx, e.Address, attempt)
		if err != nil {
			r.metrics.failed.Inc(1)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		// If the engine still lists the attempt, the next sweep aborts it again.
		w.aborting = false
	}()
}

// Dump is the state of the reaper, for operators.
type Dump struct {
	Engines  []ident.EndpointID
	Attempts []AttemptDump `json:"Work"`
}

// AttemptDump describes an attempt that the reaper tracks.
type AttemptDump struct {
	Engine    ident.EndpointID
	Attempt   string
	Holder    ident.InstanceID
	FirstSeen time.Time
	Aborting  bool
}

// Dump returns the current state.
func (r *Reaper) Dump() Dump {
	d := Dump{Engines: []ident.EndpointID{}, Attempts: []AttemptDump{}}
	for _, e := range r.Engines() {
		d.Engines = append(d.Engines, e.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, w := range r.tracked {
		d.Attempts = append(d.Attempts, AttemptDump{k.engine, k.attempt, w.holder, w.firstSeen, w.aborting})
	}
	return d
}
