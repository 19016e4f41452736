// Package rig runs the programs of this repository as separate processes for the cases of the
// review: instances with the settings of the deploy file, beside stand-ins of the store, of
// engines and of the operator, on loopback addresses.
package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"monsoonfork/lab/process"
	"monsoonfork/lab/relay"
	"monsoonfork/platform/standin"
)

// Bounds of the small deployment, as in the settings of the users' smallest site.
const (
	DrainTime       = 2 * time.Second // Bound drain-ms.
	ConfigApplyTime = 2 * time.Second // Bound config-apply-ms.
	InTouchTime     = 3 * time.Second // Bound stability-window-ms.
	stopSeconds     = 8               // Bound grace-s.
	leaseMS         = 3000            // Bound lease-ms.
	repeatRatio     = 0.2             // Bound retry-budget-ratio.
	repeatSlack     = 54              // Bound budget-slack.
	repeatWindowS   = 10              // Bound budget-window-s.
	memoryMB        = 134
)

const (
	templatePath = "deploy/instance.yaml"
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
)

// Rig is a deployment on loopback addresses.
type Rig struct {
	Store  *standin.Store
	Record *Record

	runner    *process.Runner
	program   string
	template  string
	instances []*Instance
	servers   []*http.Server
	relays    []*relay.Relay
}

// Instance is one instance of the router.
type Instance struct {
	Name, Zone string
	StoreLink  *relay.Relay // On the way from the instance to the store.
	Caller     string       // Address for callers.
	PeerLink   string       // Address for other instances.
	ready      string
	metrics    string
	settings   string // Path of the settings file.
	rig        *Rig
	starts     int
	Process    *process.Process

	mu      sync.Mutex
	watches int // Number of watches of the store.
	lists   int // Number of lists of the store.
}

// New returns a rig without instances. Its record is written to recordPath.
func New(recordPath string) (*Rig, error) {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, err
	}
	record, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	runner, err := process.NewRunner()
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/monsoonfork")
	if err != nil {
		return nil, err
	}
	return &Rig{Store: standin.NewStore(), Record: record, runner: runner, program: program, template: string(template)}, nil
}

// Instances returns all instances.
func (r *Rig) Instances() []*Instance { return r.instances }

// Close ends all processes and stand-ins.
func (r *Rig) Close() {
	for _, i := range r.instances {
		if i.Process != nil {
			// The runner ends a process that can't be ended here.
			_ = i.Process.Kill()
		}
	}
	for _, l := range r.relays {
		_ = l.Close()
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
	r.Store.Close()
	_ = r.runner.Close()
	r.Record.close()
}

// Serve starts an HTTP server on a free loopback address and returns the address.
func (r *Rig) Serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	r.servers = append(r.servers, s)
	go func() { _ = s.Serve(listener) }()
	return listener.Addr().String(), nil
}

// AddInstance adds an instance that is not started.
func (r *Rig) AddInstance(name, zone string) (*Instance, error) {
	i := &Instance{Name: name, Zone: zone, rig: r}
	store, err := r.Serve(http.HandlerFunc(i.serveStore))
	if err != nil {
		return nil, err
	}
	if i.StoreLink, err = relay.New(store); err != nil {
		return nil, err
	}
	r.relays = append(r.relays, i.StoreLink)
	for _, a := range []*string{&i.Caller, &i.PeerLink, &i.ready, &i.metrics} {
		address, err := process.FreeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	r.instances = append(r.instances, i)
	return i, nil
}

// StartAll starts all instances and waits until they are ready.
func (r *Rig) StartAll(ctx context.Context) error {
	for _, i := range r.instances {
		if err := i.Start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, i := range r.instances {
		if err := i.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// serveStore passes a call of the instance to the store, and counts lists and watches.
func (i *Instance) serveStore(w http.ResponseWriter, q *http.Request) {
	i.mu.Lock()
	switch q.URL.Path {
	case "/kv-watch":
		i.watches++
	case "/kv-range":
		i.lists++
	}
	i.mu.Unlock()
	i.rig.Store.ServeHTTP(w, q)
}

// Watches returns how many watches of the store the instance has begun.
func (i *Instance) Watches() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.watches
}

// Lists returns how many lists of the store the instance has asked for.
func (i *Instance) Lists() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lists
}

// Start starts the process of the instance with the command and the template of the deploy file.
func (i *Instance) Start() error {
	seeds := make([]string, 0, maxSeeds)
	for _, other := range i.rig.instances {
		if len(seeds) < maxSeeds {
			seeds = append(seeds, other.PeerLink)
		}
	}
	ip, port, err := net.SplitHostPort(i.metrics)
	if err != nil {
		return err
	}
	text, err := render(i.rig.template, map[string]any{
		"node": i.Name, "zone": i.Zone, "listen.front": i.Caller, "listen.control": i.PeerLink, "listen.ready": i.ready,
		"ip": raw(ip), "internal-ports.0": raw(port), "platform.address": i.StoreLink.Address(), "seeds": seeds,
		"limits.memory-mb": memoryMB, "bounds.retry-budget-ratio": repeatRatio, "bounds.budget-slack": repeatSlack,
		"bounds.budget-window-s": repeatWindowS, "bounds.grace-s": stopSeconds, "bounds.lease-ms": leaseMS,
	})
	if err != nil {
		return err
	}
	if i.settings, err = i.rig.runner.WriteFile(i.Name+".yaml", []byte(text)); err != nil {
		return err
	}
	i.starts++
	i.Process, err = i.rig.runner.Start(process.Spec{
		Name: fmt.Sprintf("%s-%d", i.Name, i.starts), Path: i.rig.program, Args: []string{"serve"},
		Env: []string{"MONSOONFORK_BOOT=" + i.settings},
	})
	i.rig.Record.Add("start", "instance", i.Name, "zone", i.Zone)
	return err
}

// maxSeeds is how many addresses of other instances the settings have.
const maxSeeds = 3

// IsReady reports whether the instance says that it is ready.
func (i *Instance) IsReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// WaitReady waits until the instance says that it is ready.
func (i *Instance) WaitReady(ctx context.Context) error {
	for !i.IsReady(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %s", i.Name, i.Process.Log())
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// Log returns the log lines of the instance's process that contain text.
func (i *Instance) Log(text string) []string {
	var lines []string
	for line := range strings.Lines(i.Process.Log()) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// raw is a value that a template gets without quotes.
type raw string

// render fills the placeholders of a template: NAME and NAME|json, each in two braces.
func render(template string, values map[string]any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, after, found := strings.Cut(rest, "}}")
		if !found {
			return "", fmt.Errorf("a placeholder of the template does not end: %.40q", rest)
		}
		name, asJSON := strings.CutSuffix(name, "|json")
		value, known := values[name]
		if !known {
			return "", fmt.Errorf("the template has an unknown placeholder %q", name)
		}
		text := fmt.Sprint(value)
		if asJSON {
			encoded, err := json.Marshal(value)
			if err != nil {
				return "", err
			}
			text = string(encoded)
		}
		out.WriteString(text)
		template = after
	}
}
