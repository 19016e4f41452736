package platformsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonfork/lab/process"
	"monsoonfork/platform/standin"
)

// Timing and sizes of storms.
const (
	maxStepGap        = 500 * time.Millisecond // Upper bound on the time between two steps of an InstanceStorm.
	maxReloads        = 20                     // Upper bound on the reloads in a row.
	maxReloadGap      = 10 * time.Millisecond  // Upper bound on the time between reloads in a row; every other row has none.
	killAfterStop     = time.Second            // Upper bound on the time from SIGTERM to the kill of a stopping instance.
	minChangeGap      = 20 * time.Millisecond
	maxChangeGap      = 200 * time.Millisecond
	firstLineWait     = 2 * time.Second // Time for a process to write its first line, from which on it handles signals.
	invalidFileShare  = 0.2             // Share of the reloads that find an invalid settings file.
	stormRoutePrefix  = "/storm/"
	stormKey          = "key-quiet"
	maxStormRoutes    = 3 // Routes of a ConfigurationStorm at a time.
	reloadedInstances = 3 // Instances that are reloaded with each change of a ConfigurationStorm.
)

// untilEnd runs step again and again until the returned function is called, which waits
// for the last step.
func untilEnd(step func()) (end func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
				step()
			}
		}
	}()
	return func() { close(stop); <-done }
}

// stormInstance reloads, stops, kills and starts one instance in a random order, without
// waiting until it is ready; at the end it runs.
func stormInstance(r *run, t target) (func() error, error) {
	end := untilEnd(func() {
		r.stormStep(t.instance, t.random)
		time.Sleep(rand.N(maxStepGap))
	})
	return func() error {
		end()
		ctx, cancel := context.WithTimeout(context.Background(), restartTimeout)
		defer cancel()
		return r.testbed.waitReady(ctx, t.instance)
	}, nil
}

// stormStep makes one step of a storm on an instance.
func (r *run) stormStep(i *instance, random *rand.Rand) {
	var err error
	switch random.IntN(5) {
	case 0, 1:
		r.reloadOften(i, random)
	case 2:
		err = r.stopAmidReloads(i, random)
	case 3:
		err = r.killAmidStop(i, random)
	default:
		err = r.killAndStart(i, i.expectExit())
	}
	if err != nil {
		r.logf("InstanceStorm on %s: %v", i.name, err)
	}
}

// stopAmidReloads stops an instance between reloads, and starts it again.
func (r *run) stopAmidReloads(i *instance, random *rand.Rand) error {
	r.reloadOften(i, random)
	p, startedAt, err := r.beginStop(i)
	if err != nil {
		return err
	}
	hangup(p, random)
	r.awaitStop(p, startedAt)
	return r.testbed.startInstance(i)
}

// killAmidStop kills a stopping instance, and starts it again.
func (r *run) killAmidStop(i *instance, random *rand.Rand) error {
	if !awaitFirstLine(i.currentProcess()) {
		return nil
	}
	p, _, err := r.beginStop(i)
	if err != nil {
		return err
	}
	time.Sleep(randomDuration(random, 0, killAfterStop))
	return r.killAndStart(i, p)
}

// killAndStart kills the process of an instance, and starts a new one. Of a storm's steps
// only a kill counts as a fault.
func (r *run) killAndStart(i *instance, p *process.Process) error {
	defer r.beginFault(i.name)()
	r.interrupt(p.Name)
	// The process may have ended already.
	_ = p.Kill()
	return r.testbed.startInstance(i)
}

// reloadOften makes an instance reload its settings several times in a row. Its file has
// its addresses of other instances in another order each time, or is invalid.
func (r *run) reloadOften(i *instance, random *rand.Rand) {
	if random.Float64() < invalidFileShare {
		// A write that fails leaves the file as it was.
		_, _ = r.testbed.runner.WriteFile(i.name+".yaml", []byte("Name: ["))
		hangup(i.currentProcess(), random)
	}
	first := slices.Clone(i.settings.FirstPeers)
	random.Shuffle(len(first), func(a, b int) { first[a], first[b] = first[b], first[a] })
	i.settings.FirstPeers = first
	if _, err := r.testbed.writeSettings(i); err != nil {
		r.logf("%s: %v", i.name, err)
	}
	hangup(i.currentProcess(), random)
}

// hangup sends SIGHUP to a process several times in a row, once it handles signals.
func hangup(p *process.Process, random *rand.Rand) {
	if !awaitFirstLine(p) {
		return
	}
	spaced := random.IntN(2) == 0
	for range 1 + random.IntN(maxReloads) {
		// The process may have ended.
		_ = p.Hangup()
		if spaced {
			time.Sleep(randomDuration(random, 0, maxReloadGap))
		}
	}
}

// awaitFirstLine reports whether a process has written its first line within firstLineWait.
func awaitFirstLine(p *process.Process) bool {
	ctx, cancel := context.WithTimeout(context.Background(), firstLineWait)
	defer cancel()
	_, err := p.FirstLine(ctx)
	return err == nil
}

// stormConfiguration writes configurations in quick succession, with odd entries among
// those of the engines, and reloads instances with each.
func stormConfiguration(r *run, t target) (func() error, error) {
	routes := stormRoutes{prefix: fmt.Sprintf("%s%d/", stormRoutePrefix, time.Now().UnixNano())}
	change := func() {
		added, removed := routes.next()
		r.unexpect(stormKey, removed.Prefix+"x")
		e := expectation{key: stormKey, path: added.Prefix + "x", served: true}
		if err := r.expectDuring(e, func() error { return r.testbed.changeConfiguration(replaceRoute(removed, added)) }); err != nil {
			r.logf("ConfigurationStorm: %v", err)
		}
	}
	end := untilEnd(func() {
		change()
		r.toggleOddEntries(t.random)
		for range reloadedInstances {
			i := r.testbed.instances[t.random.IntN(len(r.testbed.instances))]
			hangup(i.currentProcess(), t.random)
		}
		time.Sleep(randomDuration(t.random, minChangeGap, maxChangeGap))
	})
	return func() error {
		end()
		r.removeOddEntries()
		return nil
	}, nil
}

// stormRoutes are the routes of a ConfigurationStorm. Each change adds a new one and removes
// the oldest. No path is added twice: an instance that applies a change late must not look like
// one that goes back to an earlier configuration.
type stormRoutes struct {
	prefix  string
	added   int
	current []standin.Route
}

// next returns the route to add, and the one to remove; that is empty while there are few.
func (s *stormRoutes) next() (added, removed standin.Route) {
	s.added++
	added = standin.Route{Host: routeHost, Prefix: fmt.Sprintf("%s%d/", s.prefix, s.added)}
	s.current = append(s.current, added)
	if len(s.current) > maxStormRoutes {
		removed, s.current = s.current[0], s.current[1:]
	}
	return added, removed
}

// replaceRoute returns the change that removes a route and adds another.
func replaceRoute(removed, added standin.Route) func(*standin.Configuration) {
	return func(c *standin.Configuration) {
		c.Routes = slices.DeleteFunc(slices.Clone(c.Routes), func(o standin.Route) bool { return removed.Prefix != "" && o.Prefix == removed.Prefix })
		c.Routes = append(c.Routes, added)
	}
}

// toggleOddEntries writes each odd entry or removes it.
func (r *run) toggleOddEntries(random *rand.Rand) {
	for n, text := range oddEntries() {
		if random.IntN(2) == 0 {
			r.testbed.store.PutEngineText(oddEntryID(n), text)
		} else {
			r.testbed.store.DeleteEngine(oddEntryID(n))
		}
	}
}

// removeOddEntries removes all odd entries.
func (r *run) removeOddEntries() {
	for n := range oddEntries() {
		r.testbed.store.DeleteEngine(oddEntryID(n))
	}
}
