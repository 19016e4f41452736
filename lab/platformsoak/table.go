package platformsoak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"monsoonfork/lab/relay"
	"monsoonfork/platform/standin"
)

// Strengths of faults.
const (
	linkDelay     = 150 * time.Millisecond
	entryLapses   = 3600 * time.Millisecond // From a crash until the list drops the engine.
	leaveAtLeast  = drainTime + 800*time.Millisecond
	restartWait   = 20 * time.Second
	stopSlack     = 500 * time.Millisecond
	quickRestart  = 300 * time.Millisecond
	changesInARow = 4
	// longestRequest is how long a stream takes that waits for room as well.
	longestRequest = 4 * time.Second
)

// table returns the faults.
func table() []entry {
	return []entry{
		{"InstanceKilled", onInstance, killed},
		{"InstanceStopped", onInstance, stopped},
		{"InstancePaused", onInstance, paused},
		{"InstanceReloaded", onInstance, reloaded},
		{"AllKilled", onOperator, allKilled},
		{"StoreSilent", onStore, troubled(standin.StoreUnresponsive)},
		{"StoreBusy", onStore, troubled(standin.StoreUnavailable)},
		{"StoreLosing", onStore, troubled(standin.LosingReplies)},
		{"StoreLate", onStore, troubled(standin.DelayingWrites)},
		{"StoreCompacted", onStore, compacted},
		{"StoreCut", onInstance, linked(toStore, (*relay.Relay).Cut)},
		{"StoreCutOneWay", onInstance, linked(toStore, (*relay.Relay).CutAnswers)},
		{"StoreReset", onInstance, linked(toStore, (*relay.Relay).Reset)},
		{"StoreDelayed", onInstance, linked(toStore, delay)},
		{"EngineCrashed", onEngine, crashed},
		{"EngineLeaves", onEngine, leaves},
		{"EngineFailing", onEngine, moody(standin.Failing)},
		{"EngineCutting", onEngine, moody(standin.Truncating)},
		{"EngineFull", onEngine, moody(standin.Full)},
		{"EngineMute", onEngine, moody(standin.EngineUnresponsive)},
		{"EngineCut", onEngine, linked(toEngine, (*relay.Relay).Cut)},
		{"EngineCutOneWay", onEngine, linked(toEngine, (*relay.Relay).CutAnswers)},
		{"EngineReset", onEngine, linked(toEngine, (*relay.Relay).Reset)},
		{"EngineDelayed", onEngine, linked(toEngine, delay)},
		{"KeyWithdrawn", onOperator, keyWithdrawn},
		{"ChangesInARow", onOperator, changes},
	}
}

// delay delays a link.
func delay(r *relay.Relay) { r.Delay(linkDelay) }

// toStore and toEngine return the relay that a fault of links is made on.
func toStore(t target) *relay.Relay  { return t.instance.store }
func toEngine(t target) *relay.Relay { return t.place.relay }

// linked makes a fault of a link.
func linked(of func(target) *relay.Relay, begin func(*relay.Relay)) func(*run, target) (func() error, error) {
	return func(_ *run, t target) (func() error, error) {
		link := of(t)
		begin(link)
		return func() error { link.Heal(); return nil }, nil
	}
}

// killed kills an instance.
func killed(r *run, t target) (func() error, error) {
	err := t.instance.intend().Kill()
	return func() error { return r.restart(t.instance) }, err
}

// stopped stops an instance as planned. Callers go on with their connections until
// the process is gone.
func stopped(r *run, t target) (func() error, error) {
	p := t.instance.intend()
	begun := time.Now()
	r.mu.Lock()
	r.stops[p.Name] = begun
	r.mu.Unlock()
	if err := p.Terminate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTime+stopSlack)
	defer cancel()
	if err := p.Wait(ctx); err != nil {
		open, waits := r.openAt(p.Name, begun)
		if !waits || ctx.Err() != nil {
			r.find(PlannedStopCutsNone, "%s did not end well %.1fs after SIGTERM: %v; open before: %s", p.Name, time.Since(begun).Seconds(), err, open)
		}
		// It is killed by the platform then.
		_ = p.Kill()
	}
	return func() error { return r.restart(t.instance) }, nil
}

// openAt tells of the requests that a process had at a time, and has had since for
// longer than any request takes without a fault. It reports whether there are some and
// all of them wait for engines that a fault has touched: a stop may cut these when its
// time ends, as the silence of an engine is no reason to end an answer before.
func (r *run) openAt(process string, at time.Time) (text string, waits bool) {
	runs := r.world.engines.Record.Runs()
	waits = true
	for _, a := range r.asked() {
		r.mu.Lock()
		open := a.process == process && a.at.Before(at) && (a.ended.IsZero() || a.ended.After(at.Add(longestRequest)))
		r.mu.Unlock()
		if open {
			text += fmt.Sprintf(" [%s %s since %.1fs]", a.ID, a.Path, time.Since(a.at).Seconds())
			waits = waits && !r.enginesCalm(runs[a.ID], a.at, time.Now())
		}
	}
	return text, waits && text != ""
}

// paused pauses an instance.
func paused(_ *run, t target) (func() error, error) {
	p := t.instance.current()
	return p.Resume, p.Pause()
}

// reloaded tells an instance that its settings may have changed.
func reloaded(_ *run, t target) (func() error, error) { return nil, t.instance.reload() }

// allKilled kills all instances at once, but those that another fault holds.
func allKilled(r *run, _ target) (func() error, error) {
	var killed []*instance
	for _, i := range r.world.instances {
		defer r.touch(i.name)()
		if !r.claim(i.name) {
			continue
		}
		defer r.unclaim(i.name)
		if err := i.intend().Kill(); err != nil {
			return nil, err
		}
		killed = append(killed, i)
	}
	time.Sleep(quickRestart)
	// What another fault has ended is started by that one.
	var all sync.WaitGroup
	for _, i := range killed {
		all.Go(func() {
			if err := r.restart(i); err != nil {
				r.note("%s: %v", i.name, err)
			}
		})
	}
	all.Wait()
	return nil, nil
}

// restart starts an instance and waits until it is ready, if the store lets it.
func (r *run) restart(i *instance) error {
	if err := r.world.startInstance(i); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), restartWait)
	defer cancel()
	return r.world.waitReady(ctx, i)
}

// troubled gives the store a trouble.
func troubled(trouble standin.Fault) func(*run, target) (func() error, error) {
	return func(r *run, _ target) (func() error, error) {
		r.world.store.SetFault(trouble)
		return func() error { r.world.store.SetFault(standin.NoFault); return nil }, nil
	}
}

// compacted drops the store's history.
func compacted(r *run, _ target) (func() error, error) {
	r.world.store.Compact()
	return nil, nil
}

// crashed ends an engine; another one comes at its place.
func crashed(r *run, t target) (func() error, error) {
	old := t.place.engine
	old.Stop(true)
	time.AfterFunc(entryLapses, func() { old.Stop(false) })
	return func() error { return r.world.startEngine(t.place) }, nil
}

// leaves has an engine leave; another one comes at its place.
func leaves(r *run, t target) (func() error, error) {
	old := t.place.engine
	if err := old.Drain(); err != nil {
		return nil, err
	}
	return func() error {
		time.Sleep(leaveAtLeast)
		old.Stop(false)
		return r.world.startEngine(t.place)
	}, nil
}

// moody changes how an engine serves.
func moody(m standin.Behaviour) func(*run, target) (func() error, error) {
	return func(_ *run, t target) (func() error, error) {
		e := t.place.engine
		e.SetBehaviour(m)
		return func() error { e.SetBehaviour(standin.Correct); return nil }, nil
	}
}

// keyWithdrawn withdraws the key of an organisation that only the probe uses.
func keyWithdrawn(r *run, _ target) (func() error, error) {
	name := fmt.Sprintf("guest-%d", time.Now().UnixMilli())
	err := r.world.configure(func(c *standin.Configuration) {
		c.Organisations = append(c.Organisations, standin.Organisation{Name: name, Keys: []string{"key-" + name}})
	})
	if err != nil {
		return nil, err
	}
	r.expect(expectation{key: "key-" + name, path: "/status/x", since: time.Now(), served: true})
	return func() error {
		err := r.world.configure(func(c *standin.Configuration) {
			c.Organisations = c.Organisations[:len(c.Organisations)-1]
		})
		r.expect(expectation{key: "key-" + name, path: "/status/x", since: time.Now()})
		return err
	}, nil
}

// changes adds routes in quick succession.
func changes(r *run, _ target) (func() error, error) {
	for range changesInARow {
		prefix := fmt.Sprintf("/new-%d/", time.Now().UnixNano())
		err := r.world.configure(func(c *standin.Configuration) {
			c.Routes = append(c.Routes, standin.Route{Host: host, Prefix: prefix})
		})
		if err != nil {
			return nil, err
		}
		r.expect(expectation{key: "key-quiet", path: prefix + "x", since: time.Now(), served: true})
		time.Sleep(quickRestart)
	}
	return nil, nil
}
