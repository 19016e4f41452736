package platformsoak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"monsoonfork/lab/relay"
	"monsoonfork/platform/standin"
)

// Timing and sizes of faults.
const (
	linkDelay      = 150 * time.Millisecond
	entryExpiry    = 3600 * time.Millisecond          // From a crash until the platform's list drops the engine.
	minLeavingTime = drainTime + 800*time.Millisecond // Time that a leaving engine still runs after the length of the fault.
	restartTimeout = 20 * time.Second
	stopSlack      = 500 * time.Millisecond // Allowance beyond stopTime.
	shortPause     = 300 * time.Millisecond
	routesInARow   = 4 // Routes that one fault ChangesInARow adds.
	// longestRequest bounds the duration of a stream without faults, queueing for
	// capacity included.
	longestRequest = 4 * time.Second
)

// faultTable lists all faults.
func faultTable() []faultSpec {
	return []faultSpec{
		{name: "InstanceKilled", kind: instanceTarget, begin: killInstance},
		{name: "InstanceStopped", kind: instanceTarget, begin: stopInstance},
		{name: "InstancePaused", kind: instanceTarget, begin: pauseInstance},
		{name: "InstanceReloaded", kind: instanceTarget, begin: reloadInstance},
		{name: "AllKilled", kind: operatorTarget, begin: killAllInstances},
		{name: "StoreSilent", kind: storeTarget, begin: storeFault(standin.StoreUnresponsive)},
		{name: "StoreBusy", kind: storeTarget, begin: storeFault(standin.StoreUnavailable)},
		{name: "StoreLosing", kind: storeTarget, begin: storeFault(standin.LosingReplies)},
		{name: "StoreLate", kind: storeTarget, begin: storeFault(standin.DelayingWrites)},
		{name: "StoreCompacted", kind: storeTarget, begin: compactStore},
		{name: "StoreCut", kind: instanceTarget, begin: linkFault(storeLink, (*relay.Relay).Cut)},
		{name: "StoreCutOneWay", kind: instanceTarget, begin: linkFault(storeLink, (*relay.Relay).CutResponses)},
		{name: "StoreReset", kind: instanceTarget, begin: linkFault(storeLink, (*relay.Relay).Reset)},
		{name: "StoreDelayed", kind: instanceTarget, begin: linkFault(storeLink, delayLink)},
		{name: "EngineCrashed", kind: engineTarget, begin: crashEngine},
		{name: "EngineLeaves", kind: engineTarget, begin: makeEngineLeave},
		{name: "EngineFailing", kind: engineTarget, begin: engineFault(standin.Failing)},
		{name: "EngineCutting", kind: engineTarget, begin: engineFault(standin.Truncating)},
		{name: "EngineFull", kind: engineTarget, begin: engineFault(standin.Full)},
		{name: "EngineMute", kind: engineTarget, begin: engineFault(standin.EngineUnresponsive)},
		{name: "EnginePauses", kind: engineTarget, harmless: true, begin: engineFault(standin.Pausing)},
		{name: "EngineCut", kind: engineTarget, begin: linkFault(engineLink, (*relay.Relay).Cut)},
		{name: "EngineCutOneWay", kind: engineTarget, begin: linkFault(engineLink, (*relay.Relay).CutResponses)},
		{name: "EngineReset", kind: engineTarget, begin: linkFault(engineLink, (*relay.Relay).Reset)},
		{name: "EngineDelayed", kind: engineTarget, begin: linkFault(engineLink, delayLink)},
		{name: "KeyWithdrawn", kind: operatorTarget, begin: withdrawKey},
		{name: "ChangesInARow", kind: operatorTarget, begin: addRoutes},
	}
}

// delayLink delays all traffic on a link.
func delayLink(r *relay.Relay) { r.Delay(linkDelay) }

// storeLink and engineLink return the relay on the link to a target's store or engine.
func storeLink(t target) *relay.Relay  { return t.instance.storeLink }
func engineLink(t target) *relay.Relay { return t.replica.relay }

// linkFault returns a fault of a link; begin begins it, and healing the relay ends it.
func linkFault(linkOf func(target) *relay.Relay, begin func(*relay.Relay)) func(*run, target) (func() error, error) {
	return func(_ *run, t target) (func() error, error) {
		link := linkOf(t)
		begin(link)
		return func() error { link.Heal(); return nil }, nil
	}
}

// killInstance kills an instance and restarts it when the fault ends.
func killInstance(r *run, t target) (func() error, error) {
	err := t.instance.expectExit().Kill()
	return func() error { return r.restart(t.instance) }, err
}

// stopInstance begins a planned stop of an instance and waits until it has exited.
// Callers keep using their connections until the process has ended.
func stopInstance(r *run, t target) (func() error, error) {
	p := t.instance.expectExit()
	startedAt := time.Now()
	r.mu.Lock()
	r.plannedStops[p.Name] = startedAt
	r.mu.Unlock()
	if err := p.Terminate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTime+stopSlack)
	defer cancel()
	if err := p.Wait(ctx); err != nil {
		open, engineFaults := r.openRequestsAt(p.Name, startedAt)
		if !engineFaults || ctx.Err() != nil {
			r.addFinding(PlannedStopCutsNone, "%s failed to stop cleanly %.1fs after SIGTERM: %v; open requests: %s", p.Name, time.Since(startedAt).Seconds(), err, open)
		}
		// The platform kills an instance that has not exited by then.
		_ = p.Kill()
	}
	return func() error { return r.restart(t.instance) }, nil
}

// openRequestsAt describes the requests that a process had open at a time and that
// stayed open for longer than longestRequest after it. It reports whether there are any
// and all of them wait for engines with faults: a stop may cut these when stopTime ends,
// since a stalled engine is no reason to end an answer earlier.
func (r *run) openRequestsAt(process string, at time.Time) (text string, onlyEngineFaults bool) {
	runs := r.testbed.engines.Recorder.Runs()
	onlyEngineFaults = true
	for _, a := range r.requestsSent() {
		r.mu.Lock()
		open := a.process == process && a.sentAt.Before(at) && (a.endedAt.IsZero() || a.endedAt.After(at.Add(longestRequest)))
		r.mu.Unlock()
		if open {
			text += fmt.Sprintf(" [%s %s since %.1fs]", a.ID, a.Path, time.Since(a.sentAt).Seconds())
			onlyEngineFaults = onlyEngineFaults && !r.enginesFaultFree(runs[a.ID], a.sentAt, time.Now())
		}
	}
	return text, onlyEngineFaults && text != ""
}

// pauseInstance suspends the process of an instance, and resumes it when the fault ends.
func pauseInstance(_ *run, t target) (func() error, error) {
	p := t.instance.currentProcess()
	return p.Resume, p.Pause()
}

// reloadInstance makes an instance reload its settings.
func reloadInstance(_ *run, t target) (func() error, error) { return nil, t.instance.reload() }

// killAllInstances kills all instances at once, except those with another fault.
func killAllInstances(r *run, _ target) (func() error, error) {
	var killed []*instance
	for _, i := range r.testbed.instances {
		defer r.beginFault(i.name)()
		if !r.reserveTarget(i.name) {
			continue
		}
		defer r.releaseTarget(i.name)
		if err := i.expectExit().Kill(); err != nil {
			return nil, err
		}
		killed = append(killed, i)
	}
	time.Sleep(shortPause)
	// An instance that another fault has ended is restarted by that fault.
	var restarts sync.WaitGroup
	for _, i := range killed {
		restarts.Go(func() {
			if err := r.restart(i); err != nil {
				r.logf("%s: %v", i.name, err)
			}
		})
	}
	restarts.Wait()
	return nil, nil
}

// restart starts an instance and waits until it is ready, for restartTimeout at most.
func (r *run) restart(i *instance) error {
	if err := r.testbed.startInstance(i); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), restartTimeout)
	defer cancel()
	return r.testbed.waitReady(ctx, i)
}

// storeFault returns a fault that makes the store misbehave.
func storeFault(f standin.Fault) func(*run, target) (func() error, error) {
	return func(r *run, _ target) (func() error, error) {
		r.testbed.store.SetFault(f)
		return func() error { r.testbed.store.SetFault(standin.NoFault); return nil }, nil
	}
}

// compactStore drops the store's history of changes.
func compactStore(r *run, _ target) (func() error, error) {
	r.testbed.store.Compact()
	return nil, nil
}

// crashEngine ends an engine abruptly; a new one replaces it when the fault ends.
func crashEngine(r *run, t target) (func() error, error) {
	old := t.replica.engine
	old.Stop(true)
	time.AfterFunc(entryExpiry, func() { old.Stop(false) })
	return func() error { return r.testbed.startEngine(t.replica) }, nil
}

// makeEngineLeave makes an engine announce that it is leaving; a new one replaces it
// after the fault.
func makeEngineLeave(r *run, t target) (func() error, error) {
	old := t.replica.engine
	if err := old.Drain(); err != nil {
		return nil, err
	}
	return func() error {
		time.Sleep(minLeavingTime)
		old.Stop(false)
		return r.testbed.startEngine(t.replica)
	}, nil
}

// engineFault returns a fault that makes an engine misbehave.
func engineFault(b standin.Behaviour) func(*run, target) (func() error, error) {
	return func(_ *run, t target) (func() error, error) {
		e := t.replica.engine
		e.SetBehaviour(b)
		return func() error { e.SetBehaviour(standin.Correct); return nil }, nil
	}
}

// withdrawKey adds an organisation with a key that only the probe uses, and withdraws it
// when the fault ends.
func withdrawKey(r *run, _ target) (func() error, error) {
	name := fmt.Sprintf("guest-%d", time.Now().UnixMilli())
	err := r.testbed.changeConfiguration(func(c *standin.Configuration) {
		c.Organisations = append(c.Organisations, standin.Organisation{Name: name, Keys: []string{"key-" + name}})
	})
	if err != nil {
		return nil, err
	}
	r.expect(expectation{key: "key-" + name, path: "/status/x", changedAt: time.Now(), served: true})
	return func() error {
		err := r.testbed.changeConfiguration(func(c *standin.Configuration) {
			c.Organisations = c.Organisations[:len(c.Organisations)-1]
		})
		r.expect(expectation{key: "key-" + name, path: "/status/x", changedAt: time.Now()})
		return err
	}, nil
}

// addRoutes adds routes in quick succession.
func addRoutes(r *run, _ target) (func() error, error) {
	for range routesInARow {
		prefix := fmt.Sprintf("/new-%d/", time.Now().UnixNano())
		err := r.testbed.changeConfiguration(func(c *standin.Configuration) {
			c.Routes = append(c.Routes, standin.Route{Host: routeHost, Prefix: prefix})
		})
		if err != nil {
			return nil, err
		}
		r.expect(expectation{key: "key-quiet", path: prefix + "x", changedAt: time.Now(), served: true})
		time.Sleep(shortPause)
	}
	return nil, nil
}
