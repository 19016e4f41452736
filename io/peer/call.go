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

// dialedSession is the session to one address. Its lock serialises dialling.
type dialedSession struct {
	address ident.Address

	mu       sync.Mutex
	session  *yamux.Session
	remote   ident.InstanceID
	domain   ident.DomainID
	redialAt time.Time // No new dial before this time.
	lastErr  error
	closed   bool

	probing atomic.Bool

	idleMu    sync.Mutex
	idle      []*callStream  // Streams without a call, the last used last.
	idleOwner *yamux.Session // The session that the idle streams belong to.
}

// Call calls a method of the instance to, and fills resp. A missing deadline
// is set to two seconds from now. The error has kind PeerUnavailable when the
// instance cannot be reached or its process was replaced.
func (l *Links) Call(ctx context.Context, to ident.InstanceID, method string, req, resp proto.Message) error {
	if to == l.self {
		return l.callSelf(ctx, method, req, resp)
	}
	address, ok := l.AddressOf(to)
	if !ok {
		return fault.New(fault.PeerUnavailable, "no address of instance %s", to)
	}
	_, err := l.call(ctx, address, to, method, req, resp)
	if fault.Is(err, fault.PeerUnavailable) && l.Unreachable != nil {
		l.Unreachable(to, err)
	}
	return err
}

// CallAddress calls a method of whoever answers at an address.
func (l *Links) CallAddress(ctx context.Context, address ident.Address, method string, req, resp proto.Message) (link.Remote, error) {
	return l.call(ctx, address, "", method, req, resp)
}

// callSelf runs a handler of this process, with the messages encoded as for
// any other instance.
func (l *Links) callSelf(ctx context.Context, method string, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "marshal %s", method)
	}
	reply := l.runHandler(ctx, l.self, &CallHeader{Method: method, Payload: payload})
	return decodeReply(reply, resp)
}

// call makes one call on the session to address. If want is given, nothing is
// sent to another instance.
func (l *Links) call(ctx context.Context, address ident.Address, want ident.InstanceID, method string, req, resp proto.Message) (link.Remote, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	l.metrics.calls.Inc(1)
	d := l.sessionFor(address)
	session, remote, err := d.get(ctx, l)
	if err != nil {
		l.metrics.failures.Inc(1)
		return remote, err
	}
	if want != "" && remote.Instance != want {
		l.metrics.failures.Inc(1)
		err := errors.Wrapf(link.ErrReplaced, "%s at %s", remote.Instance, address)
		return remote, fault.Wrap(err, fault.PeerUnavailable, "instance %s is not there", want)
	}
	reply, err := exchange(ctx, d, session, method, req)
	if err != nil {
		l.metrics.failures.Inc(1)
		if fault.Is(err, fault.DeadlineExceeded) {
			l.probe(d, session)
		}
		return remote, err
	}
	return remote, decodeReply(reply, resp)
}

// exchange writes the call on a stream and reads the reply. A stream whose call
// went wrong is closed, which also cancels the handler at the other end.
func exchange(ctx context.Context, d *dialedSession, session *yamux.Session, method string, req proto.Message) (*Reply, error) {
	payload, err := proto.Marshal(req)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "marshal %s", method)
	}
	st, err := d.takeStream(session)
	if err != nil {
		return nil, fault.Wrap(err, fault.PeerUnavailable, "open stream for %s", method)
	}
	deadline, _ := ctx.Deadline()
	if err := st.stream.SetDeadline(deadline); err != nil {
		_ = st.stream.Close()
		return nil, fault.Wrap(err, fault.PeerUnavailable, "set deadline of %s", method)
	}
	// A cancelled context ends a read that waits.
	stop := context.AfterFunc(ctx, func() { _ = st.stream.SetDeadline(time.Unix(1, 0)) })
	reply, err := st.exchange(&CallHeader{
		Method:    method,
		TimeoutUs: time.Until(deadline).Microseconds(),
		Payload:   payload,
	})
	if stopped := stop(); err != nil || !stopped {
		_ = st.stream.Close()
	} else {
		d.giveStream(session, st)
	}
	if err != nil {
		return nil, callError(ctx, err, method)
	}
	return reply, nil
}

// probe asks whether a session on which a call had no answer still works, and
// ends it if it does not: a connection may have gone silent for good while new
// ones work.
func (l *Links) probe(d *dialedSession, session *yamux.Session) {
	if !d.probing.CompareAndSwap(false, true) {
		return
	}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		defer d.probing.Store(false)
		if _, err := session.Ping(); err != nil {
			_ = session.Close()
		}
	}()
}

// callError gives the kind of a failed exchange.
func callError(ctx context.Context, err error, method string) error {
	if ctx.Err() != nil {
		return fault.From(ctx.Err())
	}
	return fault.Wrap(err, fault.PeerUnavailable, "call %s", method)
}

// decodeReply fills resp from reply or returns its failure.
func decodeReply(reply *Reply, resp proto.Message) error {
	if f := reply.GetFailure(); f != nil {
		return failureError(f)
	}
	if err := proto.Unmarshal(reply.GetPayload(), resp); err != nil {
		return fault.Wrap(err, fault.Internal, "malformed reply")
	}
	return nil
}

// sessionFor returns the record of the session to address.
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

// Forget ends the session to address, if any, and frees its record.
func (l *Links) Forget(address ident.Address) {
	l.mu.Lock()
	d := l.sessions[address]
	delete(l.sessions, address)
	l.mu.Unlock()
	if d != nil {
		d.close()
	}
}

// get returns the live session, dialling if there is none.
func (d *dialedSession) get(ctx context.Context, l *Links) (*yamux.Session, link.Remote, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session != nil && !d.session.IsClosed() {
		return d.session, link.Remote{Instance: d.remote, Domain: d.domain}, nil
	}
	if d.closed {
		return nil, link.Remote{}, fault.New(fault.PeerUnavailable, "link to %s closed", d.address)
	}
	if time.Now().Before(d.redialAt) {
		return nil, link.Remote{}, fault.Wrap(d.lastErr, fault.PeerUnavailable, "link to %s is down", d.address)
	}
	if err := d.dial(ctx, l); err != nil {
		d.lastErr = err
		d.redialAt = time.Now().Add(redialPause)
		return nil, link.Remote{}, fault.Wrap(err, fault.PeerUnavailable, "dial %s", d.address)
	}
	return d.session, link.Remote{Instance: d.remote, Domain: d.domain}, nil
}

// dial connects, exchanges hellos and starts the session.
func (d *dialedSession) dial(ctx context.Context, l *Links) error {
	l.metrics.dials.Inc(1)
	dialer := net.Dialer{Timeout: dialTimeout}
	if l.local != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: l.local}
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
	conn := l.gate.wrap(raw, l.metrics)
	remote, err := l.exchangeHello(conn)
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
	d.adopt(session)
	d.remote = ident.InstanceID(remote.GetInstance())
	d.domain = ident.DomainID(remote.GetDomain())
	return nil
}

// close ends the session for good.
func (d *dialedSession) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.session != nil {
		_ = d.session.Close()
	}
}
