// Package peer implements calls between daemons over yamux sessions. A daemon opens
// one session to each address it calls. A stream of a session carries one call at a
// time and is reused for later calls.
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

// Timeouts, intervals and sizes of links. redialDelay is the delay after a failed dial
// before the next one to the same address.
const (
	dialTimeout        = time.Second
	handshakeTimeout   = time.Second
	redialDelay        = 200 * time.Millisecond
	keepAliveInterval  = 30 * time.Second
	writeTimeout       = 2 * time.Second
	streamOpenTimeout  = 5 * time.Second
	maxMessageBytes    = 4 << 20
	acceptBacklog      = 256
	streamBufferBytes  = 512
	defaultCallTimeout = 2 * time.Second
	pingTimeout        = 500 * time.Millisecond // After a call has timed out, which takes most of the time within which changes must arrive.
)

// Links holds the sessions of one daemon and the handlers of the methods that it
// serves. mu guards the handlers and the sets of sessions; each session serialises
// its own streams.
type Links struct {
	self      ident.InstanceID
	domain    ident.DomainID
	log       log.Logger
	tls       *tls.Config
	localIP   net.IP
	partition *Partition
	metrics   linkMetrics

	// AddressOf returns the peer address of an instance. The membership role sets
	// it before the first call.
	AddressOf func(ident.InstanceID) (ident.Address, bool)
	// Unreachable, if set, is called after each call by Call that failed with
	// PeerUnavailable. It must not block.
	Unreachable func(ident.InstanceID, error)

	mu       sync.Mutex
	handlers map[string]link.Handler
	sessions map[ident.Address]*dialedSession
	accepted map[*yamux.Session]struct{}
	listener net.Listener
	closed   bool
	wg       sync.WaitGroup
	ctx      context.Context // Cancelled by Close.
	cancel   context.CancelFunc
}

// linkMetrics holds the counters of all links of a daemon.
type linkMetrics struct {
	calls       metrics.Counter
	failures    metrics.Counter
	callsServed metrics.Counter
	bytesOut    metrics.Counter
	bytesIn     metrics.Counter
	dials       metrics.Counter

	containedPanics metrics.Counter
}

// Option configures Links.
type Option func(*Links)

// WithTLS makes all links use mutual TLS with cfg, as returned by LoadTLS.
func WithTLS(cfg *tls.Config) Option { return func(l *Links) { l.tls = cfg } }

// WithLocalIP sets the source address of outgoing connections.
func WithLocalIP(ip net.IP) Option { return func(l *Links) { l.localIP = ip } }

// WithMetrics registers the counters in r.
func WithMetrics(r metrics.Registry) Option {
	return func(l *Links) { l.metrics = newLinkMetrics(r) }
}

// newLinkMetrics registers the counters in r and returns them.
func newLinkMetrics(r metrics.Registry) linkMetrics {
	return linkMetrics{
		calls:       metrics.GetOrRegisterCounter("Peer.Calls", r),
		failures:    metrics.GetOrRegisterCounter("Peer.CallFailures", r),
		callsServed: metrics.GetOrRegisterCounter("Peer.CallsServed", r),
		bytesOut:    metrics.GetOrRegisterCounter("Peer.BytesOut", r),
		bytesIn:     metrics.GetOrRegisterCounter("Peer.BytesIn", r),
		dials:       metrics.GetOrRegisterCounter("Peer.Dials", r),

		containedPanics: metrics.GetOrRegisterCounter("Peer.ContainedPanics", r),
	}
}

// New returns the Links of the instance self. They accept no connections until Listen
// is called.
func New(self ident.InstanceID, domain ident.DomainID, logger log.Logger, opts ...Option) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Links{
		self:      self,
		domain:    domain,
		log:       log.With(logger, "part", "Peer"),
		partition: NewPartition(),
		metrics:   newLinkMetrics(metrics.NewRegistry()),
		handlers:  make(map[string]link.Handler),
		sessions:  make(map[ident.Address]*dialedSession),
		accepted:  make(map[*yamux.Session]struct{}),
		ctx:       ctx,
		cancel:    cancel,
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Partition returns the simulated network partition that tests control.
func (l *Links) Partition() *Partition { return l.partition }

// Listen accepts connections of other instances on address and returns the bound
// address.
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

// acceptLoop accepts connections until the listener is closed.
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
			_ = l.contain("connection", func() { l.serveConn(conn) }) // A panic is logged and closes the connection.
		}()
	}
}

// serveConn performs the handshake and serves calls on one accepted connection.
func (l *Links) serveConn(raw net.Conn) {
	if l.tls != nil {
		raw = tls.Server(raw, l.tls)
	}
	conn := l.partition.wrapConn(raw, l.metrics)
	defer func() { _ = conn.Close() }()
	remote, err := l.handshake(conn)
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

// trackAccepted registers session, so that Close can close it. It returns false if
// the links are already closed.
func (l *Links) trackAccepted(session *yamux.Session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.accepted[session] = struct{}{}
	return true
}

// untrackAccepted closes session and removes it from the registered ones.
func (l *Links) untrackAccepted(session *yamux.Session) {
	_ = session.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.accepted, session)
}

// Close closes the listener and all sessions, cancels the running handlers and waits
// for them to return.
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
	cfg.LogOutput = discardLog{}
	return cfg
}

// discardLog drops the log lines of yamux; this package logs failed links itself.
type discardLog struct{}

// Write implements io.Writer.
func (discardLog) Write(p []byte) (int, error) { return len(p), nil }
