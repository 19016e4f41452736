// Package service simulates a plain service (a planning or ordering application) in
// tests. It records every run of a request, so that tests can detect requests that
// ran more than once.
package service

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"monsoonfork/io/standin/control"
)

// Service is a simulated planning or ordering application.
type Service struct {
	server     *control.Server
	addresses  control.Addresses
	name       string
	runTime    time.Duration
	runLogPath string
	runLog     *runLog

	mu       sync.Mutex
	bookings map[string]Booking // By ID.
	runs     []Run
	running  int
}

// Option configures a Service.
type Option func(*Service)

// WithName sets the name of the service, which is part of its responses.
func WithName(name string) Option {
	return func(s *Service) { s.name = name }
}

// WithAddresses sets the listen addresses; the default is free loopback ports.
func WithAddresses(a control.Addresses) Option {
	return func(s *Service) { s.addresses = a }
}

// WithProcessingTime sets the processing time of each request.
func WithProcessingTime(d time.Duration) Option {
	return func(s *Service) { s.runTime = d }
}

// New returns a service. Start starts it.
func New(options ...Option) *Service {
	s := &Service{
		server:    control.NewServer(),
		addresses: control.LoopbackAddresses(),
		name:      "service",
		bookings:  make(map[string]Booking),
	}
	for _, option := range options {
		option(s)
	}
	s.server.HandleControl("GET /control/record", s.handleRecord)
	return s
}

// Start reads the run log, if one is set, and starts listening and serving.
func (s *Service) Start() error {
	if s.runLogPath != "" {
		var err error
		if s.runLog, s.runs, err = openRunLog(s.runLogPath); err != nil {
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

// Close closes all connections and waits for running requests.
func (s *Service) Close() error {
	return errors.Join(s.server.Close(), s.runLog.close())
}

// Address returns the address that serves the simulated protocol.
func (s *Service) Address() string { return s.server.Address() }

// ControlAddress returns the address of the control server, which injects faults
// and returns the record.
func (s *Service) ControlAddress() string { return s.server.ControlAddress() }

// Inject activates a fault.
func (s *Service) Inject(f control.Fault) error { return s.server.Inject(f) }

// Clear removes all faults of the given kinds, or all faults if kinds is empty.
func (s *Service) Clear(kinds ...control.Kind) { s.server.Faults.Clear(kinds...) }

// Received reports whether text was received within one connection to Address.
func (s *Service) Received(text string) control.SearchResult { return s.server.Capture.Search(text) }
