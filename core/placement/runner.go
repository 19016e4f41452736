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

// Times of a running dispatcher.
const (
	sweepInterval  = time.Second
	loadInterval   = time.Second
	eventsInterval = 500 * time.Millisecond
	roomInterval   = 20 * time.Millisecond
	engineTimeout  = 500 * time.Millisecond
)

// runner runs one dispatcher: it ticks, learns, and asks engines and other
// dispatchers.
type runner struct {
	*Dispatcher
	placement *Placement
	key       shardKey
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	pressure  chan struct{} // Holds a value when requests wait for room.

	mu    sync.Mutex
	text  *text.Text
	after map[ident.EndpointID]int64 // Last cache event that was read.
}

// newRunner starts the dispatcher of a model.
func (p *Placement) newRunner(key shardKey, t *text.Text, m text.Model) *runner {
	ctx, cancel := context.WithCancel(p.ctx)
	r := &runner{
		Dispatcher: NewDispatcher(key.domain, m, p.log, WithClock(p.now), WithTuning(p.tuning), WithLearning()),
		placement:  p,
		key:        key,
		ctx:        ctx,
		cancel:     cancel,
		pressure:   make(chan struct{}, 1),
		after:      make(map[ident.EndpointID]int64),
	}
	r.configure(t, m)
	_ = level.Info(p.log).Log("msg", event.DispatcherStarted, "model", string(m.Name))
	r.goRun(r.tickLoop)
	r.goRun(r.learnHeld)
	r.goRun(func() { r.every(sweepInterval, r.sweep) })
	r.goRun(func() { r.every(loadInterval, r.pollLoads) })
	r.goRun(func() { r.every(eventsInterval, r.pollEvents) })
	r.goRun(r.roomLoop)
	return r
}

// goRun runs f on a goroutine that stop waits for.
func (r *runner) goRun(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// stop answers all that waits with err, and waits for the goroutines.
func (r *runner) stop(err error) {
	r.Close(err)
	r.cancel()
	r.wg.Wait()
	_ = level.Info(r.placement.log).Log("msg", event.DispatcherStopped, "model", string(r.key.model))
}

// configure gives the dispatcher the newest text.
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

// currentText returns the newest text.
func (r *runner) currentText() *text.Text {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text
}

// tickLoop calls Tick when it wants to be called.
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
		r.notePressure()
	}
}

// notePressure wakes roomLoop while requests wait.
func (r *runner) notePressure() {
	if !r.Pressed() {
		return
	}
	select {
	case r.pressure <- struct{}{}:
	default:
	}
}

// roomLoop asks other domains for room, but only while requests wait.
func (r *runner) roomLoop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.pressure:
		}
		r.pollRooms()
		if !pause(r.ctx, roomInterval) {
			return
		}
		r.notePressure()
	}
}

// every calls f at an interval.
func (r *runner) every(interval time.Duration, f func()) {
	for pause(r.ctx, interval) {
		f()
	}
}

// eachEngine calls f for every engine of the dispatcher at once, with a bound
// on the time, and waits.
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

// pollLoads reads the load reports of the decode engines.
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

// pollEvents reads the cache events of the prefill engines.
func (r *runner) pollEvents() {
	events := r.placement.engines.CacheEvents
	if events == nil || !r.tuning.Prefixes {
		return
	}
	r.eachEngine(engineTimeout, func(ctx context.Context, e text.Engine) {
		if e.Role != text.Prefill {
			return
		}
		r.mu.Lock()
		after := r.after[e.Name]
		r.mu.Unlock()
		page, err := events(ctx, e, after)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.after[e.Name] = page.Last
		r.mu.Unlock()
		r.ReportCache(e.Name, page.Events, page.Gap)
	})
}

// pollRooms asks other domains for room while requests wait.
func (r *runner) pollRooms() {
	if !r.Pressed() {
		return
	}
	for _, room := range r.placement.rooms(r.ctx, r.currentText(), r.key.model) {
		r.SetRoom(room)
	}
}
