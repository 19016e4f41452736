package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"monsoonfork/lab/process"
	"monsoonfork/platform/standin"
	"monsoonfork/platform/wire"
)

// Bounds of the small deployments of the users' pages.
const (
	configMS     = 2000
	drainMS      = 2000
	graceS       = 8
	leaseMS      = 3000
	memoryMB     = 134
	readyTimeout = 15 * time.Second
)

// instance is one process of monsoonfork.
type instance struct {
	name, zone    string
	caller, ready string // Addresses.
	settings      string // Path of the settings file.
	logFile       *os.File
	command       *exec.Cmd
	ended         chan struct{}
}

// fleet is a small deployment: the platform's store and some instances.
type fleet struct {
	record    *record
	dir       string // Temporary folder.
	program   string
	store     *standin.Store
	servers   []*http.Server // Of the store, one for each instance.
	instances []*instance

	mu      sync.Mutex
	learned map[learnedKey]time.Time
}

// learnedKey is an instance and an engine of whose removal the store has told it.
type learnedKey struct{ instance, engine string }

// newFleet starts a store.
func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/monsoonfork")
	if err != nil {
		return nil, err
	}
	return &fleet{record: r, dir: dir, program: program, store: standin.NewStore(), learned: make(map[learnedKey]time.Time)}, nil
}

// serveStore starts to serve the store for one instance, and returns its address.
func (f *fleet) serveStore(name string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: &storeView{fleet: f, instance: name}, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// learnedAt returns when the store told an instance that an engine was removed; zero if it has not.
func (f *fleet) learnedAt(instance, engine string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.learned[learnedKey{instance, engine}]
}

// storeView is the store as one instance sees it. It notes of which removals the instance is told.
type storeView struct {
	fleet    *fleet
	instance string
}

// ServeHTTP implements http.Handler.
func (v *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != wire.PathWatch {
		v.fleet.store.ServeHTTP(w, r)
		return
	}
	c := &capture{ResponseWriter: w}
	v.fleet.store.ServeHTTP(c, r)
	var reply wire.WatchReply
	if json.Unmarshal(c.body.Bytes(), &reply) != nil {
		return
	}
	for _, i := range reply.Events {
		if id, found := strings.CutPrefix(i.Key, wire.EngineKeyPrefix); found && i.Tombstone {
			v.note(id)
		}
	}
}

// note records that the instance was told of a removal.
func (v *storeView) note(engine string) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	key := learnedKey{v.instance, engine}
	if v.fleet.learned[key].IsZero() {
		v.fleet.learned[key] = time.Now()
		v.fleet.record.addf("%s is told by the store that %s is gone", v.instance, engine)
	}
}

// capture keeps the body of an answer.
type capture struct {
	http.ResponseWriter
	body bytes.Buffer
}

// Write implements http.ResponseWriter.
func (c *capture) Write(data []byte) (int, error) {
	c.body.Write(data)
	return c.ResponseWriter.Write(data)
}

// startInstances starts one instance in each of the zones and waits until all are ready.
func (f *fleet) startInstances(zones ...string) error {
	var peers []string
	var texts []string
	for n, zone := range zones {
		var addresses [4]string
		for a := range addresses {
			address, err := process.FreeAddress()
			if err != nil {
				return err
			}
			addresses[a] = address
		}
		if len(peers) < 3 {
			peers = append(peers, addresses[1])
		}
		i := &instance{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, caller: addresses[0], ready: addresses[2]}
		i.settings = filepath.Join(f.dir, i.name+".yaml")
		store, err := f.serveStore(i.name)
		if err != nil {
			return err
		}
		texts = append(texts, settingsText(i, addresses, store))
		f.instances = append(f.instances, i)
	}
	for n, i := range f.instances {
		text := texts[n] + fmt.Sprintf("FirstPeers: [%s]\n", strings.Join(peers, ", "))
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := f.startProcess(i); err != nil {
			return err
		}
	}
	for _, i := range f.instances {
		if err := waitReady(i); err != nil {
			return err
		}
	}
	return nil
}

// settingsText returns the settings of an instance, as deploy/instance.yaml has them.
func settingsText(i *instance, addresses [4]string, store string) string {
	return fmt.Sprintf(`Name: %s
Domain: %s
Deployment: Platform
CallerAddress: %s
PeerAddress: %s
OperatorAddress: %s
MetricsAddress: %s
StoreAddresses: [%s]
BalancerDelayMS: 2100
MemoryMB: %d
Zones: { a: r, b: r, c: r, d: r }
Bounds:
  RepeatRatio: 0.2
  RepeatSlack: 54
  RepeatWindowS: 10
  StopS: %d
  OrderLeaseMS: %d
`, i.name, i.zone, addresses[0], addresses[1], addresses[2], addresses[3], store, memoryMB, graceS, leaseMS)
}

// startProcess starts the process of an instance with the command of the deploy file.
func (f *fleet) startProcess(i *instance) error {
	logFile, err := os.OpenFile(filepath.Join(f.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.logFile = logFile
	i.command = exec.Command(f.program, "serve", fmt.Sprintf("--config-ms=%d", configMS), fmt.Sprintf("--drain-ms=%d", drainMS))
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "MONSOONFORK_BOOT=" + i.settings}
	i.command.Stdout, i.command.Stderr = logFile, logFile
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	i.ended = make(chan struct{})
	if err := i.command.Start(); err != nil {
		return err
	}
	f.record.addf("%s started, process %d", i.name, i.command.Process.Pid)
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait() // Its end is all that matters.
		close(ended)
	}(i.command, i.ended)
	return nil
}

// waitReady waits until an instance says that it is ready.
func waitReady(i *instance) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if isReady(i) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", i.name)
}

// isReady reports whether an instance answers its readiness check with 200.
func isReady(i *instance) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// stop ends all processes and the store, and removes the temporary folder unless it is kept.
func (f *fleet) stop() {
	for _, i := range f.instances {
		if i.command == nil {
			continue
		}
		_ = i.command.Process.Kill()
		<-i.ended
		_ = i.logFile.Close()
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
	f.store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs are kept")
	}
}
