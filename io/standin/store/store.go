// Package store simulates the platform's key-value service in tests: the HTTP API
// of the Consul KV store and its sessions.
package store

import (
	"context"
	"net/http"
	"sync"
	"time"

	"monsoonfork/io/standin/control"
)

// Limits and intervals of the service.
const (
	maxValueBytes  = 1 << 20                // Maximum size of a value.
	defaultWait    = 5 * time.Minute        // Maximum duration of a long poll without the parameter wait.
	expiryInterval = 20 * time.Millisecond  // Interval between checks for expired sessions.
	stallInterval  = 100 * time.Millisecond // Interval at which a stalled watch checks whether the fault was cleared.
)

// Store is a simulated key-value service.
type Store struct {
	server     *control.Server
	addresses  control.Addresses
	readLimit  *limiter
	writeLimit *limiter

	mu      sync.Mutex
	keys    *keyspace
	changed chan struct{} // Closed and replaced at every change of keys.
	record  Record
}

// Option configures a Store.
type Option func(*Store)

// WithAddresses sets the listen addresses; the default is free loopback ports.
func WithAddresses(a control.Addresses) Option {
	return func(s *Store) { s.addresses = a }
}

// WithLimits sets the numbers of reads and of other requests per second above
// which requests are rejected with status 429. Zero means no limit.
func WithLimits(reads, writes float64) Option {
	return func(s *Store) {
		s.readLimit = newLimiter(reads)
		s.writeLimit = newLimiter(writes)
	}
}

// New returns a store. Start starts it.
func New(options ...Option) *Store {
	s := &Store{
		server:     control.NewServer(),
		addresses:  control.LoopbackAddresses(),
		readLimit:  newLimiter(0),
		writeLimit: newLimiter(0),
		keys:       newKeyspace(),
		changed:    make(chan struct{}),
		record:     newRecord(),
	}
	for _, option := range options {
		option(s)
	}
	s.server.HandleControl("GET /control/record", s.handleRecord)
	return s
}

// Start starts listening and serving.
func (s *Store) Start() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.handleGet)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.handlePut)
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.handleDelete)
	mux.HandleFunc("PUT /v1/session/create", s.handleCreate)
	mux.HandleFunc("PUT /v1/session/renew/{id}", s.handleRenew)
	mux.HandleFunc("PUT /v1/session/destroy/{id}", s.handleDestroy)
	if err := s.server.Start(s.addresses, mux); err != nil {
		return err
	}
	s.server.Go(s.expireSessions)
	return nil
}

// Close closes all connections and waits for running requests.
func (s *Store) Close() error { return s.server.Close() }

// Address returns the address that serves the simulated protocol.
func (s *Store) Address() string { return s.server.Address() }

// ControlAddress returns the address of the control server, which injects faults
// and returns the record.
func (s *Store) ControlAddress() string { return s.server.ControlAddress() }

// Inject activates a fault.
func (s *Store) Inject(f control.Fault) error { return s.server.Inject(f) }

// Clear removes all faults of the given kinds, or all faults if kinds is empty.
func (s *Store) Clear(kinds ...control.Kind) { s.server.Faults.Clear(kinds...) }

// Received reports whether text was received within one connection to Address.
func (s *Store) Received(text string) control.SearchResult { return s.server.Capture.Search(text) }

// expireSessions periodically ends expired sessions until ctx is done.
func (s *Store) expireSessions(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.change(func(k *keyspace) { k.expireSessions(now) })
		}
	}
}

// change calls f under the lock and wakes all waiting watches if f changed a key.
func (s *Store) change(f func(k *keyspace)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.keys.index
	f(s.keys)
	if s.keys.index != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}
