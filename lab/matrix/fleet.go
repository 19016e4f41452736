package matrix

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.yaml.in/yaml/v3"

	"monsoonfork/core/ident"
	"monsoonfork/core/settings"
	"monsoonfork/lab/process"
	"monsoonfork/lab/relay"
	"monsoonfork/platform/standin"
)

// Bounds and times of a fleet.
const (
	repeatRatio   = 0.2
	repeatSlack   = 54
	repeatWindowS = 10
	stopS         = 8 // From SIGTERM until the platform kills the process.
	orderLeaseMS  = 3000
	domain        = "a"
	awaitInterval = 10 * time.Millisecond
)

// fleet is an instance under test, with a stand-in store and engines.
type fleet struct {
	runner    *process.Runner
	store     *standin.Store
	storeLink *relay.Relay
	server    *http.Server
	engines   *standin.Engines
	started   []*standin.Engine
	leaving   []*standin.Engine // One of each two engines of a service and stage.
	full      []*standin.Engine // Have no memory until the requests are released.
	settings  settings.Settings
	process   *process.Process
	calls     []*call // One of each row.

	mu     sync.Mutex
	config standin.Configuration // The newest one in the store.
}

// startFleet starts the store, the engines and an instance, and waits until it is ready.
func startFleet(ctx context.Context, runner *process.Runner, program, name string) (*fleet, error) {
	f := &fleet{runner: runner, store: standin.NewStore(), config: initialConfiguration()}
	f.engines = &standin.Engines{Store: f.store, Recorder: standin.NewRecorder(), Holds: standin.NewHolds()}
	if err := f.startStore(); err != nil {
		return nil, err
	}
	if err := f.startEngines(); err != nil {
		return nil, err
	}
	if err := f.store.Configure(f.config); err != nil {
		return nil, err
	}
	return f, f.startInstance(ctx, name, program)
}

// startStore serves the store behind a relay.
func (f *fleet) startStore() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(listener) }()
	f.storeLink, err = relay.New(listener.Addr().String())
	return err
}

// startEngines starts the engines of all services.
func (f *fleet) startEngines() error {
	for _, s := range []standin.Spec{
		{Service: standin.PlainService}, {Service: standin.PlainService}, {Service: otherPlain},
		{Service: standin.ModelService, Stage: "prefill"}, {Service: standin.ModelService, Stage: "prefill"},
		{Service: standin.ModelService, Stage: "decode"}, {Service: standin.ModelService, Stage: "decode"}, {Service: standin.ModelService, Stage: "decode"},
		{Service: otherModel, Stage: "prefill"}, {Service: otherModel, Stage: "decode"},
		{Service: fullModel, Stage: "prefill"}, {Service: fullModel, Stage: "decode"}, {Service: fullModel, Stage: "decode"},
	} {
		s.Domain = domain
		e, err := f.engines.Start(s)
		if err != nil {
			return err
		}
		f.started = append(f.started, e)
	}
	f.leaving = []*standin.Engine{f.started[0], f.started[3], f.started[5]}
	f.full = f.started[len(f.started)-2:]
	for _, e := range f.full {
		e.SetBehaviour(standin.Full)
	}
	return nil
}

// startInstance starts the instance and waits until it is ready.
func (f *fleet) startInstance(ctx context.Context, name, program string) error {
	s := settings.Default()
	s.Name, s.Domain, s.Deployment = name, domain, settings.Platform
	for _, to := range []*ident.Address{&s.CallerAddress, &s.PeerAddress, &s.OperatorAddress, &s.MetricsAddress} {
		address, err := process.FreeAddress()
		if err != nil {
			return err
		}
		*to = ident.Address(address)
	}
	s.StoreAddresses = []ident.Address{ident.Address(f.storeLink.Address())}
	s.FirstPeers = []ident.Address{s.PeerAddress}
	s.Bounds = settings.Bounds{RepeatRatio: repeatRatio, RepeatSlack: repeatSlack, RepeatWindowS: repeatWindowS, StopS: stopS, OrderLeaseMS: orderLeaseMS}
	f.settings = *s
	raw, err := yaml.Marshal(s)
	if err != nil {
		return err
	}
	path, err := f.runner.WriteFile(name+".yaml", raw)
	if err != nil {
		return err
	}
	f.process, err = f.runner.Start(process.Spec{Name: name, Path: program, Args: []string{"serve", "--settings", path}})
	if err != nil {
		return err
	}
	if !await(ctx, func() bool { return process.IsReady(ctx, f.settings.OperatorAddress) }) {
		return fmt.Errorf("the instance is not ready: %s", f.process.Log())
	}
	return nil
}

// address returns the address on which the instance serves callers.
func (f *fleet) address() string { return string(f.settings.CallerAddress) }

// configure changes the configuration and writes it to the store.
func (f *fleet) configure(change func(*standin.Configuration)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.config)
	f.config.Version++
	return f.store.Configure(f.config)
}

// awaitConfiguration waits until the instance has applied the newest configuration.
func (f *fleet) awaitConfiguration(ctx context.Context) error {
	applied := func() bool {
		f.mu.Lock()
		newest := fmt.Sprintf("msg=\"configuration applied\" version=%d ", f.config.Version)
		f.mu.Unlock()
		return strings.Contains(f.process.Log(), newest)
	}
	if !await(ctx, applied) {
		return errors.New("the instance has not applied the newest configuration")
	}
	return nil
}

// awaitLog waits until the instance has logged a text.
func (f *fleet) awaitLog(ctx context.Context, text string) error {
	if !await(ctx, func() bool { return strings.Contains(f.process.Log(), text) }) {
		return fmt.Errorf("the instance has not logged %q", text)
	}
	return nil
}

// close stops the instance, the engines and the store.
func (f *fleet) close() error {
	err := f.process.Kill()
	for _, e := range f.started {
		e.Stop(true)
	}
	err = errors.Join(err, f.storeLink.Close(), f.server.Close())
	f.store.Close()
	return err
}

// await waits until a condition holds, and reports whether it does before ctx ends.
func await(ctx context.Context, condition func() bool) bool {
	for !condition() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(awaitInterval):
		}
	}
	return true
}
