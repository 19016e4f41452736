package operator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/config"
	"monsoonfork/core/config/relay"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/core/orders"
	"monsoonfork/core/settings"
	"monsoonfork/core/text"
	"monsoonfork/io/peer"
)

// Limits of the server.
const (
	applyTimeout    = 10 * time.Second
	maxBodyBytes    = text.MaxBytes + 4096
	shutdownTimeout = 2 * time.Second
	headerTimeout   = 5 * time.Second
	bodyTimeout     = 10 * time.Second
	idleTimeout     = 30 * time.Second
)

// server serves the operator address of one daemon.
type server struct {
	node    *kernel.Node
	holder  *config.Holder
	applier *config.Applier
	relay   *relay.Service
	links   *peer.Links
	orders  *orders.Controller
	log     log.Logger
	http    *http.Server
	wg      sync.WaitGroup
}

func init() {
	kernel.Register(kernel.Role{
		Name:      "Operator",
		Summary:   "serves operators: status, dump, metrics, text",
		DependsOn: []string{"Config", "Membership", "Orders"},
		Start:     start,
	})
	kernel.Register(kernel.Role{
		Name:        "Process",
		Summary:     "serves the state of the process: readiness, dump, metrics",
		Deployments: settings.Deployments{settings.Platform},
		Start:       startProcess,
	})
}

// start starts the role Operator, which serves all calls.
func start(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	s := &server{node: n, log: log.With(n.Log, "part", "Operator")}
	if err := n.Require(&s.holder, &s.applier, &s.relay, &s.links, &s.orders); err != nil {
		return nil, err
	}
	if err := s.serve(n.Settings.OperatorAddress, s.routes()); err != nil {
		return nil, err
	}
	return &kernel.Callbacks{Close: s.close}, nil
}

// startProcess starts the role Process, which serves only the state of this
// process. It also serves MetricsAddress if that is set.
func startProcess(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	s := &server{node: n, log: log.With(n.Log, "part", "Process")}
	if err := s.serve(n.Settings.OperatorAddress, s.platformRoutes()); err != nil {
		return nil, err
	}
	if n.Settings.MetricsAddress == "" {
		return &kernel.Callbacks{Close: s.close}, nil
	}
	m := &server{node: n, log: s.log}
	if err := m.serve(n.Settings.MetricsAddress, m.processRoutes()); err != nil {
		_ = s.close()
		return nil, err
	}
	return &kernel.Callbacks{Close: func() error { return errors.CombineErrors(m.close(), s.close()) }}, nil
}

// serve listens on an address and serves handler in the background.
func (s *server) serve(address ident.Address, handler http.Handler) error {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return fault.Wrap(err, fault.BadSettings, "cannot listen on operator address %s", address)
	}
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		_ = s.http.Serve(listener)
	}()
	return nil
}

// close stops the server and waits until it has stopped. Calls that are in
// progress get shutdownTimeout to finish.
func (s *server) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = level.Debug(s.log).Log("msg", event.ShutdownFailed, "err", err)
		_ = s.http.Close()
	}
	s.wg.Wait()
	return nil
}

// processRoutes returns the calls that report only on this process.
func (s *server) processRoutes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", s.livez)
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /metrics.txt", s.metricsText)
	mux.HandleFunc("GET /dump", s.dump)
	mux.HandleFunc("GET /profile", s.profile)
	mux.HandleFunc("GET /held", s.held)
	return mux
}

// platformRoutes returns the calls for operators of an instance on the platform.
func (s *server) platformRoutes() *http.ServeMux {
	mux := s.processRoutes()
	mux.HandleFunc("POST /held/free", s.freePart)
	return mux
}

// routes returns all calls. POST /faults exists only if the setting AllowFaults is
// set.
func (s *server) routes() http.Handler {
	mux := s.processRoutes()
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /text", s.text)
	mux.HandleFunc("POST /plan", s.plan)
	mux.HandleFunc("POST /apply", s.apply)
	mux.HandleFunc("/", s.notFound)
	if s.node.Settings.AllowFaults {
		mux.HandleFunc("POST /faults", s.faults)
	}
	return mux
}
