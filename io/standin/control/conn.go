package control

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// conn is a connection of a stand-in that can be frozen.
type conn struct {
	net.Conn
	listener *listener
	stream   *bytes.Buffer
	frozen   atomic.Bool
}

// Read implements net.Conn. A frozen connection swallows what comes until the
// other end closes it.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.listener.seen.add(c.stream, p[:n])
		}
		if err != nil || !c.frozen.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. A frozen connection drops what is written.
func (c *conn) Write(p []byte) (int, error) {
	if c.frozen.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.forget(c)
	return c.Conn.Close()
}

// reset closes the connection so that the other end sees a reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Lingering for zero seconds makes close send a reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// listener hands out connections that can be frozen or reset.
type listener struct {
	net.Listener
	faults *Faults
	seen   *Seen

	mu    sync.Mutex
	conns map[*conn]bool
}

// newListener listens on address.
func newListener(address string, faults *Faults, seen *Seen) (*listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: inner, faults: faults, seen: seen, conns: make(map[*conn]bool)}, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, listener: l, stream: l.seen.stream()}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		if _, refused := l.faults.Active(Refuse); refused {
			c.reset()
			continue
		}
		if _, hung := l.faults.Active(Hang); hung {
			c.frozen.Store(true)
		}
		return c, nil
	}
}

// forget drops a closed connection.
func (l *listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// open returns the connections that are open now.
func (l *listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// apply shows a fault of whole connections on those that are open.
func (l *listener) apply(k Kind) {
	for _, c := range l.open() {
		if k == Refuse {
			c.reset()
			continue
		}
		c.frozen.Store(true)
	}
}
