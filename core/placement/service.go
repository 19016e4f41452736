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

// Names of the methods that instances call on each other.
const (
	methodPlace      = "Placement.Place"
	methodEvents     = "Placement.Events"
	methodOpenLeases = "Placement.Held"
	methodCapacity   = "Placement.Room"
)

// Placement is the placement service of one instance. As the entry of requests it
// sends them to dispatchers and keeps their leases; as the owner of dispatchers it
// runs them.
type Placement struct {
	self          ident.InstanceID
	domain        ident.DomainID
	log           log.Logger
	links         *link.Links
	table         *membership.Table
	configHolder  *config.Holder
	engines       EngineQueries
	now           func() time.Time
	tuning        Tuning
	recoverLeases bool // Whether a new dispatcher restores open leases.
	baseline      *baseline
	metrics       serviceMetrics

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	closed      bool
	dispatchers map[ident.ModelID]*runner
	outboxes    map[dispatcherKey]*outbox

	leaseMu sync.Mutex
	leases  map[LeaseID]keyedLease
}

// keyedLease is an open lease with the key of its dispatcher.
type keyedLease struct {
	key   dispatcherKey
	lease *Lease
}

// serviceMetrics are the metrics of a Placement.
type serviceMetrics struct {
	placed             metrics.Counter
	refused            metrics.Counter
	redirected         metrics.Counter
	dispatchersStarted metrics.Counter
	wait               metrics.Timer
	recovery           metrics.Timer
}

// ServiceOption configures a new Placement.
type ServiceOption func(*Placement)

// WithEngines sets the engine queries; without them no engine is queried.
func WithEngines(e EngineQueries) ServiceOption { return func(p *Placement) { p.engines = e } }

// WithoutRecovery makes new dispatchers place requests at once, without restoring
// the leases granted by their predecessors. It exists to measure what the recovery
// prevents.
func WithoutRecovery() ServiceOption { return func(p *Placement) { p.recoverLeases = false } }

// WithServiceTuning sets the placement parameters; the default is DefaultTuning.
func WithServiceTuning(t Tuning) ServiceOption { return func(p *Placement) { p.tuning = t } }

// WithRegistry registers the metrics in r.
func WithRegistry(r metrics.Registry) ServiceOption {
	return func(p *Placement) { p.metrics = newServiceMetrics(r) }
}

// newServiceMetrics registers the metrics in r.
func newServiceMetrics(r metrics.Registry) serviceMetrics {
	return serviceMetrics{
		placed:             metrics.GetOrRegisterCounter("Placement.Placed", r),
		refused:            metrics.GetOrRegisterCounter("Placement.Refused", r),
		redirected:         metrics.GetOrRegisterCounter("Placement.SentElsewhere", r),
		dispatchersStarted: metrics.GetOrRegisterCounter("Placement.Dispatchers", r),
		wait:               metrics.GetOrRegisterTimer("Placement.Wait", r),
		recovery:           metrics.GetOrRegisterTimer("Placement.Learning", r),
	}
}

// New returns the Placement of an instance and registers its methods with links.
// Start must be called before requests are placed.
func New(links *link.Links, table *membership.Table, holder *config.Holder, logger log.Logger, opts ...ServiceOption) *Placement {
	ctx, cancel := context.WithCancel(context.Background())
	self := table.Self()
	p := &Placement{
		self:          self.ID,
		domain:        self.Domain,
		log:           log.With(logger, "part", "Placement"),
		links:         links,
		table:         table,
		configHolder:  holder,
		now:           time.Now,
		tuning:        DefaultTuning(),
		recoverLeases: true,
		metrics:       newServiceMetrics(metrics.NewRegistry()),
		ctx:           ctx,
		cancel:        cancel,
		dispatchers:   make(map[ident.ModelID]*runner),
		outboxes:      make(map[dispatcherKey]*outbox),
		leases:        make(map[LeaseID]keyedLease),
	}
	for _, o := range opts {
		o(p)
	}
	p.baseline = newBaseline(p)
	p.registerHandlers()
	return p
}

// Start subscribes to the members and the configuration, and starts and stops
// dispatchers when they change.
func (p *Placement) Start() {
	changed := make(chan struct{}, 1)
	notify := func() {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
	p.table.Subscribe(func(*membership.View) { notify() })
	unsubscribe := p.configHolder.Subscribe(func(*config.Snapshot) { notify() })
	p.goRun(func() {
		defer unsubscribe()
		for {
			select {
			case <-p.ctx.Done():
				return
			case <-changed:
				p.reconcile()
			}
		}
	})
	p.goRun(func() { p.baseline.pollLoads(p.ctx) })
}

// goRun runs f in a goroutine that Close waits for.
func (p *Placement) goRun(f func()) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		f()
	}()
}

// reconcile starts the dispatchers that this instance owns now, stops those that it
// no longer owns, and applies the latest configuration to all of them.
func (p *Placement) reconcile() {
	current := p.configHolder.Current()
	if current == nil {
		return
	}
	for _, m := range current.Text.Models {
		if len(enginesOf(current.Text, p.domain, m.Name)) == 0 {
			p.stopDispatcher(m.Name)
			continue
		}
		r, err := p.dispatcher(dispatcherKey{p.domain, m.Name})
		if err != nil {
			p.stopDispatcher(m.Name)
			continue
		}
		r.configure(current.Text, m)
	}
}

// owns reports whether this instance owns a dispatcher according to its own view
// of the members.
func (p *Placement) owns(key dispatcherKey) bool {
	owner, ok := p.table.View().Owner(key.domain, key.ownerKey())
	return ok && owner.ID == p.self && key.domain == p.domain
}

// dispatcher returns the runner of a dispatcher that this instance owns, and starts
// it if needed. If the instance is not the owner, the error has kind NotHolder.
func (p *Placement) dispatcher(key dispatcherKey) (*runner, error) {
	if !p.owns(key) {
		return nil, fault.New(fault.NotHolder, "instance %s does not own the dispatcher of %s in %s", p.self, key.model, key.domain)
	}
	current := p.configHolder.Current()
	if current == nil {
		return nil, fault.New(fault.NotHolder, "the instance has no configuration yet")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fault.New(fault.NotHolder, "instance %s is stopping", p.self)
	}
	if r, ok := p.dispatchers[key.model]; ok {
		return r, nil
	}
	for _, m := range current.Text.Models {
		if m.Name == key.model {
			p.metrics.dispatchersStarted.Inc(1)
			r := p.newRunner(key, current.Text, m)
			p.dispatchers[key.model] = r
			return r, nil
		}
	}
	return nil, fault.New(fault.NoEndpoint, "model %s is not configured", key.model)
}

// stopDispatcher stops a dispatcher that this instance no longer owns. Its waiting
// requests are refused with kind NotHolder, so that their entries submit them to
// the new owner.
func (p *Placement) stopDispatcher(model ident.ModelID) {
	p.mu.Lock()
	r, ok := p.dispatchers[model]
	delete(p.dispatchers, model)
	p.mu.Unlock()
	if ok {
		r.stop(fault.New(fault.NotHolder, "the dispatcher of %s has moved to another instance", model))
	}
}

// outboxFor returns the outbox for a dispatcher, and starts it if needed.
func (p *Placement) outboxFor(key dispatcherKey) *outbox {
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

// addLease adds an open lease.
func (p *Placement) addLease(key dispatcherKey, l *Lease) {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	p.leases[l.ID] = keyedLease{key, l}
}

// removeLease removes a lease that has ended.
func (p *Placement) removeLease(id LeaseID) {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	delete(p.leases, id)
}

// OpenLeases returns the leases held by this instance that have not ended.
func (p *Placement) OpenLeases() []LeaseRecord {
	return p.leaseRecords(func(dispatcherKey) bool { return true })
}

// leaseRecords returns the open leases whose dispatcher matches.
func (p *Placement) leaseRecords(match func(dispatcherKey) bool) []LeaseRecord {
	p.leaseMu.Lock()
	var leases []*Lease
	for _, k := range p.leases {
		if match(k.key) {
			leases = append(leases, k.lease)
		}
	}
	p.leaseMu.Unlock()
	var list []LeaseRecord
	for _, l := range leases {
		if h, open := l.openRecord(); open {
			list = append(list, h)
		}
	}
	return list
}

// Drain waits until no lease is open and all events are acknowledged, or ctx ends.
// Before it is called, membership has already moved the dispatchers to other
// instances.
func (p *Placement) Drain(ctx context.Context) error {
	for len(p.OpenLeases()) > 0 || p.pendingEvents() > 0 {
		if !sleep(ctx, outboxRetryInterval) {
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

// Close stops the dispatchers and waits for all goroutines.
func (p *Placement) Close() error {
	p.mu.Lock()
	p.closed = true
	running := p.dispatchers
	p.dispatchers = make(map[ident.ModelID]*runner)
	p.mu.Unlock()
	for _, r := range running {
		r.stop(fault.New(fault.NotHolder, "instance %s is stopping", p.self))
	}
	p.cancel()
	p.wg.Wait()
	return nil
}

// policyNeedsLoads reports whether the configured policy is a baseline that uses
// load reports.
func policyNeedsLoads(t *text.Text) bool {
	return t.Policy.Placement == text.LeastLoad || t.Policy.Placement == text.TwoChoices
}
