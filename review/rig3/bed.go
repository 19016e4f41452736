// Command rig3 plays the script cases of the third review: instances of the router as separate
// processes, with a store, engines and callers that it simulates itself, on loopback addresses.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"monsoonfork/platform/standin"
)

// host is the host of all routes.
const host = "shop.example"

// bed is a small deployment: a store, engines and instances of the router.
type bed struct {
	dir      string
	store    *standin.Store
	storeSrv *http.Server
	storeAt  string
	program  string
	started  time.Time
	fronts   []*front
	engines  []*engine
	peers    []string // Peer addresses of the first instances.
	ports    int      // Number of ports tried so far.

	mu     sync.Mutex
	record *os.File
}

// newBed starts the store.
func newBed(program, record string) (*bed, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &bed{dir: dir, store: standin.NewStore(), storeAt: l.Addr().String(), program: program, started: time.Now(), record: file}
	b.storeSrv = &http.Server{Handler: b.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = b.storeSrv.Serve(l) }() // Ends with an error when it is closed.
	return b, nil
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%9.3f  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (b *bed) close() {
	for _, f := range b.fronts {
		f.kill()
	}
	for _, e := range b.engines {
		e.stop()
	}
	_ = b.storeSrv.Close()
	b.store.Close()
	_ = os.RemoveAll(b.dir)
	_ = b.record.Close()
}

// The ports of the instances, below those that the kernel gives to outgoing connections.
const (
	firstPort = 13_000
	portCount = 17_000
	portTries = 2_000
)

// freeAddress returns a loopback address with a free port.
func (b *bed) freeAddress() (string, error) {
	for range portTries {
		b.ports++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(os.Getpid()*61+b.ports)%portCount)
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no port is free")
}

// front is an instance of the router.
type front struct {
	name, zone                       string
	callers, peer, operator, metrics string // Its addresses.
	settings                         string // Path of its settings file.
	cmd                              *exec.Cmd
	ended                            chan struct{} // Closed when the process has ended.
}

// addFront prepares an instance.
func (b *bed) addFront(zone string) error {
	f := &front{name: fmt.Sprintf("front-%s-%d", zone, len(b.fronts)+1), zone: zone}
	for _, to := range []*string{&f.callers, &f.peer, &f.operator, &f.metrics} {
		var err error
		if *to, err = b.freeAddress(); err != nil {
			return err
		}
	}
	f.settings = filepath.Join(b.dir, f.name+".yaml")
	if len(b.peers) < 3 {
		b.peers = append(b.peers, f.peer)
	}
	b.fronts = append(b.fronts, f)
	return nil
}

// settingsFormat is deploy/instance.yaml for a small deployment.
const settingsFormat = `Name: %q
Domain: %q
Deployment: Platform
CallerAddress: %q
PeerAddress: %q
OperatorAddress: %q
MetricsAddress: %q
StoreAddresses: [%q]
FirstPeers: %s
BalancerDelayMS: 2100
MemoryMB: 134
Zones: { "z-a": "r", "z-b": "r", "z-c": "r", "z-d": "r",  }
Bounds:
  RepeatRatio: 0.2
  RepeatSlack: 54
  RepeatWindowS: 10
  StopS: 8
  OrderLeaseMS: 3000
  EvacuateMS: 
  ColdOvershoot: 
  ColdSlack: 
`

// start starts the process of an instance with the command of the deploy file.
func (b *bed) start(f *front) error {
	peers, err := json.Marshal(b.peers)
	if err != nil {
		return err
	}
	text := fmt.Sprintf(settingsFormat, f.name, f.zone, f.callers, f.peer, f.operator, f.metrics, b.storeAt, peers)
	if err := os.WriteFile(f.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(f.logPath(b), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	f.cmd = exec.Command(b.program, "serve", "--config-ms=2000", "--drain-ms=2000")
	f.cmd.Env = append(os.Environ(), "MONSOONFORK_BOOT="+f.settings)
	f.cmd.Stdout, f.cmd.Stderr = log, log
	if err := f.cmd.Start(); err != nil {
		return err
	}
	f.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // It is killed.
		_ = log.Close()
		close(ended)
	}(f.cmd, f.ended)
	return nil
}

// logPath returns the path of an instance's log.
func (f *front) logPath(b *bed) string { return filepath.Join(b.dir, f.name+".log") }

// kill ends the process of an instance.
func (f *front) kill() {
	if f.ended == nil {
		return
	}
	_ = f.cmd.Process.Kill() // It may have ended.
	<-f.ended
}

// readyTimeout is how long an instance may take to be ready.
const readyTimeout = 20 * time.Second

// startAll starts all instances and waits until they are ready.
func (b *bed) startAll() error {
	for _, f := range b.fronts {
		if err := b.start(f); err != nil {
			return err
		}
	}
	for _, f := range b.fronts {
		if err := b.awaitReady(f); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until an instance is ready.
func (b *bed) awaitReady(f *front) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f.isReady() {
			return nil
		}
	}
	log, err := os.ReadFile(f.logPath(b))
	return fmt.Errorf("%s is not ready: %s, %w", f.name, log[max(0, len(log)-600):], err)
}

// isReady asks an instance whether it is ready.
func (f *front) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + f.operator + "/readyz")
	if err != nil {
		return false
	}
	return res.Body.Close() == nil && res.StatusCode == http.StatusOK
}

// engine is an engine that the store lists.
type engine struct {
	id       string
	entry    map[string]any
	store    *standin.Store
	listener net.Listener
	serve    func(c net.Conn, r *bufio.Reader)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// addEngine starts an engine whose connections serve handles, and writes its entry to the store. An
// engine without a stage belongs to a plain service.
func (b *bed) addEngine(id, service, zone, stage string, serve func(c net.Conn, r *bufio.Reader)) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, store: b.store, listener: l, serve: serve, conns: make(map[net.Conn]bool)}
	go e.accept()
	b.engines = append(b.engines, e)
	e.entry = map[string]any{
		"service": service, "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": 64, "state": "ready",
		"cold-remaining-ms": 0, "sequence": 0, "born": time.Now().UnixMilli(),
	}
	if stage != "" {
		e.entry["stage"], e.entry["models"] = stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return e, e.setState("ready")
}

// setState writes the engine's entry to the store.
func (e *engine) setState(state string) error {
	e.entry["state"] = state
	return e.store.Put("servers/"+e.id, e.entry)
}

// leave removes the engine's entry and ends the engine.
func (e *engine) leave() {
	e.store.DeleteEngine(e.id)
	e.stop()
}

// accept serves connections until the engine stops.
func (e *engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go func() {
			defer e.forget(c)
			e.serve(c, bufio.NewReaderSize(c, 32<<10))
		}()
	}
}

// forget closes a connection.
func (e *engine) forget(c net.Conn) {
	_ = c.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c)
}

// stop ends the engine.
func (e *engine) stop() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

// configure writes the operator's configuration.
func (b *bed) configure(services []any, routes ...any) error {
	return b.store.Put("op/config", map[string]any{
		"version": 3, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "api-keys": []string{"key-1"}, "priority": 1, "unit": "token_stream", "plain-tokens": 200, "rate-per-s": 0, "burst": 0}},
	})
}

// modelService is the service of the model engines, as on the sheet of tuinhulp-samen.
func modelService() map[string]any {
	return map[string]any{"name": "llm", "health-path": "/healthz", "max-connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 64, "kv-capacity": 54104, "kv-token-bytes": 163840, "link-mbps": 2000000.0, "moves": true, "backups": true, "stride": 14, "most": 12,
		"handle-ttl-s": 0.5, "stage-switch-s": 6.0, "pin-ms": 4000.0, "hold-ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
	}}
}

// streamRoute returns a route of the model service, as on the sheet of tuinhulp-samen.
func streamRoute(prefix string, resumable bool, attempts int) map[string]any {
	return map[string]any{
		"name": "r" + prefix, "host": host, "prefix": prefix, "kind": "streaming", "timeout-ms": 14000, "target-latency-ms": 900, "gap-aim-ms": 300,
		"priority": 1, "service": "llm", "attempts": attempts, "public": false, "sticky": true, "can-resume": resumable,
	}
}

// readRequest reads a request and its body from a connection.
func readRequest(r *bufio.Reader) (*http.Request, []byte, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(req.Body)
	return req, body, err
}
