package platformsoak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"monsoonfork/lab/process"
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
	oddEntryDepth  = 9000
	routesInARow   = 4 // Routes that one fault ChangesInARow adds.
	// longestRequest bounds the duration of a stream without faults, queueing for
	// capacity included.
	longestRequest = 4 * time.Second
)

// faultTable lists all faults.
func faultTable() []faultSpec {
	return []faultSpec{
		{"InstanceKilled", instanceTarget, killInstance},
		{"InstanceStopped", instanceTarget, stopInstance},
		{"InstancePaused", instanceTarget, pauseInstance},
		{"InstanceSlow", instanceTarget, slowInstance},
		{"InstanceReloaded", instanceTarget, reloadInstance},
		{"AllKilled", operatorTarget, killAllInstances},
		{"StoreSilent", storeTarget, storeFault(standin.StoreUnresponsive)},
		{"StoreBusy", storeTarget, storeFault(standin.StoreUnavailable)},
		{"StoreLosing", storeTarget, storeFault(standin.LosingReplies)},
		{"StoreLate", storeTarget, storeFault(standin.DelayingWrites)},
		{"StoreCompacted", storeTarget, compactStore},
		{"StoreRestored", copiedStoreTarget, restoreStore},
		{"StoreCut", instanceTarget, linkFault(storeLink, (*relay.Relay).Cut)},
		{"StoreCutOneWay", instanceTarget, linkFault(storeLink, (*relay.Relay).CutResponses)},
		{"StoreReset", instanceTarget, linkFault(storeLink, (*relay.Relay).Reset)},
		{"StoreDelayed", instanceTarget, linkFault(storeLink, delayLink)},
		{"EngineCrashed", engineTarget, crashEngine},
		{"EngineLeaves", engineTarget, makeEngineLeave((*standin.Engine).Drain)},
		{"EngineFailing", engineTarget, engineFault(standin.Failing)},
		{"EngineCutting", engineTarget, engineFault(standin.Truncating)},
		{"EngineFull", engineTarget, engineFault(standin.Full)},
		{"EngineMute", engineTarget, engineFault(standin.EngineUnresponsive)},
		{"EnginePauses", soundEngineTarget, engineFault(standin.Pausing)},
		{"EngineSilent", soundEngineTarget, silenceEngines},
		{"EngineAnnouncesLeaving", engineTarget, makeEngineLeave((*standin.Engine).AnnounceLeaving)},
		{"EngineRemoved", engineTarget, makeEngineLeave(removeEngine)},
		{"EngineTurnsAway", engineTarget, engineFault(standin.TurningAway)},
		{"EngineRepeatsRefusal", engineTarget, engineFault(standin.RepeatingRefusals)},
		{"EngineWritesEndless", engineTarget, engineFault(standin.Endless)},
		{"EngineMalforming", engineTarget, engineFault(standin.Malforming)},
		{"EngineCut", engineTarget, linkFault(engineLink, (*relay.Relay).Cut)},
		{"EngineCutOneWay", engineTarget, linkFault(engineLink, (*relay.Relay).CutResponses)},
		{"EngineReset", engineTarget, linkFault(engineLink, (*relay.Relay).Reset)},
		{"EngineDelayed", engineTarget, linkFault(engineLink, delayLink)},
		{"PeersCut", soundInstanceTarget, cutPeers((*relay.Relay).Cut)},
		{"PeersCutOneWay", soundInstanceTarget, cutPeers((*relay.Relay).CutResponses)},
		{"PeersSplit", operatorTarget, splitPeers},
		{"PeersRefused", soundInstanceTarget, refusePeers},
		{"PeersReset", soundInstanceTarget, linkFault(peerLink, (*relay.Relay).Reset)},
		{"PeersDelayed", soundInstanceTarget, linkFault(peerLink, delayLink)},
		{"PeersSilent", soundInstanceTarget, linkFault(peerLink, (*relay.Relay).Hold)},
		{"OddEntries", operatorTarget, writeOddEntries},
		{"KeyWithdrawn", operatorTarget, withdrawKey},
		{"ChangesInARow", operatorTarget, addRoutes},
		{"CallersSendSlowly", soundInstanceTarget, sendSlowly},
		{"InstanceStorm", soundInstanceTarget, stormInstance},
		{"ConfigurationStorm", operatorTarget, stormConfiguration},
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
	p := t.instance.expectExit()
	r.interrupt(p.Name)
	err := p.Kill()
	return func() error { return r.restart(t.instance) }, err
}

// stopInstance begins a planned stop of an instance and waits until it has exited.
// Callers keep using their connections until the process has ended.
func stopInstance(r *run, t target) (func() error, error) {
	p, startedAt, err := r.beginStop(t.instance)
	if err != nil {
		return nil, err
	}
	r.awaitStop(p, startedAt)
	return func() error { return r.restart(t.instance) }, nil
}

// beginStop begins a planned stop of an instance.
func (r *run) beginStop(i *instance) (p *process.Process, startedAt time.Time, err error) {
	p, startedAt = i.expectExit(), time.Now()
	r.mu.Lock()
	r.plannedStops[p.Name] = startedAt
	r.mu.Unlock()
	return p, startedAt, p.Terminate()
}

// awaitStop waits until a planned stop has ended, and checks its end.
func (r *run) awaitStop(p *process.Process, startedAt time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(stopTime+stopSlack))
	defer cancel()
	if err := p.Wait(ctx); err != nil {
		open, engineFaults := r.openRequestsAt(p.Name, startedAt)
		if !engineFaults || ctx.Err() != nil {
			r.addFinding(PlannedStopCutsNone, "%s failed to stop cleanly %.1fs after SIGTERM: %v; open requests: %s", p.Name, time.Since(startedAt).Seconds(), err, open)
		}
		// The platform kills an instance that has not exited by then.
		_ = p.Kill()
	}
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
func pauseInstance(r *run, t target) (func() error, error) {
	p := t.instance.currentProcess()
	r.interrupt(p.Name)
	return func() error { r.interrupt(p.Name); return p.Resume() }, p.Pause()
}

// reloadInstance makes an instance reload its settings.
func reloadInstance(_ *run, t target) (func() error, error) {
	return nil, t.instance.currentProcess().Hangup()
}

// killAllInstances kills all instances at once, except those with another fault.
func killAllInstances(r *run, _ target) (func() error, error) {
	var killed []*instance
	for _, i := range r.testbed.instances {
		defer r.beginFault(i.name)()
		if !r.reserveTarget(i.name) {
			continue
		}
		defer r.releaseTarget(i.name)
		p := i.expectExit()
		r.interrupt(p.Name)
		if err := p.Kill(); err != nil {
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

// makeEngineLeave returns a fault in which an engine announces that it is leaving; a new
// one replaces it after the fault.
func makeEngineLeave(announce func(*standin.Engine) error) func(*run, target) (func() error, error) {
	return func(r *run, t target) (func() error, error) {
		old := t.replica.engine
		if err := announce(old); err != nil {
			return nil, err
		}
		return func() error {
			time.Sleep(minLeavingTime)
			old.Stop(false)
			return r.testbed.startEngine(t.replica)
		}, nil
	}
}

// engineFault returns a fault that makes an engine misbehave.
func engineFault(b standin.Behaviour) func(*run, target) (func() error, error) {
	return func(_ *run, t target) (func() error, error) {
		e := t.replica.engine
		e.SetBehaviour(b)
		return func() error { e.SetBehaviour(standin.Correct); return nil }, nil
	}
}

// writeOddEntries writes invalid entries among those of the engines, and removes them
// when the fault ends.
func writeOddEntries(r *run, _ target) (func() error, error) {
	for n, text := range oddEntries() {
		r.testbed.store.PutEngineText(oddEntryID(n), text)
	}
	return func() error {
		r.removeOddEntries()
		return nil
	}, nil
}

// oddEntryID returns the engine id of the odd entry with number n.
func oddEntryID(n int) string { return fmt.Sprintf("odd-%d", n) }

// oddEntries returns JSON that is no valid entry of an engine: deeply nested, with numbers
// or ports out of range, or of other types.
func oddEntries() []string {
	entry := func(address, slots string) string {
		return fmt.Sprintf(`{"service":"plain","address":%s,"zone":"a","slots":%s,"state":"ready","born":1}`, address, slots)
	}
	return []string{
		strings.Repeat("[", oddEntryDepth) + strings.Repeat("]", oddEntryDepth),
		entry(`"127.0.0.1:1"`, "1e400"), entry(`"127.0.0.1:1"`, "99999999999999999999"), entry(`"127.0.0.1:1"`, "-9223372036854775808"),
		entry(`"127.0.0.1:99999"`, "12"), entry(`"127.0.0.1"`, "12"), entry(`[{}]`, "12"), entry(`"127.0.0.1:1"`, `"many"`),
		"null", `"text"`, "{}", `{"service":{"service":null},"state":17}`,
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
		return r.expectDuring(expectation{key: "key-" + name, path: "/status/x"}, func() error {
			return r.testbed.changeConfiguration(func(c *standin.Configuration) {
				c.Organisations = slices.DeleteFunc(c.Organisations, func(o standin.Organisation) bool { return o.Name == name })
			})
		})
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
