// Package store is a stand-in for the platform's key-value service: the HTTP
// API of the Consul KV store and its sessions.
package store

import (
	"context"
	"net/http"
	"sync"
	"time"

	"monsoonfork/io/standin/control"
)

// Limits of the service.
const (
	maxValueBytes  = 1 << 20                // Largest value.
	defaultWait    = 5 * time.Minute        // Longest long poll when the caller names none.
	expiryInterval = 20 * time.Millisecond  // Time between looks for lapsed sessions.
	stallInterval  = 100 * time.Millisecond // Time between looks whether stalled watches may go on.
)

// Store is the stand-in.
type Store struct {
	server     *control.Server
	addresses  control.Addresses
	readLimit  *limiter
	writeLimit *limiter

	mu      sync.Mutex
	keys    *keyspace
	changed chan struct{} // Closed at the next change.
	record  Record
}

// Option sets up a Store.
type Option func(*Store)

// WithAddresses sets where the store listens.
func WithAddresses(a control.Addresses) Option {
	return func(s *Store) { s.addresses = a }
}

// WithLimits sets the calls a second beyond which reads and writes are
// answered with 429. Zero means no limit.
func WithLimits(reads, writes float64) Option {
	return func(s *Store) {
		s.readLimit = newLimiter(reads)
		s.writeLimit = newLimiter(writes)
	}
}

// New returns a store that is not started.
func New(options ...Option) *Store {
	s := &Store{
		server:     control.NewServer(),
		addresses:  control.OnLoopback(),
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

// Start begins to serve.
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

// Close ends the store and waits for its requests.
func (s *Store) Close() error { return s.server.Close() }

// Address returns the address that serves.
func (s *Store) Address() string { return s.server.Address() }

// ControlAddress returns the address that takes commands.
func (s *Store) ControlAddress() string { return s.server.ControlAddress() }

// Inject makes a fault active.
func (s *Store) Inject(f control.Fault) error { return s.server.Inject(f) }

// Clear ends all faults of the kinds given, or all when none is given.
func (s *Store) Clear(kinds ...control.Kind) { s.server.Faults.Clear(kinds...) }

// Seen reports whether text was ever received.
func (s *Store) Seen(text string) control.SeenAnswer { return s.server.Seen.Search(text) }

// expireSessions ends lapsed sessions until ctx ends.
func (s *Store) expireSessions(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.change(func(k *keyspace) { k.expire(now) })
		}
	}
}

// change runs f under the lock and wakes the watches when something changed.
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
