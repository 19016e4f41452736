// Package orders sends orders to the engines of a failure domain until they serve
// the models, versions, adapters and roles that the configuration text declares.
// One instance of the domain, the controller, does so at a time. It holds a lease
// in the platform's key-value store, and its orders carry a fencing number.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/config"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Controller compares the engines of the domain with the configuration text and
// sends orders while this instance holds the lease. Tests replace its exported
// function fields.
type Controller struct {
	// IsOwner reports whether this instance is the one that should hold the lease.
	IsOwner func() bool
	// Snapshot returns the newest configuration, or nil if none has arrived yet.
	Snapshot func() *config.Snapshot
	// State reads what an engine serves, Requests lists the requests that it holds,
	// and Send sends it an order.
	State    func(ctx context.Context, to ident.Address) (engineapi.State, error)
	Requests func(ctx context.Context, to ident.Address) ([]engineapi.HeldRequest, error)
	Send     func(ctx context.Context, to ident.Address, o engineapi.Order, s engineapi.OrderLimits) error

	domain         ident.DomainID
	log            log.Logger
	now            func() time.Time
	tuning         Tuning
	metrics        orderMetrics
	leases         *leaseManager
	reconcileSlots chan struct{} // Semaphore: one element for each comparison in progress.

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu             sync.Mutex
	leaving        bool                           // A planned stop has begun.
	fencing        ident.Epoch                    // Fencing number under which the records were made.
	revision       ident.Revision                 // Newest revision of the configuration text that was seen.
	text           *text.Text                     // Newest configuration text that was seen, also without the lease.
	elsewhere      map[ident.EndpointID]time.Time // When the last order of another domain's controller has ended, for engines that a text listed there.
	engines        map[ident.EndpointID]*engineRecord
	versionChanges map[pool]versionChange
	activeLoads    int   // Orders in progress that read from the weight store.
	sequence       int64 // Number of orders created so far, used in their ids.
}

// engineRecord is the controller's record of one engine.
type engineRecord struct {
	busy             bool           // A comparison or an order is in progress.
	orderInFlight    bool           // An order is in progress.
	comparedRevision ident.Revision // Revision of the configuration text used in the last comparison.
	phase            Phase
	reason           string
	dueAt            time.Time // Time of the next comparison.
	notBefore        time.Time // No order is sent before this time, because an earlier one may still be running.
	leavingSince     time.Time // When this instance first saw the engine marked as Leaving; zero if it is not.
	failures         int       // Consecutive failed comparisons and orders.
	agreedAt         time.Time // When the engine last agreed with the configuration text.
}

// Phase is the progress of an engine towards its declared state.
type Phase int

//go:generate stringer -type=Phase -linecomment -output=orders_string.go

// The phases of an engine. A line comment is the name in JSON.
const (
	// NotCompared means not compared yet since this instance acquired the lease.
	NotCompared Phase = iota // Unseen
	// Agreed means that the engine serves what the configuration text declares.
	Agreed
	// Waiting means that the engine differs; the reason says what the next order is waiting for.
	Waiting
	// OrderInProgress means that an order is in progress.
	OrderInProgress // Ordering
	// Unreachable means that the state of the engine cannot be read.
	Unreachable
)

// MarshalText implements encoding.TextMarshaler.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Phase) UnmarshalText(b []byte) error {
	for candidate := NotCompared; candidate <= Unreachable; candidate++ {
		if candidate.String() == string(b) {
			*p = candidate
			return nil
		}
	}
	return fault.New(fault.BadRequest, "unknown phase %q", b)
}

// Option configures a new Controller.
type Option func(*Controller)

// WithTuning sets the intervals, timeouts and limits.
func WithTuning(t Tuning) Option { return func(c *Controller) { c.tuning = t } }

// WithNow sets the function that returns the current time.
func WithNow(now func() time.Time) Option { return func(c *Controller) { c.now = now } }

// WithMetrics registers the metrics in r.
func WithMetrics(r metrics.Registry) Option {
	return func(c *Controller) { c.metrics = newMetrics(r) }
}

// newController returns a controller that is not running yet. The caller sets
// its exported function fields before Run.
func newController(domain ident.DomainID, self ident.InstanceID, store leaseStore, logger log.Logger, opts ...Option) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		domain:         domain,
		log:            log.With(logger, "part", "Orders"),
		now:            time.Now,
		tuning:         DefaultTuning(),
		metrics:        newMetrics(metrics.NewRegistry()),
		ctx:            ctx,
		cancel:         cancel,
		engines:        make(map[ident.EndpointID]*engineRecord),
		elsewhere:      make(map[ident.EndpointID]time.Time),
		versionChanges: make(map[pool]versionChange),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.reconcileSlots = make(chan struct{}, c.tuning.MaxReconciles)
	c.leases = &leaseManager{store: store, self: self, log: c.log, now: c.now, tuning: c.tuning}
	return c
}

// Run starts the loops that maintain the lease and compare engines. They run
// until Close.
func (c *Controller) Run() {
	c.wg.Add(2)
	go c.runEvery(c.tuning.TickInterval, c.maintainLease)
	go c.runEvery(c.tuning.TickInterval, c.reconcileDue)
}

// runEvery calls f at an interval until Close.
func (c *Controller) runEvery(interval time.Duration, f func()) {
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

// maintainLease renews the lease. If this instance is the owner but does not hold
// the lease, it tries to acquire it, at intervals of AcquireInterval.
func (c *Controller) maintainLease() {
	c.mu.Lock()
	leaving := c.leaving
	c.mu.Unlock()
	owner := c.IsOwner() && !leaving
	_, held := c.leases.currentGrant()
	c.leases.maintain(c.ctx, owner)
	g, holds := c.leases.currentGrant()
	c.metrics.isController.Update(boolGauge(holds))
	if holds && !held {
		c.metrics.takeovers.Inc(1)
		c.metrics.fencing.Update(int64(g.Fencing))
	}
	if owner && !holds {
		c.sleep(c.tuning.AcquireInterval)
	}
}

// sleep waits for a duration or until Close.
func (c *Controller) sleep(d time.Duration) {
	select {
	case <-c.ctx.Done():
	case <-time.After(d):
	}
}

// Leave begins a planned stop: the lease is released so that another instance can
// acquire it.
func (c *Controller) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}

// Drain waits until the lease is released and no order is in progress.
func (c *Controller) Drain(ctx context.Context) error {
	c.Leave()
	for {
		if _, holds := c.leases.currentGrant(); !holds && !c.hasOrderInFlight() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(c.tuning.TickInterval):
		}
	}
}

// hasOrderInFlight reports whether an order is in progress.
func (c *Controller) hasOrderInFlight() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.engines {
		if e.orderInFlight {
			return true
		}
	}
	return false
}

// Close stops the loops, waits for work in progress and releases the lease.
func (c *Controller) Close() error {
	c.cancel()
	c.wg.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), c.tuning.DeliveryTimeout)
	defer cancel()
	c.leases.release(ctx, "the instance is stopping")
	return nil
}

// domainEngines returns the engines that a configuration text lists for the
// domain.
func (c *Controller) domainEngines(t *text.Text) []text.Engine {
	var mine []text.Engine
	for _, e := range t.Engines {
		if e.Domain == c.domain {
			mine = append(mine, e)
		}
	}
	return mine
}
