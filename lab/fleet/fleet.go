package fleet

import (
	"context"
	"errors"
	"sync"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
	"monsoonfork/io/standin/engine"
	"monsoonfork/io/standin/list"
	"monsoonfork/lab/process"
)

// Engine is a stand-in engine.
type Engine struct {
	*StandIn
	Role          engine.Role
	ChecksFencing bool
}

// Fleet is a running fleet.
type Fleet struct {
	Spec      Spec
	Runner    *process.Runner
	Store     *StandIn
	List      *StandIn
	Engines   []Engine
	Services  []*StandIn
	Instances []*Instance
	Text      *text.Text
	Keys      map[ident.OrganisationID]string

	mu    sync.Mutex
	inUse map[*Instance]bool // What the balancer uses.
}

// Start starts a fleet, puts its text in force and waits until every instance
// is ready. On an error everything that was started has ended.
func Start(ctx context.Context, runner *process.Runner, spec Spec) (*Fleet, error) {
	f := &Fleet{
		Spec:   spec,
		Runner: runner,
		Keys:   make(map[ident.OrganisationID]string),
		inUse:  make(map[*Instance]bool),
	}
	steps := []func(context.Context) error{
		f.startPlatform,
		f.startEngines,
		f.startServices,
		f.startInstances,
		f.applyFirst,
		f.waitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	return f, nil
}

// startInstances starts all instances.
func (f *Fleet) startInstances(ctx context.Context) error {
	for n := range f.Spec.Instances {
		i, err := f.newInstance(n)
		if err != nil {
			return err
		}
		f.Instances = append(f.Instances, i)
	}
	f.setFirstPeers()
	if err := f.SetList(ctx, f.Instances, nil); err != nil {
		return err
	}
	for _, i := range f.Instances {
		if err := f.StartInstance(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// setFirstPeers tells each instance the addresses of two others.
func (f *Fleet) setFirstPeers() {
	for n, i := range f.Instances {
		for step := 1; step <= 2 && step < len(f.Instances); step++ {
			other := f.Instances[(n+step)%len(f.Instances)]
			i.Settings.FirstPeers = append(i.Settings.FirstPeers, other.Settings.PeerAddress)
		}
	}
}

// SetList sets the platform's instance list.
func (f *Fleet) SetList(ctx context.Context, live, leaving []*Instance) error {
	var request list.InstancesRequest
	add := func(instances []*Instance, state string) {
		for _, i := range instances {
			host, port := i.listLine()
			request.Instances = append(request.Instances, list.Instance{
				ID:      i.Name,
				Address: host,
				Port:    port,
				Domain:  string(i.Settings.Domain),
				State:   state,
			})
		}
	}
	add(live, "live")
	add(leaving, "leaving")
	return f.List.Control.Post(ctx, "/control/instances", request)
}

// waitReady waits until all instances are ready and lets the balancer use them.
func (f *Fleet) waitReady(ctx context.Context) error {
	for _, i := range f.Instances {
		if err := i.WaitReady(ctx); err != nil {
			return err
		}
		f.Use(i, true)
	}
	return nil
}

// Use says whether the balancer sends callers to an instance.
func (f *Fleet) Use(i *Instance, use bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inUse[i] = use
}

// InUse returns the caller addresses that the balancer uses.
func (f *Fleet) InUse() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	addresses := make([]string, 0, len(f.Instances))
	for _, i := range f.Instances {
		if f.inUse[i] {
			addresses = append(addresses, string(i.Settings.CallerAddress))
		}
	}
	return addresses
}

// StandIns returns all stand-ins.
func (f *Fleet) StandIns() []*StandIn {
	all := make([]*StandIn, 0, len(f.Engines)+len(f.Services)+2)
	for _, s := range append([]*StandIn{f.Store, f.List}, f.Services...) {
		if s != nil {
			all = append(all, s)
		}
	}
	for _, e := range f.Engines {
		all = append(all, e.StandIn)
	}
	return all
}

// Close ends the instances and all stand-ins.
func (f *Fleet) Close() error {
	var failures []error
	for _, i := range f.Instances {
		if i.Process != nil {
			failures = append(failures, i.Process.Kill())
		}
		failures = append(failures, i.Store.Close())
	}
	for _, s := range f.StandIns() {
		if s.Process != nil {
			failures = append(failures, s.Process.Kill())
		}
		failures = append(failures, s.close())
	}
	return errors.Join(failures...)
}
