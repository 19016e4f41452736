// Package caller is the HTTP server for callers. It serves completion requests to model
// services and calls to plain services, or forwards all requests to a handler.
package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/contain"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membudget"
	"monsoonfork/core/request"
	"monsoonfork/io/poller"
)

const (
	// sweepInterval is the interval of the periodic check of all connections.
	sweepInterval = 50 * time.Millisecond
	// idleSweeps is the number of successive checks without an open request after which
	// a drain is complete, and of sweeps without unacknowledged bytes after which the
	// last response of a connection counts as delivered.
	idleSweeps = 4
	// nbhttpKeepaliveTime effectively disables the idle timeout of nbhttp, which also
	// runs while a request is handled. The sweep enforces Limits.IdleTimeout instead.
	nbhttpKeepaliveTime = 10 * 365 * 24 * time.Hour
	// closeTimeout limits how long Close waits for handlers of cancelled requests.
	closeTimeout = time.Second
	// lastRefusalTime limits how long Close then waits for the refusal of what was read last.
	lastRefusalTime = 50 * time.Millisecond
	// closePollInterval is how often Close checks whether these handlers have returned.
	closePollInterval = 2 * time.Millisecond
	// maxParserBytes is what the parser of nbhttp buffers of a request at most. limiter
	// enforces the limits in force, which are smaller.
	maxParserBytes = 1 << 30
	// barrierTimeout limits how long a new connection waits for its poller, as a poller that
	// has stopped reads nothing.
	barrierTimeout = time.Second
	// pollers is the number of poller goroutines.
	pollers = 2
)

// Server is the HTTP server for callers.
type Server struct {
	pipeline       *request.Pipeline
	forwardHandler func(*ForwardedRequest) // Handles every request if set; pipeline is then nil.
	log            log.Logger
	limits         *limitHistory
	memory         *membudget.Budget // Counts the bytes held for callers, beside others.

	closeIdleOnDrain bool // A drain closes connections without a request.

	engine       *nbhttp.Engine
	acceptor     *acceptor
	conns        connTable
	requests     *requestMemory
	openRequests atomic.Int64 // Requests whose handler has not returned.
	announcing   atomic.Bool  // Responses announce the close of their connections.
	draining     atomic.Bool
	closing      atomic.Bool // New requests are refused.
	barrier      atomic.Pointer[poller.Barrier]
	metrics      serverMetrics

	stopSweep chan struct{}
	sweepDone chan struct{}
}

// serverMetrics are the metrics of a server.
type serverMetrics struct {
	requests     metrics.Counter
	disconnected metrics.Counter // Requests whose caller disconnected before the response was complete.
	rejected     metrics.Counter // Requests rejected before they were read completely.
	responseTime metrics.Timer

	containedPanics     metrics.Counter // Panics in reading a connection.
	crossedClose        metrics.Counter // Requests that arrived after a drain had closed their connection as idle.
	rejectedConnections metrics.Counter // Connections that were rejected as no descriptor was free.
	refusedForMemory    metrics.Counter // Requests refused before they were read completely, as no memory was free.
	unsentBytes         metrics.Gauge   // Bytes of answers that the sockets have not taken yet.
	heldBytes           metrics.Gauge   // Bytes that the memory budget counts.
	waitingWrites       metrics.Counter // Writes that have waited for a caller to read.
	endedCallers        metrics.Counter // Connections closed as their callers read nothing.
}

// Option configures a Server.
type Option func(*Server)

// WithLimits sets the limits.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = newLimitHistory(l) } }

// WithIdleClose makes a drain close connections without a request. Callers that keep
// connections open through a load balancer would otherwise send requests on them until
// the process exits.
func WithIdleClose() Option { return func(s *Server) { s.closeIdleOnDrain = true } }

// WithMetrics registers the server's metrics in r.
func WithMetrics(r metrics.Registry) Option {
	return func(s *Server) { s.metrics = newServerMetrics(r) }
}

// newServerMetrics returns metrics registered in r.
func newServerMetrics(r metrics.Registry) serverMetrics {
	return serverMetrics{
		requests:     metrics.GetOrRegisterCounter("Caller.Requests", r),
		disconnected: metrics.GetOrRegisterCounter("Caller.Gone", r),
		rejected:     metrics.GetOrRegisterCounter("Caller.RefusedUnread", r),
		responseTime: metrics.GetOrRegisterTimer("Caller.Answers", r),

		containedPanics:     metrics.GetOrRegisterCounter("Caller.ContainedPanics", r),
		crossedClose:        metrics.GetOrRegisterCounter("Caller.CrossedClose", r),
		rejectedConnections: metrics.GetOrRegisterCounter("Caller.RejectedConnections", r),
		refusedForMemory:    metrics.GetOrRegisterCounter("Caller.RefusedForMemory", r),
		unsentBytes:         metrics.GetOrRegisterGauge("Caller.UnsentBytes", r),
		heldBytes:           metrics.GetOrRegisterGauge("Memory.HeldBytes", r),
		waitingWrites:       metrics.GetOrRegisterCounter("Caller.WaitingWrites", r),
		endedCallers:        metrics.GetOrRegisterCounter("Caller.EndedUnread", r),
	}
}

// WithMemory makes b count the bytes held for callers. The default is the budget of an instance
// whose memory has no known size.
func WithMemory(b *membudget.Budget) Option { return func(s *Server) { s.memory = b } }

// New returns a server that handles requests with pipeline. Listen starts it.
func New(pipeline *request.Pipeline, logger log.Logger, opts ...Option) *Server {
	s := &Server{
		pipeline:  pipeline,
		log:       log.With(logger, "part", "Caller"),
		limits:    newLimitHistory(defaultLimits),
		metrics:   newServerMetrics(metrics.NewRegistry()),
		memory:    membudget.New(membudget.LimitFor(0)),
		stopSweep: make(chan struct{}),
		sweepDone: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.requests = newRequestMemory(s.memory, &s.conns, s.log, s.metrics.refusedForMemory)
	return s
}

// Listen starts serving on address and returns the address bound. Close stops it.
func (s *Server) Listen(address ident.Address) (ident.Address, error) {
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:               "Caller",
		Addrs:              []string{string(address)},
		Listen:             s.listen,
		NPoller:            pollers,
		ReadLimit:          maxParserBytes,
		MaxWriteBufferSize: s.limits.current.MaxUnreadBytes,
		KeepaliveTime:      nbhttpKeepaliveTime,
		SupportServerOnly:  true,
		// A handler blocks until its request has been served.
		ServerExecutor: func(f func()) { go f() },
		Handler:        http.HandlerFunc(s.serve),
	})
	s.engine.OnOpen(s.onOpen)
	s.engine.OnClose(s.onClose)
	s.engine.OnRead(s.onRead)
	s.engine.OnWrittenSize(s.onWritten)
	if err := poller.Start(s.engine); err != nil {
		return "", fault.Wrap(err, fault.BadSettings, "cannot serve callers on %s", address)
	}
	barrier, err := poller.NewBarrier(s.engine)
	if err != nil {
		s.engine.Stop()
		return "", err
	}
	s.barrier.Store(barrier)
	go s.sweep()
	return ident.Address(s.engine.AddrConfigs[0].Addr), nil
}

// listen opens the listener of the engine.
func (s *Server) listen(network, address string) (net.Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	s.acceptor = newAcceptor(l, s.log, s.metrics.rejectedConnections)
	return s.acceptor, nil
}

// onOpen registers a new connection. nbio calls it before the poller may get events for
// the connection, and it returns only when the poller holds no event for an earlier
// connection with the same descriptor.
func (s *Server) onOpen(c net.Conn) {
	nbc, ok := c.(*nbio.Conn)
	if !ok || nbc.LocalAddr().Network() == "unix" { // A probe of package poller.
		return
	}
	if barrier := s.barrier.Load(); barrier != nil && !s.closing.Load() {
		ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
		defer cancel()
		if err := barrier.Await(ctx, nbc.Hash()); err != nil {
			_ = level.Warn(s.log).Log("msg", event.PollerSlow, "err", err)
		}
	}
	setSocketOptions(nbc)
	var state *conn
	holder := s.memory.Open(time.Now(), membudget.WithEnd(func() { s.endForMemory(state) }))
	state = newConn(nbc, s.limits, s.requests, s.metrics, holder)
	s.conns.add(nbc, state)
	state.extendIdleTime(time.Now()) // SetLimits may have missed it.
}

// onClose removes a connection. nbhttp calls it only after the connection's handler has
// returned.
func (s *Server) onClose(c net.Conn, _ error) {
	nbc, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	if state := s.conns.get(nbc); state != nil {
		state.unsent.close()
		state.memory.close()
		s.conns.remove(nbc)
	}
}

// onWritten records that the socket of a connection has taken bytes. nbio calls it with the
// connection's lock held.
func (s *Server) onWritten(nbc *nbio.Conn, _ []byte, n int) {
	if c := s.conns.get(nbc); c != nil {
		c.unsent.recordSent(n)
	}
}

// sweep checks all connections periodically until Close.
func (s *Server) sweep() {
	defer close(s.sweepDone)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopSweep:
			return
		case now := <-ticker.C:
			s.sweepOnce(now)
		}
	}
}

// sweepOnce checks all connections: for disconnected callers, slow requests, idle connections
// and delivered last responses. A panic ends only the check of its connection.
func (s *Server) sweepOnce(now time.Time) {
	boundary := contain.Boundary{Log: s.log, Panics: s.metrics.containedPanics}
	drain := s.closeIdleOnDrain && s.draining.Load()
	// Before the connections are checked, as it notices when the process was suspended.
	_ = boundary.Run("sweep", func() { s.memory.EndStalled(now) })
	unsent := int64(0)
	s.conns.each(func(c *conn) {
		unsent += c.unsent.bytes()
		_ = boundary.Run("sweep", func() { // A panic is logged; the next sweep checks the connection again.
			c.enforceTimeouts(now)
			c.recordProgress(now)
			s.endUnread(c, now)
			c.closeWriteIfDelivered(now, drain)
		})
	})
	s.metrics.unsentBytes.Update(unsent)
	s.metrics.heldBytes.Update(int64(s.memory.Held()))
}

// AnnounceClose makes each response the last one of its connection, which it announces. New
// connections are accepted. Before a drain it leaves few connections on which a request can
// cross the close.
func (s *Server) AnnounceClose() { s.announcing.Store(true) }

// Drain waits until all open requests are finished and their responses delivered.
// Requests that arrive meanwhile are served, and their connections then closed.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for idleChecks := 0; idleChecks < idleSweeps; idleChecks++ {
		if s.openRequests.Load() > 0 || s.conns.countActiveRequests() > 0 {
			idleChecks = -1
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// errClosing is the error of requests that a close ends or refuses.
var errClosing = fault.New(fault.ShuttingDown, "the process is shutting down")

// Close refuses new requests, cancels all others, waits up to closeTimeout for their handlers,
// which record the outcomes, and closes all connections. A connection or request that arrives
// after the wait is not accepted or read; its connection is reset.
func (s *Server) Close() error {
	s.closing.Store(true)
	s.conns.each(func(c *conn) { c.cancelWith(errClosing) })
	s.awaitRequests()
	s.acceptor.stop()
	s.conns.each((*conn).stopReading)
	s.awaitRequestsUntil(time.Now().Add(lastRefusalTime))
	s.engine.Stop()
	if barrier := s.barrier.Load(); barrier != nil {
		barrier.Close()
	}
	close(s.stopSweep)
	<-s.sweepDone
	return nil
}

// awaitRequests waits up to closeTimeout until the handlers of all requests have returned
// and their responses are written, and until what has been read is parsed.
func (s *Server) awaitRequests() { s.awaitRequestsUntil(time.Now().Add(closeTimeout)) }

// awaitRequestsUntil is awaitRequests with another limit.
func (s *Server) awaitRequestsUntil(deadline time.Time) {
	for (s.openRequests.Load() > 0 || s.conns.hasRequests()) && time.Now().Before(deadline) {
		time.Sleep(closePollInterval)
	}
}

// Dump is a snapshot of the server's state for operators.
type Dump struct {
	Connections  int
	OpenRequests int64
	Draining     bool
	Path         request.Dump
}

// Dump returns a snapshot of the server's state.
func (s *Server) Dump() Dump {
	d := Dump{
		Connections:  s.conns.countConns(),
		OpenRequests: s.openRequests.Load(),
		Draining:     s.draining.Load(),
	}
	if s.pipeline != nil {
		d.Path = s.pipeline.Dump()
	}
	return d
}
