package platformsoak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"

	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/settings"
	"monsoonfork/lab/process"
	"monsoonfork/lab/relay"
	"monsoonfork/platform/standin"
)

// What the platform asks of the daemons, as in its settings.
const (
	repeatRatio    = 0.2
	repeatSlack    = 54
	repeatWindow   = 10 * time.Second
	stopTime       = 8 * time.Second
	orderLeaseMS   = 3000
	drainTime      = 2 * time.Second
	applyTime      = 2 * time.Second
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 190_000
)

// domains are the failure domains.
var domains = []string{"a", "b", "c", "d"}

// world is the processes and what stands around them.
type world struct {
	runner    *process.Runner
	program   string
	store     *standin.Store
	server    *http.Server
	engines   *standin.Engines
	instances []*instance
	relays    []*relay.Relay

	mu       sync.Mutex
	places   []*place // Each with one engine.
	config   standin.Configuration
	rotation map[string]bool // Instances that new connections go to.
}

// place is where an engine runs: when it ends another one comes.
type place struct {
	name   string
	spec   standin.Spec
	engine *standin.Engine
	relay  *relay.Relay
}

// instance is one instance of the program.
type instance struct {
	name     string
	settings settings.Settings
	store    *relay.Relay // To the store.

	mu      sync.Mutex
	process *process.Process
	starts  int
	planned bool // Its end is intended.
}

// newWorld starts everything and waits until the instances are ready.
func newWorld(ctx context.Context, runner *process.Runner, instances int) (*world, error) {
	program, err := runner.Build(ctx, "monsoonfork")
	if err != nil {
		return nil, err
	}
	w := &world{runner: runner, program: program, store: standin.NewStore(), rotation: make(map[string]bool)}
	w.engines = &standin.Engines{Store: w.store, Record: standin.NewRecorder()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }()
	if err := w.startEngines(); err != nil {
		return nil, err
	}
	w.config = firstConfiguration()
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

// firstConfiguration is what the operator writes at first.
func firstConfiguration() standin.Configuration {
	return standin.Configuration{
		Version: 1,
		Routes: []standin.Route{
			{Host: host, Prefix: "/draft/", Stream: true},
			{Host: host, Prefix: "/letter/", Stream: true, AtMostOnce: true},
			{Host: host, Prefix: "/order/", AtMostOnce: true},
			{Host: host, Prefix: "/status/"},
			{Host: host, Prefix: "/open/", Public: true},
		},
		Organisations: []standin.Organisation{
			{Name: "quiet", Keys: []string{"key-quiet"}, Rate: 100_000, Burst: 100_000},
			{Name: "steady", Keys: []string{"key-steady"}, Rate: 100_000, Burst: 100_000},
			{Name: loudName, Keys: []string{"key-loud"}, Rate: 3000, Burst: 6000},
		},
	}
}

// host is the host of all routes.
const host = "shop.example"

// startEngines starts the engines, each behind a relay.
func (w *world) startEngines() error {
	for n, d := range append(domains, domains...) {
		stage := "decode"
		if n < len(domains)-1 {
			stage = "prefill"
		}
		w.places = append(w.places, &place{name: fmt.Sprintf("model-%d", n), spec: standin.Spec{Service: standin.ModelService, Domain: d, Stage: stage}})
	}
	for n, d := range domains {
		w.places = append(w.places, &place{name: fmt.Sprintf("plain-%d", n), spec: standin.Spec{Service: standin.PlainService, Domain: d}})
	}
	for _, p := range w.places {
		if err := w.startEngine(p); err != nil {
			return err
		}
	}
	return nil
}

// startEngine starts an engine at a place.
func (w *world) startEngine(p *place) error {
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
	p.engine = e
	return nil
}

// newRelay returns a relay that is closed with the world.
func (w *world) newRelay(target string) (*relay.Relay, error) {
	r, err := relay.New(target)
	if err == nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.relays = append(w.relays, r)
	}
	return r, err
}

// startInstances starts the instances.
func (w *world) startInstances(store string, count int) error {
	var peers []ident.Address
	for n := range count {
		i := &instance{name: fmt.Sprintf("front-%d", n)}
		var err error
		if i.store, err = w.newRelay(store); err != nil {
			return err
		}
		s := settings.Default()
		s.Name, s.Domain, s.Deployment = i.name, ident.DomainID(domains[n%len(domains)]), settings.Platform
		for _, to := range []*ident.Address{&s.CallerAddress, &s.PeerAddress, &s.OperatorAddress, &s.MetricsAddress} {
			address, err := process.FreeAddress()
			if err != nil {
				return err
			}
			*to = ident.Address(address)
		}
		s.StoreAddresses = []ident.Address{ident.Address(i.store.Address())}
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

// startInstance starts a process for an instance.
func (w *world) startInstance(i *instance) error {
	raw, err := yaml.Marshal(i.settings)
	if err != nil {
		return err
	}
	path, err := w.runner.WriteFile(i.name+".yaml", raw)
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.starts++
	i.planned = false
	i.process, err = w.runner.Start(process.Spec{
		Name: fmt.Sprintf("%s-%d", i.name, i.starts), Path: w.program,
		Args: []string{"serve", "--settings", path}, Env: []string{invariant.FatalEnv + "=1"},
	})
	return err
}

// current returns the instance's process.
func (i *instance) current() *process.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process
}

// intend notes that the end of the process is intended, and returns it.
func (i *instance) intend() *process.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.planned = true
	return i.process
}

// endedByItself returns the process if it ended and nobody intended that, once.
func (i *instance) endedByItself() *process.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.process.Ended():
	default:
		return nil
	}
	if i.planned {
		return nil
	}
	i.planned = true
	return i.process
}

// reload tells the process that its settings may have changed.
func (i *instance) reload() error { return syscall.Kill(i.current().PID(), syscall.SIGHUP) }

// isReady asks an instance whether it is ready.
func (i *instance) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(i.settings.OperatorAddress)+"/readyz", nil)
	if err != nil {
		return false
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// waitReady waits until an instance is ready.
func (w *world) waitReady(ctx context.Context, i *instance) error {
	for !i.isReady(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w: %s", i.name, ctx.Err(), i.current().Log())
		case <-time.After(50 * time.Millisecond):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotation[i.name] = true
	return nil
}

// missesOut is how many questions an instance misses before it gets no new
// connections.
const missesOut = 2

// balance asks the instances every second whether they are ready.
func (w *world) balance(ctx context.Context) {
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
			w.rotation[i.name] = misses[i.name] < missesOut
			w.mu.Unlock()
		}
	}
}

// inRotation reports whether an instance gets new connections.
func (w *world) inRotation(i *instance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rotation[i.name]
}

// configure changes the configuration.
func (w *world) configure(change func(*standin.Configuration)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.config)
	w.config.Version += 3
	return w.store.Configure(w.config)
}

// close ends what the runner does not.
func (w *world) close() {
	for _, i := range w.instances {
		// What is left ends with the runner.
		_ = i.intend().Kill()
	}
	for _, p := range w.places {
		p.engine.Stop(true)
	}
	_ = w.server.Close()
	w.store.Close()
	for _, r := range w.relays {
		_ = r.Close()
	}
}
