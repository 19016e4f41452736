package placement

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/config"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
	"monsoonfork/core/text"
)

// Names of the methods that instances call.
const (
	methodPlace  = "Placement.Place"
	methodEvents = "Placement.Events"
	methodHeld   = "Placement.Held"
	methodRoom   = "Placement.Room"
)

// Placement is the placement of one daemon: the entry side, and the
// dispatchers that this instance owns.
type Placement struct {
	self     ident.InstanceID
	domain   ident.DomainID
	log      log.Logger
	links    *link.Links
	table    *membership.Table
	holder   *config.Holder
	engines  Engines
	now      func() time.Time
	tuning   Tuning
	learn    bool // Whether a new dispatcher learns what is held.
	baseline *baseline
	metrics  serviceMetrics

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	closed      bool
	dispatchers map[ident.ModelID]*runner
	outboxes    map[shardKey]*outbox

	leaseMu sync.Mutex
	leases  map[LeaseID]keyedLease
}

// keyedLease is an open lease with its dispatcher.
type keyedLease struct {
	key   shardKey
	lease *Lease
}

// serviceMetrics are the metrics of placement.
type serviceMetrics struct {
	placed   metrics.Counter
	refused  metrics.Counter
	moved    metrics.Counter
	handOver metrics.Counter
	wait     metrics.Timer
	learning metrics.Timer
}

// ServiceOption changes a new Placement.
type ServiceOption func(*Placement)

// WithEngines sets the calls to engines.
func WithEngines(e Engines) ServiceOption { return func(p *Placement) { p.engines = e } }

// WithoutLearning makes new dispatchers place at once, without learning what
// is held. It is there to measure the difference.
func WithoutLearning() ServiceOption { return func(p *Placement) { p.learn = false } }

// WithServiceTuning sets the parameters of the decisions.
func WithServiceTuning(t Tuning) ServiceOption { return func(p *Placement) { p.tuning = t } }

// WithRegistry registers the metrics in r.
func WithRegistry(r metrics.Registry) ServiceOption {
	return func(p *Placement) { p.metrics = newServiceMetrics(r) }
}

// newServiceMetrics registers the metrics in r.
func newServiceMetrics(r metrics.Registry) serviceMetrics {
	return serviceMetrics{
		placed:   metrics.GetOrRegisterCounter("Placement.Placed", r),
		refused:  metrics.GetOrRegisterCounter("Placement.Refused", r),
		moved:    metrics.GetOrRegisterCounter("Placement.SentElsewhere", r),
		handOver: metrics.GetOrRegisterCounter("Placement.Dispatchers", r),
		wait:     metrics.GetOrRegisterTimer("Placement.Wait", r),
		learning: metrics.GetOrRegisterTimer("Placement.Learning", r),
	}
}

// New returns the placement of a daemon and registers its methods with links.
// Start has to be called next.
func New(links *link.Links, table *membership.Table, holder *config.Holder, logger log.Logger, opts ...ServiceOption) *Placement {
	ctx, cancel := context.WithCancel(context.Background())
	self := table.Self()
	p := &Placement{
		self:        self.ID,
		domain:      self.Domain,
		log:         log.With(logger, "part", "Placement"),
		links:       links,
		table:       table,
		holder:      holder,
		now:         time.Now,
		tuning:      DefaultTuning(),
		learn:       true,
		metrics:     newServiceMetrics(metrics.NewRegistry()),
		ctx:         ctx,
		cancel:      cancel,
		dispatchers: make(map[ident.ModelID]*runner),
		outboxes:    make(map[shardKey]*outbox),
		leases:      make(map[LeaseID]keyedLease),
	}
	for _, o := range opts {
		o(p)
	}
	p.baseline = newBaseline(p)
	p.registerHandlers()
	return p
}

// Start follows the members and the text.
func (p *Placement) Start() {
	changed := make(chan struct{}, 1)
	notify := func() {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
	p.table.Subscribe(func(*membership.View) { notify() })
	unsubscribe := p.holder.Subscribe(func(*config.Snapshot) { notify() })
	p.goRun(func() {
		defer unsubscribe()
		for {
			select {
			case <-p.ctx.Done():
				return
			case <-changed:
				p.follow()
			}
		}
	})
	p.goRun(func() { p.baseline.pollLoads(p.ctx) })
}

// goRun runs f on a goroutine that Close waits for.
func (p *Placement) goRun(f func()) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		f()
	}()
}

// follow starts the dispatchers that this instance owns now, ends those that
// it no longer owns, and gives all of them the newest text.
func (p *Placement) follow() {
	current := p.holder.Current()
	if current == nil {
		return
	}
	for _, m := range current.Text.Models {
		if len(enginesOf(current.Text, p.domain, m.Name)) == 0 {
			p.stopDispatcher(m.Name)
			continue
		}
		r, err := p.dispatcher(shardKey{p.domain, m.Name})
		if err != nil {
			p.stopDispatcher(m.Name)
			continue
		}
		r.configure(current.Text, m)
	}
}

// owns reports whether this instance owns a dispatcher by its own view.
func (p *Placement) owns(key shardKey) bool {
	owner, ok := p.table.View().Owner(key.domain, key.owner())
	return ok && owner.ID == p.self && key.domain == p.domain
}

// dispatcher returns the running dispatcher, and starts it when this instance
// owns it. Otherwise the error has kind NotHolder.
func (p *Placement) dispatcher(key shardKey) (*runner, error) {
	if !p.owns(key) {
		return nil, fault.New(fault.NotHolder, "%s does not dispatch %s in %s", p.self, key.model, key.domain)
	}
	current := p.holder.Current()
	if current == nil {
		return nil, fault.New(fault.NotHolder, "no configuration yet")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fault.New(fault.NotHolder, "%s is stopping", p.self)
	}
	if r, ok := p.dispatchers[key.model]; ok {
		return r, nil
	}
	for _, m := range current.Text.Models {
		if m.Name == key.model {
			p.metrics.handOver.Inc(1)
			r := p.newRunner(key, current.Text, m)
			p.dispatchers[key.model] = r
			return r, nil
		}
	}
	return nil, fault.New(fault.NoEndpoint, "model %s is not in the text", key.model)
}

// stopDispatcher ends a dispatcher that this instance no longer owns. What
// waits in it is asked for again at the new owner.
func (p *Placement) stopDispatcher(model ident.ModelID) {
	p.mu.Lock()
	r, ok := p.dispatchers[model]
	delete(p.dispatchers, model)
	p.mu.Unlock()
	if ok {
		r.stop(fault.New(fault.NotHolder, "%s has moved to another instance", model))
	}
}

// outboxFor returns the outbox to a dispatcher, and starts it if needed.
func (p *Placement) outboxFor(key shardKey) *outbox {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.outboxes[key]
	if !ok {
		o = newOutbox(key, p.sendEvents)
		p.outboxes[key] = o
		if !p.closed {
			p.goRun(func() { o.run(p.ctx) })
		}
	}
	return o
}

// remember lists an open lease.
func (p *Placement) remember(key shardKey, l *Lease) {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	p.leases[l.ID] = keyedLease{key, l}
}

// forget takes a lease off the list.
func (p *Placement) forget(id LeaseID) {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	delete(p.leases, id)
}

// OpenLeases returns the leases of this instance that have not ended.
func (p *Placement) OpenLeases() []Held {
	return p.heldFor(func(shardKey) bool { return true })
}

// heldFor returns the open leases whose dispatcher matches.
func (p *Placement) heldFor(match func(shardKey) bool) []Held {
	p.leaseMu.Lock()
	var leases []*Lease
	for _, k := range p.leases {
		if match(k.key) {
			leases = append(leases, k.lease)
		}
	}
	p.leaseMu.Unlock()
	var list []Held
	for _, l := range leases {
		if h, open := l.snapshot(); open {
			list = append(list, h)
		}
	}
	return list
}

// Drain waits until no lease is open and all events are acknowledged, or ctx
// ends. Membership has already moved the dispatchers to other instances.
func (p *Placement) Drain(ctx context.Context) error {
	for len(p.OpenLeases()) > 0 || p.pendingEvents() > 0 {
		if !pause(ctx, outboxRetry) {
			return ctx.Err()
		}
	}
	return nil
}

// pendingEvents returns the number of events that are not acknowledged.
func (p *Placement) pendingEvents() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, o := range p.outboxes {
		n += o.pending()
	}
	return n
}

// Close ends the dispatchers and waits for all goroutines.
func (p *Placement) Close() error {
	p.mu.Lock()
	p.closed = true
	running := p.dispatchers
	p.dispatchers = make(map[ident.ModelID]*runner)
	p.mu.Unlock()
	for _, r := range running {
		r.stop(fault.New(fault.NotHolder, "%s is stopping", p.self))
	}
	p.cancel()
	p.wg.Wait()
	return nil
}

// policyNeedsLoads reports whether load reports are needed by the entry side.
func policyNeedsLoads(t *text.Text) bool {
	return t.Policy.Placement == text.LeastLoad || t.Policy.Placement == text.TwoChoices
}
