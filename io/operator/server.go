package operator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/config"
	"monsoonfork/core/config/relay"
	"monsoonfork/core/fault"
	"monsoonfork/core/kernel"
	"monsoonfork/core/orders"
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

// server serves one daemon's operator address.
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
		Name:    "Operator",
		Summary: "serves operators: status, dump, metrics, text",
		After:   []string{"Config", "Membership", "Orders"},
		Start:   start,
	})
}

// start is the role's constructor.
func start(_ context.Context, n *kernel.Node) (*kernel.Running, error) {
	s := &server{node: n, log: log.With(n.Log, "part", "Operator")}
	if err := n.Need(&s.holder, &s.applier, &s.relay, &s.links, &s.orders); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", string(n.Settings.OperatorAddress))
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "cannot listen on operator address %s", n.Settings.OperatorAddress)
	}
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		_ = s.http.Serve(listener)
	}()
	return &kernel.Running{Close: s.close}, nil
}

// close stops the server and waits.
func (s *server) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = level.Debug(s.log).Log("msg", "shutdown", "err", err)
		_ = s.http.Close()
	}
	s.wg.Wait()
	return nil
}

// routes lists all calls.
func (s *server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", s.livez)
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /dump", s.dump)
	mux.HandleFunc("GET /profile", s.profile)
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /text", s.text)
	mux.HandleFunc("POST /plan", s.plan)
	mux.HandleFunc("POST /apply", s.apply)
	mux.HandleFunc("/", s.unknown)
	if s.node.Settings.AllowFaults {
		mux.HandleFunc("POST /faults", s.faults)
	}
	return mux
}
