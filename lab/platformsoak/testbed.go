package platformsoak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.yaml.in/yaml/v3"

	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/settings"
	"monsoonfork/lab/process"
	"monsoonfork/lab/relay"
	"monsoonfork/platform/standin"
)

// Bounds that the platform sets for the daemons, as in their settings.
const (
	repeatRatio    = 0.2              // Maximum ratio of repeated calls to requests, for each service.
	repeatSlack    = 54               // Repeated calls in a window that are allowed regardless of the ratio.
	repeatWindow   = 10 * time.Second // Window of repeatRatio and repeatSlack.
	stopTime       = 8 * time.Second  // Time limit of a planned stop.
	orderLeaseMS   = 3000             // Lease of the instance that sends orders to the engines of a domain.
	drainTime      = 2 * time.Second  // Time after which an engine that announced it is leaving must get no work.
	applyTime      = 2 * time.Second  // Time within which a change of the configuration must be in force.
	quotaWindow    = 8 * time.Second  // Window over which the tokens of an organisation are summed.
	quotaOvershoot = 0.1              // Allowed share above the quota of a window.
	quotaSlack     = 190_000          // Further tokens allowed above the quota of a window.
)

// domains lists the names of the failure domains.
var domains = []string{"a", "b", "c", "d"}

// testbed holds the instances under test and the stand-in store, engines and relays
// that they are connected to.
type testbed struct {
	runner    *process.Runner
	program   string
	store     *standin.Store
	server    *http.Server
	engines   *standin.Engines
	instances []*instance
	relays    []*relay.Relay

	mu       sync.Mutex
	replicas []*replica // Each runs one engine at a time.
	config   standin.Configuration
	rotation map[string]bool // Whether the balancer sends new connections to an instance, by its name.
}

// replica is one engine of the fleet; a new one replaces it when it ends.
type replica struct {
	name   string
	spec   standin.Spec
	engine *standin.Engine
	relay  *relay.Relay

	engineIDs []string // All its engines so far.
}

// instance is one instance of monsoonfork.
type instance struct {
	name      string
	settings  settings.Settings
	storeLink *relay.Relay // Relay on the link from the instance to the store.
	peerLink  *relay.Relay // Relay on the links from other instances to this one.
	peerIP    netip.Addr   // Source of the links to other instances.

	mu           sync.Mutex
	process      *process.Process
	startCount   int
	exitExpected bool // Whether a fault or the end of the run ends the process.
}

// newTestbed starts the store, engines and instances, and waits until the instances are ready.
func newTestbed(ctx context.Context, runner *process.Runner, instances int) (*testbed, error) {
	program, err := runner.Build(ctx, "monsoonfork")
	if err != nil {
		return nil, err
	}
	w := &testbed{runner: runner, program: program, store: standin.NewStore(), rotation: make(map[string]bool)}
	w.engines = &standin.Engines{Store: w.store, Recorder: standin.NewRecorder()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }()
	if err := w.startEngines(); err != nil {
		return nil, err
	}
	w.config = initialConfiguration()
	if err := w.store.Configure(w.config); err != nil {
		return nil, err
	}
	if err := w.startInstances(listener.Addr().String(), instances); err != nil {
		return nil, err
	}
	for _, i := range w.instances {
		if err := w.waitReady(ctx, i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// initialConfiguration returns the configuration at the start of a run.
func initialConfiguration() standin.Configuration {
	return standin.Configuration{
		Version: 1,
		Routes: []standin.Route{
			{Host: routeHost, Prefix: "/draft/", Stream: true},
			{Host: routeHost, Prefix: "/letter/", Stream: true, AtMostOnce: true},
			{Host: routeHost, Prefix: "/order/", AtMostOnce: true},
			{Host: routeHost, Prefix: "/status/"},
			{Host: routeHost, Prefix: "/open/", Public: true},
		},
		Organisations: []standin.Organisation{
			{Name: "quiet", Keys: []string{"key-quiet"}, Rate: 100_000, Burst: 100_000},
			{Name: "steady", Keys: []string{"key-steady"}, Rate: 100_000, Burst: 100_000},
			{Name: overLimitOrganisation, Keys: []string{"key-loud"}, Rate: 3000, Burst: 6000},
		},
	}
}

// routeHost is the host of all routes.
const routeHost = "shop.example"

// startEngines starts the engines, each behind a relay.
func (w *testbed) startEngines() error {
	for n, d := range append(domains, domains...) {
		stage := "decode"
		if n < len(domains)-1 {
			stage = "prefill"
		}
		w.replicas = append(w.replicas, &replica{name: fmt.Sprintf("model-%d", n), spec: standin.Spec{Service: standin.ModelService, Domain: d, Stage: stage}})
	}
	for n, d := range domains {
		w.replicas = append(w.replicas, &replica{name: fmt.Sprintf("plain-%d", n), spec: standin.Spec{Service: standin.PlainService, Domain: d}})
	}
	for _, p := range w.replicas {
		if err := w.startEngine(p); err != nil {
			return err
		}
	}
	return nil
}

// startEngine starts a new engine for a replica.
func (w *testbed) startEngine(p *replica) error {
	spec := p.spec
	spec.Relay = func(target string) (string, error) {
		r, err := w.newRelay(target)
		if err != nil {
			return "", err
		}
		p.relay = r
		return r.Address(), nil
	}
	e, err := w.engines.Start(spec)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p.engine, p.engineIDs = e, append(p.engineIDs, e.ID)
	return nil
}

// replicaOf returns the name of the replica that an engine belongs or belonged to, or "".
func (w *testbed) replicaOf(engine string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.replicas {
		if slices.Contains(p.engineIDs, engine) {
			return p.name
		}
	}
	return ""
}

// newRelay returns a relay that is closed with the testbed.
func (w *testbed) newRelay(target string, options ...relay.Option) (*relay.Relay, error) {
	r, err := relay.New(target, options...)
	if err == nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.relays = append(w.relays, r)
	}
	return r, err
}

// startInstances configures and starts count instances over the failure domains.
func (w *testbed) startInstances(store string, count int) error {
	var peers []ident.Address
	for n := range count {
		i := &instance{name: fmt.Sprintf("front-%d", n)}
		var err error
		if i.storeLink, err = w.newRelay(store); err != nil {
			return err
		}
		s := settings.Default()
		s.Name, s.Domain, s.Deployment = i.name, ident.DomainID(domains[n%len(domains)]), settings.Platform
		s.MemoryMB = float64(maxResidentBytes) / 1e6
		for _, to := range []*ident.Address{&s.CallerAddress, &s.PeerAddress, &s.OperatorAddress, &s.MetricsAddress} {
			address, err := process.FreeAddress()
			if err != nil {
				return err
			}
			*to = ident.Address(address)
		}
		if err := w.addPeerLink(i, s, n); err != nil {
			return err
		}
		s.StoreAddresses = []ident.Address{ident.Address(i.storeLink.Address())}
		s.Bounds = settings.Bounds{
			RepeatRatio: repeatRatio, RepeatSlack: repeatSlack, RepeatWindowS: repeatWindow.Seconds(),
			StopS: stopTime.Seconds(), OrderLeaseMS: orderLeaseMS,
		}
		if len(peers) < 3 {
			peers = append(peers, s.PeerAddress)
		}
		i.settings = *s
		w.instances = append(w.instances, i)
	}
	for _, i := range w.instances {
		i.settings.FirstPeers = peers
		if err := w.startInstance(i); err != nil {
			return err
		}
	}
	return nil
}

// startInstance writes the settings of an instance and starts its process.
func (w *testbed) startInstance(i *instance) error {
	path, err := w.writeSettings(i)
	if err != nil {
		return err
	}
	if err := i.peerLink.Accept(); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.startCount++
	i.exitExpected = false
	i.process, err = w.runner.Start(process.Spec{
		Name: fmt.Sprintf("%s-%d", i.name, i.startCount), Path: w.program,
		Args: []string{"serve", "--settings", path}, Env: []string{invariant.FatalEnv + "=1"},
	})
	if err == nil {
		go i.refusePeersAfter(i.process)
	}
	return err
}

// writeSettings writes the settings file of an instance and returns its path.
func (w *testbed) writeSettings(i *instance) (path string, err error) {
	raw, err := yaml.Marshal(i.settings)
	if err != nil {
		return "", err
	}
	return w.runner.WriteFile(i.name+".yaml", raw)
}

// currentProcess returns the newest process of the instance.
func (i *instance) currentProcess() *process.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process
}

// expectExit marks the exit of the process as expected, and returns the process.
func (i *instance) expectExit() *process.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.exitExpected = true
	return i.process
}

// unexpectedExit returns the process if it exited unexpectedly. It reports each process once.
func (i *instance) unexpectedExit() *process.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.process.Ended():
	default:
		return nil
	}
	if i.exitExpected {
		return nil
	}
	i.exitExpected = true
	return i.process
}

// readyTimeout is the time limit for the readiness check of an instance.
const readyTimeout = 500 * time.Millisecond

// isReady reports whether an instance answers its readiness check.
func (i *instance) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return process.IsReady(ctx, i.settings.OperatorAddress)
}

// waitReady waits until an instance is ready and adds it to the rotation.
func (w *testbed) waitReady(ctx context.Context, i *instance) error {
	for !i.isReady(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w: %s", i.name, ctx.Err(), i.currentProcess().Log())
		case <-time.After(50 * time.Millisecond):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotation[i.name] = true
	return nil
}

// missesBeforeRemoval is the number of consecutive failed readiness checks after which
// the balancer removes an instance from the rotation.
const missesBeforeRemoval = 2

// runBalancer checks the readiness of all instances every second and updates the rotation.
func (w *testbed) runBalancer(ctx context.Context) {
	misses := make(map[string]int)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, i := range w.instances {
			if i.isReady(ctx) {
				misses[i.name] = 0
			} else {
				misses[i.name]++
			}
			w.mu.Lock()
			w.rotation[i.name] = misses[i.name] < missesBeforeRemoval
			w.mu.Unlock()
		}
	}
}

// inRotation reports whether the balancer sends new connections to an instance.
func (w *testbed) inRotation(i *instance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rotation[i.name]
}

// changeConfiguration changes the configuration and writes it to the store.
func (w *testbed) changeConfiguration(change func(*standin.Configuration)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.config)
	w.config.Version += 3
	return w.store.Configure(w.config)
}

// stop stops the engines, store and relays, and kills the instances.
func (w *testbed) stop() {
	for _, i := range w.instances {
		// The runner ends a process that can't be killed here.
		_ = i.expectExit().Kill()
	}
	for _, p := range w.replicas {
		p.engine.Stop(true)
	}
	_ = w.server.Close()
	w.store.Close()
	for _, r := range w.relays {
		_ = r.Close()
	}
}
