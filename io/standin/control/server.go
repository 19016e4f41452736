package control

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// readHeaderTimeout bounds the time for reading a request header.
const readHeaderTimeout = 10 * time.Second

// Addresses holds the addresses on which a stand-in listens: Protocol for the
// simulated protocol, Control for the control server. Port 0 selects a free port.
type Addresses struct {
	Protocol string
	Control  string
}

// LoopbackAddresses returns addresses with free ports on the loopback interface.
func LoopbackAddresses() Addresses {
	return Addresses{Protocol: "127.0.0.1:0", Control: "127.0.0.1:0"}
}

// Server is the HTTP server of a stand-in, with fault injection, together with its
// control server.
type Server struct {
	Faults  *Faults
	Capture *Capture

	malformed        atomic.Int64 // Responses sent with a malformed head.
	listener         *listener
	controlListener  net.Listener
	server           *http.Server
	controlServer    *http.Server
	controlMux       *http.ServeMux
	mu               sync.Mutex
	closed           bool
	tasks            sync.WaitGroup
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
}

// NewServer returns a server. Start starts it.
func NewServer() *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		Faults:           NewFaults(),
		Capture:          &Capture{},
		controlMux:       http.NewServeMux(),
		backgroundCtx:    ctx,
		cancelBackground: cancel,
	}
	s.controlMux.HandleFunc("POST /control/fault", s.handleFault)
	s.controlMux.HandleFunc("POST /control/clear", s.handleClear)
	s.controlMux.HandleFunc("GET /control/seen", s.handleSeen)
	return s
}

// HandleControl registers a handler on the control server. It must be called
// before Start.
func (s *Server) HandleControl(pattern string, handler http.HandlerFunc) {
	s.controlMux.HandleFunc(pattern, handler)
}

// Start listens on the addresses and serves handler in the background, subject to
// the injected faults.
func (s *Server) Start(addresses Addresses, handler http.Handler) error {
	var err error
	s.listener, err = newListener(addresses.Protocol, s.Faults, s.Capture)
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

// Go runs f in the background. Close cancels the context of f and waits for f; after
// Close, Go does nothing.
func (s *Server) Go(f func(ctx context.Context)) {
	if !s.beginTask() {
		return
	}
	go func() {
		defer s.tasks.Done()
		f(s.backgroundCtx)
	}()
}

// beginTask adds a task that Close waits for. It returns false if the server is
// being closed; otherwise the caller calls tasks.Done at the end of the task.
func (s *Server) beginTask() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.tasks.Add(1)
	return true
}

// Done returns a channel that is closed when Close is called.
func (s *Server) Done() <-chan struct{} { return s.backgroundCtx.Done() }

// Address returns the address of the simulated protocol, such as "127.0.0.1:8080".
func (s *Server) Address() string { return s.listener.Addr().String() }

// ControlAddress returns the address of the control server.
func (s *Server) ControlAddress() string { return s.controlListener.Addr().String() }

// Close closes all connections and waits for all requests and background tasks.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancelBackground()
	var err error
	if s.server != nil {
		err = errors.Join(s.server.Close(), s.controlServer.Close())
	}
	s.tasks.Wait()
	return err
}

// Inject activates a fault. Connection faults are applied to the open connections at
// once; FreezeConnections affects only these and is not kept.
func (s *Server) Inject(f Fault) error {
	if err := f.validate(); err != nil {
		return err
	}
	if f.Kind != FreezeConnections {
		s.Faults.Add(f)
	}
	if f.Kind.affectsConnections() {
		s.listener.applyFault(f.Kind)
	}
	return nil
}

// ClearRequest is the body of POST /control/clear: the kinds of faults to remove.
// No kinds means all.
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
	WriteJSON(w, http.StatusOK, s.Capture.Search(text))
}

// WriteJSON sends a response with the given status and value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding can fail only because the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
