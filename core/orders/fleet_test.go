package orders_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/io/standin/control"
	"monsoonfork/io/standin/engine"
	"monsoonfork/lab/fleet"
	"monsoonfork/lab/process"
	"monsoonfork/lab/workload"
)

const (
	orderLease = 3 * time.Second
	// slowdownFactor makes an order of 50 ms take 1.5 s, within its limit of 2 s.
	slowdownFactor = 30
	waitLimit      = 15 * time.Second
)

// testFleet is a failure domain of real processes: two instances, and engines of
// which every second one checks fencing numbers.
type testFleet struct {
	*fleet.Fleet
	t *testing.T
}

func startFleet(t *testing.T, prefill, decode int) *testFleet {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	runner, err := process.NewRunner()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = runner.Close() })
	w := workload.Tuinhulp()
	w.Domains, w.Prefill, w.Decode, w.PlainEndpoints = w.Domains[:1], prefill, decode, 1
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	processes, err := fleet.Start(ctx, runner, fleet.Spec{
		Workload: w, Instances: 2, InProcess: true, ChecksFencing: true, HeartbeatMS: 100,
		OrderLease: orderLease, Env: []string{invariant.FatalEnv + "=1"},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = processes.Close() })
	f := &testFleet{processes, t}
	f.waitVersion("v1", f.Instances)
	return f
}

// orderStatus is the part of a process dump that the tests read.
type orderStatus struct {
	Controller bool
	Fencing    ident.Epoch
	Deadline   time.Time
	Engines    []struct{ Phase string }
}

// orderStatusOf returns the order status of an instance, or the zero value if it
// cannot be read.
func (f *testFleet) orderStatusOf(i *fleet.Instance) orderStatus {
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
	defer cancel()
	var dump struct{ Roles struct{ Orders orderStatus } }
	if err := i.Dump(ctx, &dump); err != nil {
		return orderStatus{}
	}
	return dump.Roles.Orders
}

// controller returns the instance that is the controller, or nil if none of
// instances is.
func (f *testFleet) controller(instances []*fleet.Instance) *fleet.Instance {
	for _, i := range instances {
		if f.orderStatusOf(i).Controller {
			return i
		}
	}
	return nil
}

// waitUntil polls done until it returns true. It fails the test after waitLimit.
func (f *testFleet) waitUntil(what string, done func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitLimit); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			for _, i := range f.Instances {
				f.t.Logf("%s: %s", i.Name, i.Process.Log())
			}
			f.t.Fatalf("timed out after %v: %s", waitLimit, what)
		}
	}
}

// waitVersion waits until all engines serve a version and the controller among
// instances reports that they agree.
func (f *testFleet) waitVersion(version string, instances []*fleet.Instance) {
	f.t.Helper()
	f.waitUntil("all engines serve "+version, func() bool {
		return !slices.ContainsFunc(f.Engines, func(e fleet.Engine) bool { return f.servedVersion(e) != version })
	})
	f.waitAgreed(instances)
}

// waitAgreed waits until the controller among instances reports that all engines
// agree with the configuration text.
func (f *testFleet) waitAgreed(instances []*fleet.Instance) {
	f.t.Helper()
	f.waitUntil("all engines agree", func() bool {
		c := f.controller(instances)
		if c == nil {
			return false
		}
		s := f.orderStatusOf(c)
		return len(s.Engines) == len(f.Engines) && !slices.ContainsFunc(s.Engines, func(e struct{ Phase string }) bool { return e.Phase != "Agreed" })
	})
}

// servedVersion returns the version set by the newest order that took effect.
func (f *testFleet) servedVersion(e fleet.Engine) string {
	var last engine.OrderRecord
	for _, o := range f.ordersAt(e) {
		if o.EffectUnixMS >= last.EffectUnixMS && o.EffectUnixMS > 0 && o.Version != "" {
			last = o
		}
	}
	return last.Version
}

// engineRecord returns the record of calls that an engine has received.
func (f *testFleet) engineRecord(e fleet.Engine) engine.Record {
	f.t.Helper()
	var record engine.Record
	if err := e.Control.Record(f.t.Context(), &record); err != nil {
		f.t.Fatal(err)
	}
	return record
}

// ordersAt returns the orders that an engine has received.
func (f *testFleet) ordersAt(e fleet.Engine) []engine.OrderRecord { return f.engineRecord(e).Orders }

// setVersion applies a configuration text with another model version through an
// instance.
func (f *testFleet) setVersion(version string, by *fleet.Instance) {
	f.t.Helper()
	f.Text.Models[0].Version = version
	f.apply(by)
}

// apply applies the changed configuration text through an instance.
func (f *testFleet) apply(by *fleet.Instance) {
	f.t.Helper()
	if _, err := f.Apply(f.t.Context(), by); err != nil {
		f.t.Fatal(err)
	}
}

// inject injects a fault into all engines.
func (f *testFleet) inject(simulated control.Fault) {
	f.t.Helper()
	for _, e := range f.Engines {
		if err := e.Control.Inject(f.t.Context(), simulated); err != nil {
			f.t.Fatal(err)
		}
	}
}

// clear ends faults of the given kinds at all engines.
func (f *testFleet) clear(kinds ...control.Kind) {
	f.t.Helper()
	for _, e := range f.Engines {
		if err := e.Control.Clear(f.t.Context(), kinds...); err != nil {
			f.t.Fatal(err)
		}
	}
}

// otherInstance returns the instance that is not i.
func (f *testFleet) otherInstance(i *fleet.Instance) *fleet.Instance {
	return f.Instances[1-slices.Index(f.Instances, i)]
}

// hasUnfencedOrder reports whether an order with a given fencing number is in
// progress at an engine that ignores fencing numbers.
func (f *testFleet) hasUnfencedOrder(fencing ident.Epoch) bool {
	for _, e := range f.Engines {
		for _, o := range f.ordersAt(e) {
			if !e.ChecksFencing && o.Fencing == fencing && o.EffectUnixMS == 0 && !o.Refused {
				return true
			}
		}
	}
	return false
}

// checkNoConflicts fails the test if orders of two controllers overlapped at an
// engine or if an instance has ended.
func (f *testFleet) checkNoConflicts() {
	f.t.Helper()
	for _, e := range f.Engines {
		for _, o := range f.engineRecord(e).ConflictingOrders() {
			f.t.Errorf("%s (checks fencing: %v): %+v", e.Name, e.ChecksFencing, o)
		}
	}
	for _, i := range f.Instances {
		select {
		case <-i.Process.Ended():
			f.t.Errorf("%s ended: %s", i.Name, i.Process.Log())
		default:
		}
	}
}

// The controller is paused while it reads the engines' state. When it resumes, its
// lease has expired, its own orders are ready to be sent, and orders of the new
// controller are in progress. The change loads an adapter, which several engines
// may do at once.
func TestFleetPausedControllerSendsNoLateOrders(t *testing.T) {
	f := startFleet(t, 1, 3)
	old := f.controller(f.Instances)
	oldFencing := f.orderStatusOf(old).Fencing
	next := f.otherInstance(old)
	f.inject(control.Fault{Kind: control.Delay, Path: "/state", DelayMS: 1500})
	f.Text.Models[0].Adapters = []string{"visit-notes"}
	f.apply(next)
	time.Sleep(500 * time.Millisecond) // By now the controller is reading the engines' state.
	if err := old.Process.Pause(); err != nil {
		t.Fatal(err)
	}
	f.inject(control.Fault{Kind: control.Slow, Factor: slowdownFactor})
	time.Sleep(time.Second) // The engines' responses are now in the socket buffers of the paused process.
	f.clear(control.Delay)
	f.waitUntil("the other instance is the controller", func() bool { return f.orderStatusOf(next).Controller })
	fencing := f.orderStatusOf(next).Fencing
	if fencing <= oldFencing {
		t.Errorf("the new controller has fencing number %d, the old one had %d", fencing, oldFencing)
	}
	f.waitUntil("an order of the new controller is in progress", func() bool { return f.hasUnfencedOrder(fencing) })
	if err := old.Process.Resume(); err != nil {
		t.Fatal(err)
	}
	f.waitAgreed([]*fleet.Instance{next, old})
	f.checkNoConflicts()
	for _, e := range f.Engines {
		for _, o := range f.ordersAt(e) {
			if o.Adapter != "" && o.Fencing <= oldFencing {
				t.Errorf("%s got an order of the expired lease: %+v", e.Name, o)
			}
		}
	}
}

// The controller loses its connection to the store and sends an order shortly
// before its lease expires. The new controller can reach the store, and must wait
// until that order has ended.
func TestFleetNewControllerWaitsForRunningOrders(t *testing.T) {
	f := startFleet(t, 1, 1)
	old := f.controller(f.Instances)
	oldFencing := f.orderStatusOf(old).Fencing
	next := f.otherInstance(old)
	for i := range f.Text.Engines {
		f.Text.Engines[i].OrderTimeoutMS = 4000
	}
	f.inject(control.Fault{Kind: control.Slow, Factor: 2 * slowdownFactor})
	old.StoreRelay.Cut()
	f.waitUntil("the lease is about to expire", func() bool { return time.Until(f.orderStatusOf(old).Deadline) < orderLease/2 })
	f.setVersion("v2", next) // The controller receives the text from the other instance.
	f.waitUntil("an order of the old controller is in progress", func() bool { return f.hasUnfencedOrder(oldFencing) })
	if err := old.Process.Pause(); err != nil { // The engine continues to execute the order.
		t.Fatal(err)
	}
	f.waitUntil("the other instance is the controller", func() bool { return f.orderStatusOf(next).Controller })
	f.waitVersion("v2", []*fleet.Instance{next})
	if err := old.Process.Resume(); err != nil {
		t.Fatal(err)
	}
	old.StoreRelay.Heal()
	time.Sleep(time.Second)
	f.checkNoConflicts()
}

// During an outage of the store, no instance sends orders after the lease has
// expired. After the outage, the engines reach the declared state, even with a slow
// weight store.
func TestFleetStoreOutage(t *testing.T) {
	f := startFleet(t, 1, 1)
	f.inject(control.Fault{Kind: control.Delay, Path: "/state", DelayMS: 1900})
	f.setVersion("v2", f.Instances[0])
	if err := f.Store.Control.Inject(t.Context(), control.Fault{Kind: control.Hang}); err != nil {
		t.Fatal(err)
	}
	f.waitUntil("no instance is the controller", func() bool { return f.controller(f.Instances) == nil })
	f.clear(control.Delay)
	f.inject(control.Fault{Kind: control.Slow, Factor: slowdownFactor})
	expired := time.Now()
	time.Sleep(orderLease)
	restored := time.Now()
	for _, e := range f.Engines {
		for _, o := range f.ordersAt(e) {
			if at := time.UnixMilli(o.ReceivedUnixMS); at.After(expired.Add(time.Second)) && at.Before(restored) {
				t.Errorf("%s got an order while no instance held the lease: %+v", e.Name, o)
			}
		}
	}
	if err := f.Store.Control.Clear(t.Context(), control.Hang); err != nil {
		t.Fatal(err)
	}
	f.waitVersion("v2", f.Instances)
	f.checkNoConflicts()
}
