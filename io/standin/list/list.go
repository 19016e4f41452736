// Package list is a stand-in for the platform's list of live and leaving
// instances, in the form of the Consul catalog. Changes show with a lag.
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

// Instance is one line of the list.
type Instance struct {
	ID      string `json:"ID"`
	Address string `json:"Address"` // Host.
	Port    int    `json:"Port"`    // Peer port.
	Domain  string `json:"Domain"`
	State   string `json:"State"` // "live" or "leaving".
}

// check returns an error when a field is missing.
func (i Instance) check() error {
	if i.ID == "" || i.Address == "" || i.Port == 0 || i.Domain == "" {
		return fmt.Errorf("instance %q: ID, Address, Port and Domain are needed", i.ID)
	}
	if i.State != "live" && i.State != "leaving" {
		return fmt.Errorf("instance %q: State is live or leaving", i.ID)
	}
	return nil
}

// catalogEntry is one line in the form of the published API.
type catalogEntry struct {
	ServiceID      string      `json:"ServiceID"`
	ServiceName    string      `json:"ServiceName"`
	ServiceAddress string      `json:"ServiceAddress"`
	ServicePort    int         `json:"ServicePort"`
	ServiceMeta    serviceMeta `json:"ServiceMeta"`
}

// serviceMeta is the part of a line that services define themselves.
type serviceMeta struct {
	Domain string `json:"domain"`
	State  string `json:"state"`
}

// version is the list as it was from a time on.
type version struct {
	since     time.Time
	instances []Instance
}

// List is the stand-in.
type List struct {
	server    *control.Server
	addresses control.Addresses
	lag       time.Duration

	mu       sync.Mutex
	versions []version // Oldest first; never empty.
	calls    int64
}

// Option sets up a List.
type Option func(*List)

// WithAddresses sets where the list listens.
func WithAddresses(a control.Addresses) Option {
	return func(l *List) { l.addresses = a }
}

// WithLag sets the time after which a change shows.
func WithLag(d time.Duration) Option {
	return func(l *List) { l.lag = d }
}

// New returns a list that is not started.
func New(options ...Option) *List {
	l := &List{
		server:    control.NewServer(),
		addresses: control.OnLoopback(),
		versions:  []version{{}},
	}
	for _, option := range options {
		option(l)
	}
	l.server.HandleControl("GET /control/record", l.handleRecord)
	l.server.HandleControl("POST /control/instances", l.handleInstances)
	return l
}

// Start begins to serve.
func (l *List) Start() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/catalog/service/monsoonfork", l.handleCatalog)
	return l.server.Start(l.addresses, mux)
}

// Close ends the list and waits for its requests.
func (l *List) Close() error { return l.server.Close() }

// Address returns the address that serves.
func (l *List) Address() string { return l.server.Address() }

// ControlAddress returns the address that takes commands.
func (l *List) ControlAddress() string { return l.server.ControlAddress() }

// Inject makes a fault active.
func (l *List) Inject(f control.Fault) error { return l.server.Inject(f) }

// Clear ends all faults of the kinds given, or all when none is given.
func (l *List) Clear(kinds ...control.Kind) { l.server.Faults.Clear(kinds...) }

// SetInstances replaces the list. The change shows after the lag.
func (l *List) SetInstances(instances []Instance) error {
	for _, i := range instances {
		if err := i.check(); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{since: time.Now(), instances: slices.Clone(instances)})
	return nil
}

// visible returns the list as it shows at now, and drops what is older.
func (l *List) visible(now time.Time) []Instance {
	lag := l.lag
	if f, ok := l.server.Faults.Active(control.ListLag); ok {
		lag = f.Delay()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	shown := 0
	for i, v := range l.versions {
		if !now.Before(v.since.Add(lag)) {
			shown = i
		}
	}
	l.versions = l.versions[shown:]
	return l.versions[0].instances
}

// handleCatalog serves GET /v1/catalog/service/monsoonfork.
func (l *List) handleCatalog(w http.ResponseWriter, _ *http.Request) {
	entries := []catalogEntry{}
	for _, i := range l.visible(time.Now()) {
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

// Record is what the list has counted.
type Record struct {
	Calls     int64      `json:"Calls"`
	Instances []Instance `json:"Instances"` // The newest, whether it shows or not.
}

// Record returns what the list has counted so far.
func (l *List) Record() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.versions[len(l.versions)-1]
	return Record{Calls: l.calls, Instances: slices.Clone(newest.instances)}
}

// handleRecord serves GET /control/record.
func (l *List) handleRecord(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, l.Record())
}
