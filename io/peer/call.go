package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// dialedSession manages the outgoing session to one address. mu serialises dialling.
type dialedSession struct {
	address ident.Address

	mu             sync.Mutex
	session        *yamux.Session
	remoteInstance ident.InstanceID
	remoteDomain   ident.DomainID
	redialAt       time.Time // Earliest time of the next dial.
	lastErr        error     // Error of the last failed dial.
	closed         bool      // Set by close; no dial after it.

	pinging atomic.Bool // Set while pingSession waits for a reply.

	idleMu      sync.Mutex
	idle        []*callStream  // Streams without a call, most recently used last.
	idleSession *yamux.Session // The session of the idle streams.
}

// Call calls a method of the instance to and decodes the reply into resp. If ctx has
// no deadline, the timeout is two seconds. The error has kind PeerUnavailable if the
// instance cannot be reached or its process was replaced.
func (l *Links) Call(ctx context.Context, to ident.InstanceID, method string, req, resp proto.Message) error {
	if to == l.self {
		return l.callLocal(ctx, method, req, resp)
	}
	address, ok := l.AddressOf(to)
	if !ok {
		return fault.New(fault.PeerUnavailable, "address of instance %s is unknown", to)
	}
	_, err := l.callAddress(ctx, address, to, method, req, resp)
	if fault.Is(err, fault.PeerUnavailable) && l.Unreachable != nil {
		l.Unreachable(to, err)
	}
	return err
}

// CallAddress calls a method of the instance that answers at address, whatever its
// id, and returns which instance that is.
func (l *Links) CallAddress(ctx context.Context, address ident.Address, method string, req, resp proto.Message) (link.Remote, error) {
	return l.callAddress(ctx, address, "", method, req, resp)
}

// callLocal runs a handler of this process. It encodes and decodes the messages as
// for a remote call.
func (l *Links) callLocal(ctx context.Context, method string, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot encode the request of %s", method)
	}
	reply := l.runHandler(ctx, l.self, &CallHeader{Method: method, Payload: payload})
	return decodeReply(reply, resp)
}

// callAddress makes one call on the session to address. If expected is not empty and
// another instance answers at address, it sends nothing and returns an error.
func (l *Links) callAddress(ctx context.Context, address ident.Address, expected ident.InstanceID, method string, req, resp proto.Message) (link.Remote, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	l.metrics.calls.Inc(1)
	d := l.sessionFor(address)
	session, remote, err := d.ensureSession(ctx, l)
	if err != nil {
		l.metrics.failures.Inc(1)
		return remote, err
	}
	if expected != "" && remote.Instance != expected {
		l.metrics.failures.Inc(1)
		err := errors.Wrapf(link.ErrReplaced, "%s at %s", remote.Instance, address)
		return remote, fault.Wrap(err, fault.PeerUnavailable, "instance %s is no longer at its address", expected)
	}
	reply, err := callOnStream(ctx, d, session, method, req)
	if err != nil {
		l.metrics.failures.Inc(1)
		if fault.Is(err, fault.DeadlineExceeded) {
			l.pingSession(d, session)
		}
		return remote, err
	}
	return remote, decodeReply(reply, resp)
}

// callOnStream sends a call on a stream of the session and reads the reply. It closes
// the stream if the call fails, which also cancels the handler at the remote instance.
func callOnStream(ctx context.Context, d *dialedSession, session *yamux.Session, method string, req proto.Message) (*Reply, error) {
	payload, err := proto.Marshal(req)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot encode the request of %s", method)
	}
	st, err := d.acquireStream(session)
	if err != nil {
		return nil, fault.Wrap(err, fault.PeerUnavailable, "cannot open a stream for %s", method)
	}
	deadline, _ := ctx.Deadline()
	if err := st.stream.SetDeadline(deadline); err != nil {
		_ = st.stream.Close()
		return nil, fault.Wrap(err, fault.PeerUnavailable, "cannot set the deadline of %s", method)
	}
	// When ctx ends, a stream deadline in the past interrupts a blocked read or write.
	stop := context.AfterFunc(ctx, func() { _ = st.stream.SetDeadline(time.Unix(1, 0)) })
	reply, err := st.roundTrip(&CallHeader{
		Method:    method,
		TimeoutUs: time.Until(deadline).Microseconds(),
		Payload:   payload,
	})
	if stopped := stop(); err != nil || !stopped {
		_ = st.stream.Close()
	} else {
		d.releaseStream(session, st)
	}
	if err != nil {
		return nil, callError(ctx, err, method)
	}
	return reply, nil
}

// pingSession pings the remote end of a session after a call timed out and closes the
// session if there is no answer within pingTimeout. A connection can stop delivering data for good while new
// connections to the same address work. At most one ping runs for each address.
func (l *Links) pingSession(d *dialedSession, session *yamux.Session) {
	if !d.pinging.CompareAndSwap(false, true) {
		return
	}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		defer d.pinging.Store(false)
		closing := time.AfterFunc(pingTimeout, func() { _ = session.Close() })
		defer closing.Stop()
		if _, err := session.Ping(); err != nil {
			_ = session.Close()
		}
	}()
}

// callError returns the error of a failed call: that of ctx if it has ended, else one
// of kind PeerUnavailable. The stream may reach the deadline of ctx a moment earlier.
func callError(ctx context.Context, err error, method string) error {
	if ctx.Err() != nil {
		return fault.From(ctx.Err())
	}
	if errors.Is(err, yamux.ErrTimeout) {
		return fault.Wrap(err, fault.DeadlineExceeded, "call of %s timed out", method)
	}
	return fault.Wrap(err, fault.PeerUnavailable, "call of %s failed", method)
}

// decodeReply decodes the payload of reply into resp, or returns the error that reply
// carries.
func decodeReply(reply *Reply, resp proto.Message) error {
	if f := reply.GetFailure(); f != nil {
		return failureError(f)
	}
	if err := proto.Unmarshal(reply.GetPayload(), resp); err != nil {
		return fault.Wrap(err, fault.Internal, "cannot decode the reply")
	}
	return nil
}

// sessionFor returns the dialedSession for address and creates it if necessary.
func (l *Links) sessionFor(address ident.Address) *dialedSession {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.sessions[address]
	if !ok {
		d = &dialedSession{address: address}
		l.sessions[address] = d
	}
	return d
}

// CloseSession closes the session to address, if any, and removes its dialedSession.
func (l *Links) CloseSession(address ident.Address) {
	l.mu.Lock()
	d := l.sessions[address]
	delete(l.sessions, address)
	l.mu.Unlock()
	if d != nil {
		d.close()
	}
}

// ensureSession returns the open session and the instance at its remote end. It dials
// if there is no open session, unless the last dial failed less than redialDelay ago
// or close was called.
func (d *dialedSession) ensureSession(ctx context.Context, l *Links) (*yamux.Session, link.Remote, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session != nil && !d.session.IsClosed() {
		return d.session, link.Remote{Instance: d.remoteInstance, Domain: d.remoteDomain}, nil
	}
	if d.closed {
		return nil, link.Remote{}, fault.New(fault.PeerUnavailable, "link to %s is closed", d.address)
	}
	if time.Now().Before(d.redialAt) {
		return nil, link.Remote{}, fault.Wrap(d.lastErr, fault.PeerUnavailable, "link to %s is down, not redialling yet", d.address)
	}
	if err := d.dial(ctx, l); err != nil {
		d.lastErr = err
		d.redialAt = time.Now().Add(redialDelay)
		return nil, link.Remote{}, fault.Wrap(err, fault.PeerUnavailable, "cannot connect to %s", d.address)
	}
	return d.session, link.Remote{Instance: d.remoteInstance, Domain: d.remoteDomain}, nil
}

// dial connects, performs the handshake and starts the session.
func (d *dialedSession) dial(ctx context.Context, l *Links) error {
	l.metrics.dials.Inc(1)
	dialer := net.Dialer{Timeout: dialTimeout}
	if l.localIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: l.localIP}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := dialer.DialContext(ctx, "tcp", string(d.address))
	if err != nil {
		return err
	}
	if l.tls != nil {
		raw = tls.Client(raw, l.tls)
	}
	conn := l.partition.wrapConn(raw, l.metrics)
	remote, err := l.handshake(conn)
	if err != nil {
		_ = conn.Close()
		return err
	}
	conn.setDomain(ident.DomainID(remote.GetDomain()))
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return err
	}
	d.replaceSession(session)
	d.remoteInstance = ident.InstanceID(remote.GetInstance())
	d.remoteDomain = ident.DomainID(remote.GetDomain())
	return nil
}

// close closes the session and prevents further dialling.
func (d *dialedSession) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.session != nil {
		_ = d.session.Close()
	}
}
