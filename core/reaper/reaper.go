// Package reaper frees engine memory that is held for requests which nobody
// serves any more.
package reaper

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/event"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
)

// Tuning are the times by which the reaper judges.
type Tuning struct {
	SweepEvery  time.Duration // Between two listings of an engine.
	AskAfter    time.Duration // Work seen for this long is asked after at its holder.
	AskEvery    time.Duration // Between two questions about the same work.
	DeadFor     time.Duration // A holder known to have ended is given this time.
	AfterLimit  time.Duration // Work older than every time limit by this is nobody's.
	CallTimeout time.Duration // Of a listing or a question.
	AbortTries  time.Duration // How long one abort is tried.
}

// DefaultTuning returns the times for production.
func DefaultTuning() Tuning {
	return Tuning{
		SweepEvery:  2 * time.Second,
		AskAfter:    8 * time.Second,
		AskEvery:    8 * time.Second,
		DeadFor:     time.Second,
		AfterLimit:  10 * time.Second,
		CallTimeout: 2 * time.Second,
		AbortTries:  20 * time.Second,
	}
}

// HolderState is what is known of the process that started a piece of work.
type HolderState int

//go:generate stringer -type=HolderState -output=reaper_string.go

// The states of a holder.
const (
	Unknown HolderState = iota // May live: silent, cut off, paused, or never heard of.
	Alive                      // Answers.
	Ended                      // Its process has ended for sure.
)

// Answer is a holder's answer about some attempts.
type Answer struct {
	Held  []bool // In the order of the question; nil if there was no answer.
	Ended bool   // Another process answers at the holder's address, or none can.
}

// Reaper looks at the engines that this instance is the reaper of. Its function
// fields are seams.
type Reaper struct {
	// Engines returns the engines that this instance looks after now.
	Engines func() []text.Engine
	// LongestLimit returns the longest time limit of any route.
	LongestLimit func() time.Duration
	// HolderState returns what membership knows of a holder.
	HolderState func(ident.InstanceID) HolderState
	// Ask asks a holder which attempts it serves.
	Ask func(ctx context.Context, holder ident.InstanceID, attempts []string) Answer
	// List and Abort call an engine.
	List  func(ctx context.Context, to ident.Address) ([]engine.Held, error)
	Abort func(ctx context.Context, to ident.Address, attempt string) (held bool, err error)

	log     log.Logger
	now     func() time.Time
	tuning  Tuning
	metrics reaperMetrics

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	seen map[workKey]*work
}

// workKey names a piece of work at an engine.
type workKey struct {
	engine  ident.EndpointID
	attempt string
}

// work is what the reaper knows of a piece of work.
type work struct {
	holder    ident.InstanceID
	firstSeen time.Time
	askAt     time.Time // Next question.
	endedAt   time.Time // When the holder was first known to have ended.
	refusals  int       // Questions in a row that its address refused.
	aborting  bool
}

// reaperMetrics count what was freed, by the reason.
type reaperMetrics struct {
	ended   metrics.Counter // The holder's process had ended.
	notHeld metrics.Counter // The holder said that it does not serve the work.
	expired metrics.Counter // Older than every time limit.
	failed  metrics.Counter // Aborts that were not acknowledged.
}

// Option changes a new Reaper.
type Option func(*Reaper)

// WithTuning sets the times.
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

// New returns a reaper that does not run yet, with all seams unset.
func New(logger log.Logger, opts ...Option) *Reaper {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reaper{
		log:     log.With(logger, "part", "Reaper"),
		now:     time.Now,
		tuning:  DefaultTuning(),
		metrics: newMetrics(metrics.NewRegistry()),
		ctx:     ctx,
		cancel:  cancel,
		seen:    make(map[workKey]*work),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Run sweeps until Close.
func (r *Reaper) Run() {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		ticker := time.NewTicker(r.tuning.SweepEvery)
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

// Close ends the sweeps and the aborts under way, and waits.
func (r *Reaper) Close() error {
	r.cancel()
	r.wg.Wait()
	return nil
}

// abort frees one piece of work in the background.
func (r *Reaper) abort(e text.Engine, attempt string, w *work, reason string) {
	_ = level.Info(r.log).Log("msg", event.FreeingMemory, "request", string(ident.RequestOfAttempt(attempt)), "engine", string(e.Name), "attempt", attempt, "holder", string(w.holder), "reason", reason)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		ctx, cancel := context.WithTimeout(r.ctx, r.tuning.AbortTries)
		defer cancel()
		_, err := r.Abort(ctx, e.Address, attempt)
		if err != nil {
			r.metrics.failed.Inc(1)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		// If the engine still lists the work, the next sweep tries again.
		w.aborting = false
	}()
}

// Dump is the state of the reaper.
type Dump struct {
	Engines []ident.EndpointID
	Work    []WorkDump
}

// WorkDump is one piece of work that the reaper has seen.
type WorkDump struct {
	Engine    ident.EndpointID
	Attempt   string
	Holder    ident.InstanceID
	FirstSeen time.Time
	Aborting  bool
}

// Dump returns the state for operators.
func (r *Reaper) Dump() Dump {
	d := Dump{Engines: []ident.EndpointID{}, Work: []WorkDump{}}
	for _, e := range r.Engines() {
		d.Engines = append(d.Engines, e.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, w := range r.seen {
		d.Work = append(d.Work, WorkDump{k.engine, k.attempt, w.holder, w.firstSeen, w.aborting})
	}
	return d
}
