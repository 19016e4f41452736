package control

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// conn is an accepted connection that records received bytes and can be frozen.
// A frozen connection stays open, but discards all data in both directions.
type conn struct {
	net.Conn
	listener *listener
	received *bytes.Buffer
	frozen   atomic.Bool
}

// Read implements net.Conn. On a frozen connection it discards received data and
// returns only when the peer closes the connection.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.listener.capture.write(c.received, p[:n])
		}
		if err != nil || !c.frozen.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a frozen connection it discards p and reports
// success.
func (c *conn) Write(p []byte) (int, error) {
	if c.frozen.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// With a linger time of zero, Close sends RST instead of FIN.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// listener accepts connections that can be frozen or reset, and applies the
// connection faults Refuse and Hang to new connections.
type listener struct {
	net.Listener
	faults  *Faults
	capture *Capture

	mu    sync.Mutex
	conns map[*conn]bool
}

// newListener returns a listener on a TCP address.
func newListener(address string, faults *Faults, capture *Capture) (*listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: inner, faults: faults, capture: capture, conns: make(map[*conn]bool)}, nil
}

// Accept implements net.Listener. It resets new connections while Refuse is
// active and freezes them while Hang is active.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, listener: l, received: l.capture.newStream()}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		if _, refused := l.faults.Peek(Refuse); refused {
			c.reset()
			continue
		}
		if _, hanging := l.faults.Peek(Hang); hanging {
			c.frozen.Store(true)
		}
		return c, nil
	}
}

// remove deletes a closed connection from the set of open ones.
func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// openConns returns the open connections.
func (l *listener) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// applyFault applies a connection fault to the open connections: Refuse resets
// them, any other kind freezes them.
func (l *listener) applyFault(k Kind) {
	for _, c := range l.openConns() {
		if k == Refuse {
			c.reset()
			continue
		}
		c.frozen.Store(true)
	}
}
