// Package peer links the daemons with each other: one session for each pair
// of instances in use, one stream for each call.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// Times and sizes of links.
const (
	dialTimeout        = time.Second
	helloTimeout       = time.Second
	redialPause        = 200 * time.Millisecond
	keepAliveInterval  = 30 * time.Second
	writeTimeout       = 2 * time.Second
	streamOpenTimeout  = 5 * time.Second
	maxMessageBytes    = 4 << 20
	acceptBacklog      = 256
	streamBufferBytes  = 512
	defaultCallTimeout = 2 * time.Second
)

// Links holds the sessions of one daemon. State is guarded by mu; each session
// serialises its own streams.
type Links struct {
	self    ident.InstanceID
	domain  ident.DomainID
	log     log.Logger
	tls     *tls.Config
	local   net.IP
	gate    *Gate
	metrics linkMetrics

	// AddressOf finds the peer address of an instance. Membership sets it
	// before the first call.
	AddressOf func(ident.InstanceID) (ident.Address, bool)
	// Unreachable, if set, is told of calls to an instance that failed to reach
	// it. It must not block.
	Unreachable func(ident.InstanceID, error)

	mu       sync.Mutex
	handlers map[string]link.Handler
	sessions map[ident.Address]*dialedSession
	accepted map[*yamux.Session]struct{}
	listener net.Listener
	closed   bool
	wg       sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

// linkMetrics are the counters of all links.
type linkMetrics struct {
	calls    metrics.Counter
	failures metrics.Counter
	served   metrics.Counter
	bytesOut metrics.Counter
	bytesIn  metrics.Counter
	dials    metrics.Counter
}

// Option changes how links are made.
type Option func(*Links)

// WithTLS makes links use mutual TLS.
func WithTLS(cfg *tls.Config) Option { return func(l *Links) { l.tls = cfg } }

// WithLocalIP makes outgoing connections leave from ip.
func WithLocalIP(ip net.IP) Option { return func(l *Links) { l.local = ip } }

// WithMetrics registers the counters in r.
func WithMetrics(r metrics.Registry) Option {
	return func(l *Links) { l.metrics = newLinkMetrics(r) }
}

// newLinkMetrics registers the counters of links in r.
func newLinkMetrics(r metrics.Registry) linkMetrics {
	return linkMetrics{
		calls:    metrics.GetOrRegisterCounter("Peer.Calls", r),
		failures: metrics.GetOrRegisterCounter("Peer.CallFailures", r),
		served:   metrics.GetOrRegisterCounter("Peer.CallsServed", r),
		bytesOut: metrics.GetOrRegisterCounter("Peer.BytesOut", r),
		bytesIn:  metrics.GetOrRegisterCounter("Peer.BytesIn", r),
		dials:    metrics.GetOrRegisterCounter("Peer.Dials", r),
	}
}

// New returns links of the instance self, without a listener.
func New(self ident.InstanceID, domain ident.DomainID, logger log.Logger, opts ...Option) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Links{
		self:     self,
		domain:   domain,
		log:      log.With(logger, "part", "Peer"),
		gate:     NewGate(),
		metrics:  newLinkMetrics(metrics.NewRegistry()),
		handlers: make(map[string]link.Handler),
		sessions: make(map[ident.Address]*dialedSession),
		accepted: make(map[*yamux.Session]struct{}),
		ctx:      ctx,
		cancel:   cancel,
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Gate returns the switch by which tests cut links.
func (l *Links) Gate() *Gate { return l.gate }

// Listen serves other instances on address, and returns the address bound.
func (l *Links) Listen(address ident.Address) (ident.Address, error) {
	ln, err := net.Listen("tcp", string(address))
	if err != nil {
		return "", fault.Wrap(err, fault.BadSettings, "cannot listen on peer address %s", address)
	}
	l.mu.Lock()
	l.listener = ln
	l.mu.Unlock()
	l.wg.Add(1)
	go l.acceptLoop(ln)
	return ident.Address(ln.Addr().String()), nil
}

// acceptLoop takes connections until the listener is closed.
func (l *Links) acceptLoop(ln net.Listener) {
	defer l.wg.Done()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.serveConn(conn)
		}()
	}
}

// serveConn exchanges hellos and serves calls on one accepted connection.
func (l *Links) serveConn(raw net.Conn) {
	if l.tls != nil {
		raw = tls.Server(raw, l.tls)
	}
	conn := l.gate.wrap(raw, l.metrics)
	defer func() { _ = conn.Close() }()
	remote, err := l.exchangeHello(conn)
	if err != nil {
		_ = level.Debug(l.log).Log("msg", event.HandshakeFailed, "err", err)
		return
	}
	conn.setDomain(ident.DomainID(remote.GetDomain()))
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		return
	}
	if !l.trackAccepted(session) {
		_ = session.Close()
		return
	}
	defer l.untrackAccepted(session)
	l.serveSession(session, ident.InstanceID(remote.GetInstance()))
}

// trackAccepted remembers session so that Close can end it.
func (l *Links) trackAccepted(session *yamux.Session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.accepted[session] = struct{}{}
	return true
}

// untrackAccepted ends session and forgets it.
func (l *Links) untrackAccepted(session *yamux.Session) {
	_ = session.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.accepted, session)
}

// Close ends all sessions and waits for the calls being served.
func (l *Links) Close() error {
	l.mu.Lock()
	l.closed = true
	if l.listener != nil {
		_ = l.listener.Close()
	}
	for session := range l.accepted {
		_ = session.Close()
	}
	for _, d := range l.sessions {
		d.close()
	}
	l.mu.Unlock()
	l.cancel()
	l.wg.Wait()
	return nil
}

// yamuxConfig returns the configuration of a session.
func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = streamOpenTimeout
	cfg.LogOutput = discard{}
	return cfg
}

// discard drops what yamux logs; links log by themselves.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(p []byte) (int, error) { return len(p), nil }
