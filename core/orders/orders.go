// Package orders gives orders to the engines of a failure domain until they
// serve what the text declares. One instance of the domain does so at a time,
// under a lease and with a fencing number from the store.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/config"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
)

// Controller compares the engines of the domain with the text and gives orders
// while it holds the lease. Its exported function fields are seams.
type Controller struct {
	// Owner reports whether this instance is the one that should hold the lease.
	Owner func() bool
	// Snapshot returns the newest text, or nil before there is one.
	Snapshot func() *config.Snapshot
	// State, Requests and Send call an engine.
	State    func(ctx context.Context, to ident.Address) (engine.State, error)
	Requests func(ctx context.Context, to ident.Address) ([]engine.Held, error)
	Send     func(ctx context.Context, to ident.Address, o engine.Order, s engine.Sending) error

	domain  ident.DomainID
	log     log.Logger
	now     func() time.Time
	tuning  Tuning
	metrics orderMetrics
	tenure  *tenure
	looks   chan struct{} // Holds one element for each look under way.

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	leaving  bool
	fencing  ident.Epoch // Of the grant that the entries belong to.
	revision ident.Revision
	engines  map[ident.EndpointID]*entry
	turns    map[pool]turn
	loading  int   // Orders under way that read from the weight store.
	sequence int64 // Orders made so far, for their ids.
}

// entry is what the controller knows of one engine.
type entry struct {
	busy      bool           // A look or an order is under way.
	ordering  bool           // An order is under way.
	revision  ident.Revision // Of the text that the last look compared with.
	phase     Phase
	reason    string
	lookAt    time.Time // Next look.
	notBefore time.Time // No order before: an earlier one may still be under way.
	leavingAt time.Time // Since when the text marks it as leaving, as seen here; zero if it does not.
	failures  int       // Looks and orders that failed, in a row.
	agreedAt  time.Time // When it last agreed with the text.
}

// Phase is how far an engine is.
type Phase int

//go:generate stringer -type=Phase -output=orders_string.go

// The phases of an engine.
const (
	Unseen      Phase = iota // Not looked at yet under this lease.
	Agreed                   // Serves what the text declares.
	Waiting                  // Differs; the reason says what the next order waits for.
	Ordering                 // An order is under way.
	Unreachable              // Does not answer.
)

// MarshalText writes a phase.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a phase.
func (p *Phase) UnmarshalText(b []byte) error {
	for candidate := Unseen; candidate <= Unreachable; candidate++ {
		if candidate.String() == string(b) {
			*p = candidate
			return nil
		}
	}
	return fault.New(fault.BadRequest, "unknown phase %q", b)
}

// Option changes a new Controller.
type Option func(*Controller)

// WithTuning sets the times and limits.
func WithTuning(t Tuning) Option { return func(c *Controller) { c.tuning = t } }

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(c *Controller) { c.now = now } }

// WithMetrics registers the metrics in r.
func WithMetrics(r metrics.Registry) Option {
	return func(c *Controller) { c.metrics = newMetrics(r) }
}

// newController returns a controller that does not run yet, with all seams
// unset.
func newController(domain ident.DomainID, self ident.InstanceID, r registry, logger log.Logger, opts ...Option) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		domain:  domain,
		log:     log.With(logger, "part", "Orders"),
		now:     time.Now,
		tuning:  DefaultTuning(),
		metrics: newMetrics(metrics.NewRegistry()),
		ctx:     ctx,
		cancel:  cancel,
		engines: make(map[ident.EndpointID]*entry),
		turns:   make(map[pool]turn),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.looks = make(chan struct{}, c.tuning.Looks)
	c.tenure = &tenure{registry: r, self: self, log: c.log, now: c.now, tuning: c.tuning}
	return c
}

// Run works until Close.
func (c *Controller) Run() {
	c.wg.Add(2)
	go c.every(c.tuning.Tick, c.keepLease)
	go c.every(c.tuning.Tick, c.lookAtDue)
}

// every calls f at an interval until Close.
func (c *Controller) every(interval time.Duration, f func()) {
	defer c.wg.Done()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// keepLease renews the lease, or tries to get it at a longer interval.
func (c *Controller) keepLease() {
	c.mu.Lock()
	leaving := c.leaving
	c.mu.Unlock()
	owner := c.Owner() && !leaving
	_, held := c.tenure.current()
	c.tenure.keep(c.ctx, owner)
	g, holds := c.tenure.current()
	c.metrics.holding.Update(boolGauge(holds))
	if holds && !held {
		c.metrics.takeovers.Inc(1)
		c.metrics.fencing.Update(int64(g.Fencing))
	}
	if owner && !holds {
		c.pause(c.tuning.TakeEvery)
	}
}

// pause waits, or until Close.
func (c *Controller) pause(d time.Duration) {
	select {
	case <-c.ctx.Done():
	case <-time.After(d):
	}
}

// Leave lets another instance take over: a planned stop begins.
func (c *Controller) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}

// Drain waits until the lease is given up and no order is under way.
func (c *Controller) Drain(ctx context.Context) error {
	c.Leave()
	for {
		if _, holds := c.tenure.current(); !holds && !c.anyOrdering() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(c.tuning.Tick):
		}
	}
}

// anyOrdering reports whether an order is under way.
func (c *Controller) anyOrdering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.engines {
		if e.ordering {
			return true
		}
	}
	return false
}

// Close ends all work, waits, and gives the lease up.
func (c *Controller) Close() error {
	c.cancel()
	c.wg.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), c.tuning.DeliverWithin)
	defer cancel()
	c.tenure.release(ctx, "the instance stops")
	return nil
}

// domainEngines returns the engines of the domain in a text.
func (c *Controller) domainEngines(t *text.Text) []text.Engine {
	var mine []text.Engine
	for _, e := range t.Engines {
		if e.Domain == c.domain {
			mine = append(mine, e)
		}
	}
	return mine
}
