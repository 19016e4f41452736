// Package caller serves callers over HTTP: completions and plain calls.
package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/request"
	"monsoonfork/io/poller"
)

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes  int           // Request line and headers of one request.
	BodyBytes    int           // Body of one request.
	WriteBytes   int           // Bytes of answers that one caller leaves unread.
	OpenRequests int64         // Requests open at once.
	RequestTime  time.Duration // From the first to the last byte of a request.
	IdleTime     time.Duration // Between requests of one connection.
}

// defaultLimits are the limits unless an option sets others.
var defaultLimits = Limits{
	HeaderBytes:  64 << 10,
	BodyBytes:    8 << 20,
	WriteBytes:   32 << 20,
	OpenRequests: 4096,
	RequestTime:  20 * time.Second,
	IdleTime:     120 * time.Second,
}

const (
	// sweepInterval is the time between two looks at all connections.
	sweepInterval = 50 * time.Millisecond
	// quietSweeps is for how many sweeps no request may be open at the end of a
	// drain.
	quietSweeps = 4
	// libraryIdleTime turns off the library's limit for idle connections, which
	// also runs while a request is handled. The sweep has its own.
	libraryIdleTime = 10 * 365 * 24 * time.Hour
	// closeTime bounds the wait for handlers whose connections were ended.
	closeTime = time.Second
	// closePoll is the time between two looks at them.
	closePoll = 2 * time.Millisecond
	// pollers is the number of poller goroutines.
	pollers = 2
	// readsPerEvent lets the poller read until a socket is empty.
	readsPerEvent = 1 << 30
)

// Server serves callers.
type Server struct {
	path    *request.Pipeline
	forward func(*Forward) // Serves every request in place of path.
	log     log.Logger
	limits  Limits

	closesIdle bool // A drain closes connections without a request.

	engine   *nbhttp.Engine
	conns    connTable
	open     atomic.Int64 // Requests in a handler.
	draining atomic.Bool
	metrics  serverMetrics

	stop chan struct{}
	done chan struct{}
}

// serverMetrics are the metrics of a server.
type serverMetrics struct {
	requests metrics.Counter
	gone     metrics.Counter // Callers that left before their answer was whole.
	refused  metrics.Counter // Requests refused before they were read whole.
	answers  metrics.Timer
}

// Option changes a new Server.
type Option func(*Server)

// WithLimits sets the limits.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// WithIdleClose makes a drain close the connections that carry no request. Where
// the balancer keeps callers on open connections they would send more until the
// process ends.
func WithIdleClose() Option { return func(s *Server) { s.closesIdle = true } }

// WithMetrics registers the metrics in r.
func WithMetrics(r metrics.Registry) Option {
	return func(s *Server) { s.metrics = newServerMetrics(r) }
}

// newServerMetrics registers the metrics in r.
func newServerMetrics(r metrics.Registry) serverMetrics {
	return serverMetrics{
		requests: metrics.GetOrRegisterCounter("Caller.Requests", r),
		gone:     metrics.GetOrRegisterCounter("Caller.Gone", r),
		refused:  metrics.GetOrRegisterCounter("Caller.RefusedUnread", r),
		answers:  metrics.GetOrRegisterTimer("Caller.Answers", r),
	}
}

// New returns a server that does not listen yet.
func New(path *request.Pipeline, logger log.Logger, opts ...Option) *Server {
	s := &Server{
		path:    path,
		log:     log.With(logger, "part", "Caller"),
		limits:  defaultLimits,
		metrics: newServerMetrics(metrics.NewRegistry()),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Listen serves callers on address and returns the address bound. Close ends
// it.
func (s *Server) Listen(address ident.Address) (ident.Address, error) {
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:                         "Caller",
		Addrs:                        []string{string(address)},
		NPoller:                      pollers,
		MaxConnReadTimesPerEventLoop: readsPerEvent,
		ReadLimit:                    s.limits.HeaderBytes + s.limits.BodyBytes,
		MaxWriteBufferSize:           s.limits.WriteBytes,
		KeepaliveTime:                libraryIdleTime,
		SupportServerOnly:            true,
		// A handler blocks for as long as its request runs.
		ServerExecutor: func(f func()) { go f() },
		Handler:        http.HandlerFunc(s.serve),
	})
	s.engine.OnOpen(s.opened)
	s.engine.OnClose(s.closed)
	s.engine.OnData(s.data)
	if err := poller.Start(s.engine); err != nil {
		return "", fault.Wrap(err, fault.BadSettings, "cannot serve callers on %s", address)
	}
	go s.sweep()
	return ident.Address(s.engine.AddrConfigs[0].Addr), nil
}

// opened enters a new connection.
func (s *Server) opened(c net.Conn) {
	nbc, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	tune(nbc)
	s.conns.add(nbc, newConn(nbc, s.limits, s.metrics))
}

// closed takes a connection out. The library calls it only after the handler
// of the connection has returned.
func (s *Server) closed(c net.Conn, _ error) {
	if nbc, ok := c.(*nbio.Conn); ok {
		s.conns.remove(nbc)
	}
}

// data takes what a poller has read.
func (s *Server) data(c *nbio.Conn, data []byte) {
	conn := s.conns.get(c)
	if conn == nil {
		if handler := c.DataHandler(); handler != nil {
			handler(c, data)
		}
		return
	}
	conn.feed(data)
}

// sweep looks at all connections until Close: callers that have gone, requests
// that come too slowly, and connections that are idle for too long.
func (s *Server) sweep() {
	defer close(s.done)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			leave := s.closesIdle && s.draining.Load()
			s.conns.each(func(c *conn) {
				if leave {
					c.leaveIdle(now)
				}
				c.check(now)
				c.finish(now)
			})
		}
	}
}

// Drain finishes every open request. Connections are closed after the answers
// that they carry.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for quiet := 0; quiet < quietSweeps; quiet++ {
		if s.open.Load() > 0 || s.conns.busy() > 0 {
			quiet = -1
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Close ends all requests, waits until each has said what came of it, for a second at
// most, and ends all connections.
func (s *Server) Close() error {
	s.conns.each(func(c *conn) { c.cancelWith(fault.New(fault.ShuttingDown, "the process ends")) })
	for until := time.Now().Add(closeTime); s.open.Load() > 0 && time.Now().Before(until); {
		time.Sleep(closePoll)
	}
	s.engine.Stop()
	close(s.stop)
	<-s.done
	return nil
}

// Dump is the state of the server.
type Dump struct {
	Connections  int
	OpenRequests int64
	Draining     bool
	Path         request.Dump
}

// Dump returns the state for operators.
func (s *Server) Dump() Dump {
	d := Dump{
		Connections:  s.conns.count(),
		OpenRequests: s.open.Load(),
		Draining:     s.draining.Load(),
	}
	if s.path != nil {
		d.Path = s.path.Dump()
	}
	return d
}
