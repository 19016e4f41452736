package control

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// readHeaderTimeout bounds the time that a header may take.
const readHeaderTimeout = 10 * time.Second

// Addresses says where a stand-in listens. Port 0 takes a free port.
type Addresses struct {
	Serve   string
	Control string
}

// OnLoopback returns addresses on free ports of the loopback address.
func OnLoopback() Addresses {
	return Addresses{Serve: "127.0.0.1:0", Control: "127.0.0.1:0"}
}

// Server is the HTTP server of a stand-in together with its control server.
type Server struct {
	Faults *Faults
	Seen   *Seen

	listener        *listener
	controlListener net.Listener
	server          *http.Server
	controlServer   *http.Server
	controlMux      *http.ServeMux
	mu              sync.Mutex
	closed          bool
	work            sync.WaitGroup
	background      context.Context
	stop            context.CancelFunc
}

// NewServer returns a server that is not started.
func NewServer() *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		Faults:     NewFaults(),
		Seen:       &Seen{},
		controlMux: http.NewServeMux(),
		background: ctx,
		stop:       cancel,
	}
	s.controlMux.HandleFunc("POST /control/fault", s.handleFault)
	s.controlMux.HandleFunc("POST /control/clear", s.handleClear)
	s.controlMux.HandleFunc("GET /control/seen", s.handleSeen)
	return s
}

// HandleControl adds a call to the control server. It is used before Start.
func (s *Server) HandleControl(pattern string, handler http.HandlerFunc) {
	s.controlMux.HandleFunc(pattern, handler)
}

// Start listens on the addresses and serves handler in the background.
func (s *Server) Start(addresses Addresses, handler http.Handler) error {
	var err error
	s.listener, err = newListener(addresses.Serve, s.Faults, s.Seen)
	if err != nil {
		return err
	}
	s.controlListener, err = net.Listen("tcp", addresses.Control)
	if err != nil {
		return errors.Join(err, s.listener.Close())
	}
	s.server = &http.Server{Handler: s.withFaults(handler), ReadHeaderTimeout: readHeaderTimeout}
	s.controlServer = &http.Server{Handler: s.controlMux, ReadHeaderTimeout: readHeaderTimeout}
	s.Go(func(context.Context) { _ = s.server.Serve(s.listener) })
	s.Go(func(context.Context) { _ = s.controlServer.Serve(s.controlListener) })
	return nil
}

// Go runs f in the background. Its context ends with Close, which waits for f.
func (s *Server) Go(f func(ctx context.Context)) {
	if !s.begin() {
		return
	}
	go func() {
		defer s.work.Done()
		f(s.background)
	}()
}

// begin counts a piece of work that Close waits for. It returns false when the
// server is being closed.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.work.Add(1)
	return true
}

// Done returns a channel that is closed when the server is being closed.
func (s *Server) Done() <-chan struct{} { return s.background.Done() }

// Address returns the address that serves, such as "127.0.0.1:8080".
func (s *Server) Address() string { return s.listener.Addr().String() }

// ControlAddress returns the address that takes commands.
func (s *Server) ControlAddress() string { return s.controlListener.Addr().String() }

// Close ends all connections and waits for all requests and background work.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stop()
	var err error
	if s.server != nil {
		err = errors.Join(s.server.Close(), s.controlServer.Close())
	}
	s.work.Wait()
	return err
}

// Inject makes a fault active.
func (s *Server) Inject(f Fault) error {
	if err := f.check(); err != nil {
		return err
	}
	if f.Kind != FreezeConnections {
		s.Faults.Add(f)
	}
	if f.Kind.onConnections() {
		s.listener.apply(f.Kind)
	}
	return nil
}

// ClearRequest names the fault kinds that are to end; none means all.
type ClearRequest struct {
	Kinds []Kind `json:"Kinds"`
}

// handleFault serves POST /control/fault.
func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Inject(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	WriteJSON(w, http.StatusOK, f)
}

// handleClear serves POST /control/clear.
func (s *Server) handleClear(w http.ResponseWriter, r *http.Request) {
	var request ClearRequest
	if r.ContentLength != 0 {
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	s.Faults.Clear(request.Kinds...)
	WriteJSON(w, http.StatusOK, request)
}

// handleSeen serves GET /control/seen?text=TEXT.
func (s *Server) handleSeen(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("text")
	if text == "" {
		http.Error(w, "text is missing", http.StatusBadRequest)
		return
	}
	WriteJSON(w, http.StatusOK, s.Seen.Search(text))
}

// WriteJSON answers with status and value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the other end is gone.
	_ = json.NewEncoder(w).Encode(value)
}
