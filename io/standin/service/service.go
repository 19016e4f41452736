// Package service is a stand-in for a plain service: a planning or ordering
// application that counts each run of each call.
package service

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"monsoonfork/io/standin/control"
)

// Service is the stand-in.
type Service struct {
	server     *control.Server
	addresses  control.Addresses
	name       string
	runTime    time.Duration
	runLogPath string
	log        *runLog

	mu       sync.Mutex
	bookings map[string]Booking // By ID.
	runs     []Run
	running  int
}

// Option sets up a Service.
type Option func(*Service)

// WithName sets the name that answers carry.
func WithName(name string) Option {
	return func(s *Service) { s.name = name }
}

// WithAddresses sets where the service listens.
func WithAddresses(a control.Addresses) Option {
	return func(s *Service) { s.addresses = a }
}

// WithRunTime sets the time that each call takes.
func WithRunTime(d time.Duration) Option {
	return func(s *Service) { s.runTime = d }
}

// New returns a service that is not started.
func New(options ...Option) *Service {
	s := &Service{
		server:    control.NewServer(),
		addresses: control.OnLoopback(),
		name:      "service",
		bookings:  make(map[string]Booking),
	}
	for _, option := range options {
		option(s)
	}
	s.server.HandleControl("GET /control/record", s.handleRecord)
	return s
}

// Start begins to serve.
func (s *Service) Start() error {
	if s.runLogPath != "" {
		var err error
		if s.log, s.runs, err = openRunLog(s.runLogPath); err != nil {
			return err
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.handleCreate)
	mux.HandleFunc("POST /orders", s.handleCreate)
	mux.HandleFunc("DELETE /bookings/{id}", s.handleCancel)
	mux.HandleFunc("GET /status", s.handleStatus)
	mux.HandleFunc("GET /addresses/{id}", s.handleAddress)
	return s.server.Start(s.addresses, mux)
}

// Close ends the service and waits for its requests.
func (s *Service) Close() error {
	return errors.Join(s.server.Close(), s.log.close())
}

// Address returns the address that serves.
func (s *Service) Address() string { return s.server.Address() }

// ControlAddress returns the address that takes commands.
func (s *Service) ControlAddress() string { return s.server.ControlAddress() }

// Inject makes a fault active.
func (s *Service) Inject(f control.Fault) error { return s.server.Inject(f) }

// Clear ends all faults of the kinds given, or all when none is given.
func (s *Service) Clear(kinds ...control.Kind) { s.server.Faults.Clear(kinds...) }

// Seen reports whether text was ever received.
func (s *Service) Seen(text string) control.SeenAnswer { return s.server.Seen.Search(text) }
