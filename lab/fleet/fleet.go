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

// Engine is a stand-in engine of a fleet.
type Engine struct {
	*StandIn
	Role          engine.Role
	ChecksFencing bool
}

// Fleet is a running fleet and the configuration text that describes it.
type Fleet struct {
	Spec         Spec
	Runner       *process.Runner
	Store        *StandIn
	InstanceList *StandIn // The platform's instance list.
	Engines      []Engine
	Services     []*StandIn // Endpoints of the plain service.
	Instances    []*Instance
	Text         *text.Text                      // Configuration text; Apply applies it.
	Keys         map[ident.OrganisationID]string // API key of each organisation.

	mu    sync.Mutex
	inUse map[*Instance]bool // Instances to which the simulated balancer sends callers.
}

// Start starts a fleet, applies its configuration text and waits until every
// instance is ready. On an error it ends everything that it has started.
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
		f.applyInitialConfig,
		f.waitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	return f, nil
}

// startInstances sets the instance list and starts all instances.
func (f *Fleet) startInstances(ctx context.Context) error {
	for n := range f.Spec.Instances {
		i, err := f.newInstance(n)
		if err != nil {
			return err
		}
		f.Instances = append(f.Instances, i)
	}
	f.setBootstrapPeers()
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

// setBootstrapPeers sets in the settings of each instance the peer addresses of
// up to two others, through which it discovers the remaining instances.
func (f *Fleet) setBootstrapPeers() {
	for n, i := range f.Instances {
		for step := 1; step <= 2 && step < len(f.Instances); step++ {
			other := f.Instances[(n+step)%len(f.Instances)]
			i.Settings.FirstPeers = append(i.Settings.FirstPeers, other.Settings.PeerAddress)
		}
	}
}

// SetList replaces the contents of the platform's instance list.
func (f *Fleet) SetList(ctx context.Context, live, leaving []*Instance) error {
	var request list.InstancesRequest
	add := func(instances []*Instance, state string) {
		for _, i := range instances {
			host, port := i.listAddress()
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
	return f.InstanceList.Control.Post(ctx, "/control/instances", request)
}

// waitReady waits until all instances are ready and adds them to those that the
// simulated balancer uses.
func (f *Fleet) waitReady(ctx context.Context) error {
	for _, i := range f.Instances {
		if err := i.WaitReady(ctx); err != nil {
			return err
		}
		f.SetInUse(i, true)
	}
	return nil
}

// SetInUse sets whether the simulated balancer sends callers to an instance.
func (f *Fleet) SetInUse(i *Instance, use bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inUse[i] = use
}

// InUse returns the caller addresses of the instances to which the simulated
// balancer sends callers.
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

// StandIns returns all stand-ins that were started.
func (f *Fleet) StandIns() []*StandIn {
	all := make([]*StandIn, 0, len(f.Engines)+len(f.Services)+2)
	for _, s := range append([]*StandIn{f.Store, f.InstanceList}, f.Services...) {
		if s != nil {
			all = append(all, s)
		}
	}
	for _, e := range f.Engines {
		all = append(all, e.StandIn)
	}
	return all
}

// Close kills the processes of the instances and ends all stand-ins.
func (f *Fleet) Close() error {
	var errs []error
	for _, i := range f.Instances {
		if i.Process != nil {
			errs = append(errs, i.Process.Kill())
		}
		errs = append(errs, i.StoreRelay.Close())
	}
	for _, s := range f.StandIns() {
		if s.Process != nil {
			errs = append(errs, s.Process.Kill())
		}
		errs = append(errs, s.close())
	}
	return errors.Join(errs...)
}
