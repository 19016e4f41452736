// Package list simulates the platform's list of instances in tests, with the HTTP
// API of the Consul catalog. Changes become visible after a lag.
package list

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"monsoonfork/io/standin/control"
)

// Instance is one instance of monsoonfork in the list.
type Instance struct {
	ID      string `json:"ID"`
	Address string `json:"Address"` // Host name or IP address.
	Port    int    `json:"Port"`    // Port for requests from other instances.
	Domain  string `json:"Domain"`  // Failure domain.
	State   string `json:"State"`   // "live", or "leaving" while it shuts down.
}

// validate returns an error if a field is missing or State is unknown.
func (i Instance) validate() error {
	if i.ID == "" || i.Address == "" || i.Port == 0 || i.Domain == "" {
		return fmt.Errorf("instance %q: ID, Address, Port and Domain are required", i.ID)
	}
	if i.State != "live" && i.State != "leaving" {
		return fmt.Errorf("instance %q: State must be live or leaving", i.ID)
	}
	return nil
}

// catalogEntry is an instance as encoded in the Consul catalog API.
type catalogEntry struct {
	ServiceID      string      `json:"ServiceID"`
	ServiceName    string      `json:"ServiceName"`
	ServiceAddress string      `json:"ServiceAddress"`
	ServicePort    int         `json:"ServicePort"`
	ServiceMeta    serviceMeta `json:"ServiceMeta"`
}

// serviceMeta is the service-defined metadata of a catalogEntry.
type serviceMeta struct {
	Domain string `json:"domain"`
	State  string `json:"state"`
}

// snapshot is the content of the list from a change until the next one.
type snapshot struct {
	changedAt time.Time
	instances []Instance
}

// List is a simulated instance list.
type List struct {
	server    *control.Server
	addresses control.Addresses
	lag       time.Duration

	mu           sync.Mutex
	snapshots    []snapshot // Oldest first; never empty.
	requestCount int64
}

// Option configures a List.
type Option func(*List)

// WithAddresses sets the listen addresses; the default is free loopback ports.
func WithAddresses(a control.Addresses) Option {
	return func(l *List) { l.addresses = a }
}

// WithLag sets the time after which a change becomes visible.
func WithLag(d time.Duration) Option {
	return func(l *List) { l.lag = d }
}

// New returns an empty list. Start starts it.
func New(options ...Option) *List {
	l := &List{
		server:    control.NewServer(),
		addresses: control.LoopbackAddresses(),
		snapshots: []snapshot{{}},
	}
	for _, option := range options {
		option(l)
	}
	l.server.HandleControl("GET /control/record", l.handleRecord)
	l.server.HandleControl("POST /control/instances", l.handleInstances)
	return l
}

// Start starts listening and serving.
func (l *List) Start() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/catalog/service/monsoonfork", l.handleCatalog)
	return l.server.Start(l.addresses, mux)
}

// Close closes all connections and waits for running requests.
func (l *List) Close() error { return l.server.Close() }

// Address returns the address that serves the simulated protocol.
func (l *List) Address() string { return l.server.Address() }

// ControlAddress returns the address of the control server, which injects faults
// and returns the record.
func (l *List) ControlAddress() string { return l.server.ControlAddress() }

// Inject activates a fault.
func (l *List) Inject(f control.Fault) error { return l.server.Inject(f) }

// Clear removes all faults of the given kinds, or all faults if kinds is empty.
func (l *List) Clear(kinds ...control.Kind) { l.server.Faults.Clear(kinds...) }

// SetInstances replaces the content of the list. The change becomes visible after
// the lag.
func (l *List) SetInstances(instances []Instance) error {
	for _, i := range instances {
		if err := i.validate(); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = append(l.snapshots, snapshot{changedAt: time.Now(), instances: slices.Clone(instances)})
	return nil
}

// visibleInstances counts a request and returns the instances visible at now. It
// discards older snapshots.
func (l *List) visibleInstances(now time.Time) []Instance {
	lag := l.lag
	if f, ok := l.server.Faults.Peek(control.ListLag); ok {
		lag = f.Delay()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestCount++
	visible := 0
	for i, v := range l.snapshots {
		if !now.Before(v.changedAt.Add(lag)) {
			visible = i
		}
	}
	l.snapshots = l.snapshots[visible:]
	return l.snapshots[0].instances
}

// handleCatalog serves GET /v1/catalog/service/monsoonfork.
func (l *List) handleCatalog(w http.ResponseWriter, _ *http.Request) {
	entries := []catalogEntry{}
	for _, i := range l.visibleInstances(time.Now()) {
		entries = append(entries, catalogEntry{
			ServiceID:      i.ID,
			ServiceName:    "monsoonfork",
			ServiceAddress: i.Address,
			ServicePort:    i.Port,
			ServiceMeta:    serviceMeta{Domain: i.Domain, State: i.State},
		})
	}
	control.WriteJSON(w, http.StatusOK, entries)
}

// InstancesRequest is the body of POST /control/instances.
type InstancesRequest struct {
	Instances []Instance `json:"Instances"`
}

// handleInstances serves POST /control/instances.
func (l *List) handleInstances(w http.ResponseWriter, r *http.Request) {
	var request InstancesRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := l.SetInstances(request.Instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	control.WriteJSON(w, http.StatusOK, request)
}

// Record holds the number of requests and the newest content of the list.
type Record struct {
	Calls     int64      `json:"Calls"`     // Requests to the catalog.
	Instances []Instance `json:"Instances"` // Newest content, even if not visible yet.
}

// Record returns the number of requests so far and the newest content.
func (l *List) Record() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.snapshots[len(l.snapshots)-1]
	return Record{Calls: l.requestCount, Instances: slices.Clone(newest.instances)}
}

// handleRecord serves GET /control/record.
func (l *List) handleRecord(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, l.Record())
}
