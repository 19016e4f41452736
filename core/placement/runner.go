package placement

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Intervals and timeouts of a running dispatcher.
const (
	staleLeaseInterval  = time.Second
	loadInterval        = time.Second
	cacheEventsInterval = 500 * time.Millisecond
	capacityInterval    = 20 * time.Millisecond
	engineTimeout       = 500 * time.Millisecond
)

// runner runs one dispatcher: it calls Tick, restores the leases granted by the
// previous owner, and polls engines and other dispatchers.
type runner struct {
	*Dispatcher
	placement       *Placement
	key             dispatcherKey
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	requestsWaiting chan struct{} // Has a value while requests wait for free slots.

	mu             sync.Mutex
	text           *text.Text
	lastCacheEvent map[ident.EndpointID]int64 // Sequence number of the last cache event read, by engine.
}

// newRunner creates the dispatcher of a model and starts its goroutines.
func (p *Placement) newRunner(key dispatcherKey, t *text.Text, m text.Model) *runner {
	ctx, cancel := context.WithCancel(p.ctx)
	r := &runner{
		Dispatcher:      NewDispatcher(key.domain, m, p.log, WithClock(p.now), WithTuning(p.tuning), WithRecovery()),
		placement:       p,
		key:             key,
		ctx:             ctx,
		cancel:          cancel,
		requestsWaiting: make(chan struct{}, 1),
		lastCacheEvent:  make(map[ident.EndpointID]int64),
	}
	r.configure(t, m)
	_ = level.Info(p.log).Log("msg", event.DispatcherStarted, "model", string(m.Name))
	r.goRun(r.tickLoop)
	r.goRun(r.recoverLeases)
	r.goRun(func() { r.every(staleLeaseInterval, r.dropStaleLeases) })
	r.goRun(func() { r.every(loadInterval, r.pollLoads) })
	r.goRun(func() { r.every(cacheEventsInterval, r.pollCacheEvents) })
	r.goRun(r.capacityLoop)
	return r
}

// goRun runs f in a goroutine that stop waits for.
func (r *runner) goRun(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// stop refuses all waiting requests with err, and waits for the goroutines to end.
func (r *runner) stop(err error) {
	r.Close(err)
	r.cancel()
	r.wg.Wait()
	_ = level.Info(r.placement.log).Log("msg", event.DispatcherStopped, "model", string(r.key.model))
}

// configure applies a new configuration to the dispatcher.
func (r *runner) configure(t *text.Text, m text.Model) {
	r.mu.Lock()
	r.text = t
	r.mu.Unlock()
	weights := make(map[ident.OrganisationID]float64, len(t.Organisations))
	for _, o := range t.Organisations {
		weights[o.Name] = float64(o.Rate)
	}
	r.SetEngines(m, enginesOf(t, r.key.domain, r.key.model), weights)
}

// currentText returns the latest configuration.
func (r *runner) currentText() *text.Text {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text
}

// tickLoop calls Tick at the times that Tick returns and whenever Wake has a value.
func (r *runner) tickLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.Wake():
		case <-timer.C:
		}
		timer.Reset(r.Tick().Sub(r.placement.now()))
		r.signalWaiting()
	}
}

// signalWaiting wakes capacityLoop if requests are waiting.
func (r *runner) signalWaiting() {
	if !r.HasWaiting() {
		return
	}
	select {
	case r.requestsWaiting <- struct{}{}:
	default:
	}
}

// capacityLoop polls the capacity of other domains while requests are waiting.
func (r *runner) capacityLoop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.requestsWaiting:
		}
		r.pollCapacities()
		if !sleep(r.ctx, capacityInterval) {
			return
		}
		r.signalWaiting()
	}
}

// every calls f periodically until the runner stops.
func (r *runner) every(interval time.Duration, f func()) {
	for sleep(r.ctx, interval) {
		f()
	}
}

// eachEngine calls f for all engines of the dispatcher in parallel, with a
// timeout, and waits until all calls have returned.
func (r *runner) eachEngine(limit time.Duration, f func(ctx context.Context, e text.Engine)) {
	ctx, cancel := context.WithTimeout(r.ctx, limit)
	defer cancel()
	var wg sync.WaitGroup
	for _, e := range enginesOf(r.currentText(), r.key.domain, r.key.model) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(ctx, e)
		}()
	}
	wg.Wait()
}

// pollLoads reads the load report of each decode engine.
func (r *runner) pollLoads() {
	load := r.placement.engines.Load
	if load == nil {
		return
	}
	r.eachEngine(engineTimeout, func(ctx context.Context, e text.Engine) {
		if e.Role != text.Decode {
			return
		}
		if l, err := load(ctx, e); err == nil {
			r.ReportLoad(e.Name, l)
		}
	})
}

// pollCacheEvents reads the new cache events of each prefill engine.
func (r *runner) pollCacheEvents() {
	events := r.placement.engines.CacheEvents
	if events == nil || !r.tuning.Prefixes {
		return
	}
	r.eachEngine(engineTimeout, func(ctx context.Context, e text.Engine) {
		if e.Role != text.Prefill {
			return
		}
		r.mu.Lock()
		after := r.lastCacheEvent[e.Name]
		r.mu.Unlock()
		page, err := events(ctx, e, after)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.lastCacheEvent[e.Name] = page.LastSequence
		r.mu.Unlock()
		r.ReportCache(e.Name, page.Events, page.Gap)
	})
}

// pollCapacities reads the capacity of other domains once, if requests are
// waiting.
func (r *runner) pollCapacities() {
	if !r.HasWaiting() {
		return
	}
	for _, capacity := range r.placement.queryCapacities(r.ctx, r.currentText(), r.key.model) {
		r.SetCapacity(capacity)
	}
}
