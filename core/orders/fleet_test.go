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
	leaseTime = 3 * time.Second
	// slowness makes an order of 50 ms take 1.5 s, within its limit of 2 s.
	slowness = 30
	waitMost = 15 * time.Second
)

// rig is a failure domain of real processes: two instances, and engines of which
// every second one checks fencing numbers.
type rig struct {
	*fleet.Fleet
	t *testing.T
}

func startRig(t *testing.T, prefill, decode int) *rig {
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
	w.Domains, w.Prefill, w.Decode, w.Services = w.Domains[:1], prefill, decode, 1
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := fleet.Start(ctx, runner, fleet.Spec{
		Workload: w, Instances: 2, Embedded: true, ChecksFence: true, HeartbeatMS: 100,
		OrderLease: leaseTime, Env: []string{invariant.FatalEnv + "=1"},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	r := &rig{f, t}
	r.waitVersion("v1", f.Instances)
	return r
}

// orderStatus is the part of a dump that tests look at.
type orderStatus struct {
	Controller bool
	Fencing    ident.Epoch
	Deadline   time.Time
	Engines    []struct{ Phase string }
}

// status returns what an instance knows of orders; zero if it does not answer.
func (r *rig) status(i *fleet.Instance) orderStatus {
	ctx, cancel := context.WithTimeout(r.t.Context(), time.Second)
	defer cancel()
	var dump struct{ Roles struct{ Orders orderStatus } }
	if err := i.Dump(ctx, &dump); err != nil {
		return orderStatus{}
	}
	return dump.Roles.Orders
}

// controller returns the controller among instances, or nil.
func (r *rig) controller(instances []*fleet.Instance) *fleet.Instance {
	for _, i := range instances {
		if r.status(i).Controller {
			return i
		}
	}
	return nil
}

// until waits until done.
func (r *rig) until(what string, done func() bool) {
	r.t.Helper()
	for deadline := time.Now().Add(waitMost); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			for _, i := range r.Instances {
				r.t.Logf("%s: %s", i.Name, i.Process.Log())
			}
			r.t.Fatalf("not within %v: %s", waitMost, what)
		}
	}
}

// waitVersion waits until all engines serve a version and the controller among
// instances says so.
func (r *rig) waitVersion(version string, instances []*fleet.Instance) {
	r.t.Helper()
	r.until("all engines serve "+version, func() bool {
		return !slices.ContainsFunc(r.Engines, func(e fleet.Engine) bool { return r.versionOf(e) != version })
	})
	r.waitAgreed(instances)
}

// waitAgreed waits until the controller among instances says that all engines
// agree with the text.
func (r *rig) waitAgreed(instances []*fleet.Instance) {
	r.t.Helper()
	r.until("all engines agree", func() bool {
		c := r.controller(instances)
		if c == nil {
			return false
		}
		s := r.status(c)
		return len(s.Engines) == len(r.Engines) && !slices.ContainsFunc(s.Engines, func(e struct{ Phase string }) bool { return e.Phase != "Agreed" })
	})
}

// versionOf returns the version that the newest order in effect has set.
func (r *rig) versionOf(e fleet.Engine) string {
	var last engine.OrderRecord
	for _, o := range r.orders(e) {
		if o.EffectUnixMS >= last.EffectUnixMS && o.EffectUnixMS > 0 && o.Version != "" {
			last = o
		}
	}
	return last.Version
}

// record returns what an engine has counted.
func (r *rig) record(e fleet.Engine) engine.Record {
	r.t.Helper()
	var record engine.Record
	if err := e.Control.Record(r.t.Context(), &record); err != nil {
		r.t.Fatal(err)
	}
	return record
}

// orders returns the orders that an engine got.
func (r *rig) orders(e fleet.Engine) []engine.OrderRecord { return r.record(e).Orders }

// setVersion puts a text with another version in force by way of an instance.
func (r *rig) setVersion(version string, by *fleet.Instance) {
	r.t.Helper()
	r.Text.Models[0].Version = version
	r.apply(by)
}

// apply puts the changed text in force by way of an instance.
func (r *rig) apply(by *fleet.Instance) {
	r.t.Helper()
	if _, err := r.Apply(r.t.Context(), by); err != nil {
		r.t.Fatal(err)
	}
}

// inject makes a fault at all engines.
func (r *rig) inject(f control.Fault) {
	r.t.Helper()
	for _, e := range r.Engines {
		if err := e.Control.Inject(r.t.Context(), f); err != nil {
			r.t.Fatal(err)
		}
	}
}

// clear ends faults at all engines.
func (r *rig) clear(kinds ...control.Kind) {
	r.t.Helper()
	for _, e := range r.Engines {
		if err := e.Control.Clear(r.t.Context(), kinds...); err != nil {
			r.t.Fatal(err)
		}
	}
}

// other returns the instance that is not i.
func (r *rig) other(i *fleet.Instance) *fleet.Instance {
	return r.Instances[1-slices.Index(r.Instances, i)]
}

// underWay reports whether an order with a fencing number is under way at an
// engine that ignores fencing numbers.
func (r *rig) underWay(fencing ident.Epoch) bool {
	for _, e := range r.Engines {
		for _, o := range r.orders(e) {
			if !e.ChecksFencing && o.Fencing == fencing && o.EffectUnixMS == 0 && !o.Refused {
				return true
			}
		}
	}
	return false
}

// checkOrders fails the test when orders of two controllers met at an engine.
func (r *rig) checkOrders() {
	r.t.Helper()
	for _, e := range r.Engines {
		for _, o := range r.record(e).ConflictingOrders() {
			r.t.Errorf("%s (checks fencing: %v): %+v", e.Name, e.ChecksFencing, o)
		}
	}
	for _, i := range r.Instances {
		select {
		case <-i.Process.Ended():
			r.t.Errorf("%s ended: %s", i.Name, i.Process.Log())
		default:
		}
	}
}

// The controller is paused while it reads the state of engines, so that its
// orders are due when it wakes, past its lease and while its successor's orders
// are under way. Adapters are loaded by many engines at once.
func TestFleetPausedControllerSendsNothingLate(t *testing.T) {
	r := startRig(t, 1, 3)
	old := r.controller(r.Instances)
	oldFencing := r.status(old).Fencing
	next := r.other(old)
	r.inject(control.Fault{Kind: control.Delay, Path: "/state", DelayMS: 1500})
	r.Text.Models[0].Adapters = []string{"visit-notes"}
	r.apply(next)
	time.Sleep(500 * time.Millisecond) // The controller has begun to read by now.
	if err := old.Process.Pause(); err != nil {
		t.Fatal(err)
	}
	r.inject(control.Fault{Kind: control.Slow, Factor: slowness})
	time.Sleep(time.Second) // What was read is waiting in the sockets.
	r.clear(control.Delay)
	r.until("the other instance is the controller", func() bool { return r.status(next).Controller })
	fencing := r.status(next).Fencing
	if fencing <= oldFencing {
		t.Errorf("fencing number %d after %d", fencing, oldFencing)
	}
	r.until("an order of the new controller is under way", func() bool { return r.underWay(fencing) })
	if err := old.Process.Resume(); err != nil {
		t.Fatal(err)
	}
	r.waitAgreed([]*fleet.Instance{next, old})
	r.checkOrders()
	for _, e := range r.Engines {
		for _, o := range r.orders(e) {
			if o.Adapter != "" && o.Fencing <= oldFencing {
				t.Errorf("%s got an order of the lapsed lease: %+v", e.Name, o)
			}
		}
	}
}

// The controller loses the store and sends an order right before its lease
// lapses. Its successor has the store at once, and has to wait.
func TestFleetSuccessorWaitsForOrdersUnderWay(t *testing.T) {
	r := startRig(t, 1, 1)
	old := r.controller(r.Instances)
	oldFencing := r.status(old).Fencing
	next := r.other(old)
	for i := range r.Text.Engines {
		r.Text.Engines[i].OrderTimeoutMS = 4000
	}
	r.inject(control.Fault{Kind: control.Slow, Factor: 2 * slowness})
	old.Store.Cut()
	r.until("the lease is about to lapse", func() bool { return time.Until(r.status(old).Deadline) < leaseTime/2 })
	r.setVersion("v2", next) // Reaches the controller from its peer.
	r.until("an order of the old controller is under way", func() bool { return r.underWay(oldFencing) })
	if err := old.Process.Pause(); err != nil { // The order goes on at the engine.
		t.Fatal(err)
	}
	r.until("the other instance is the controller", func() bool { return r.status(next).Controller })
	r.waitVersion("v2", []*fleet.Instance{next})
	if err := old.Process.Resume(); err != nil {
		t.Fatal(err)
	}
	old.Store.Heal()
	time.Sleep(time.Second)
	r.checkOrders()
}

// Without the store nobody gives orders once the lease has lapsed. When it is
// back, the engines follow the text, also with a slow weight store.
func TestFleetStoreOutage(t *testing.T) {
	r := startRig(t, 1, 1)
	r.inject(control.Fault{Kind: control.Delay, Path: "/state", DelayMS: 1900})
	r.setVersion("v2", r.Instances[0])
	if err := r.Store.Control.Inject(t.Context(), control.Fault{Kind: control.Hang}); err != nil {
		t.Fatal(err)
	}
	r.until("nobody is the controller", func() bool { return r.controller(r.Instances) == nil })
	r.clear(control.Delay)
	r.inject(control.Fault{Kind: control.Slow, Factor: slowness})
	lapsed := time.Now()
	time.Sleep(leaseTime)
	back := time.Now()
	for _, e := range r.Engines {
		for _, o := range r.orders(e) {
			if at := time.UnixMilli(o.ReceivedUnixMS); at.After(lapsed.Add(time.Second)) && at.Before(back) {
				t.Errorf("%s got an order while nobody held the lease: %+v", e.Name, o)
			}
		}
	}
	if err := r.Store.Control.Clear(t.Context(), control.Hang); err != nil {
		t.Fatal(err)
	}
	r.waitVersion("v2", r.Instances)
	r.checkOrders()
}
