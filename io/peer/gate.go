package peer

import (
	"encoding/binary"
	"net"
	"sync"

	"monsoonfork/core/ident"
)

// Gate is a switch by which tests cut the links to whole failure domains. A
// cut link is silent: what is sent is lost, and nothing arrives.
type Gate struct {
	mu  sync.Mutex
	cut map[ident.DomainID]bool
}

// NewGate returns a gate that cuts nothing.
func NewGate() *Gate {
	g := &Gate{cut: make(map[ident.DomainID]bool)}
	return g
}

// Cut replaces the set of failure domains whose links are cut.
func (g *Gate) Cut(domains ...ident.DomainID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = make(map[ident.DomainID]bool)
	for _, d := range domains {
		g.cut[d] = true
	}
}

// gatedConn is a connection behind a gate.
type gatedConn struct {
	net.Conn
	gate    *Gate
	metrics linkMetrics

	mu     sync.Mutex
	domain ident.DomainID
	lost   bool // Bytes were lost while cut, so the connection is useless.

	held []byte // A frame header that waits for its body. Only the writer uses it.
}

// wrap puts conn behind the gate and counts its bytes.
func (g *Gate) wrap(conn net.Conn, m linkMetrics) *gatedConn {
	return &gatedConn{Conn: conn, gate: g, metrics: m}
}

// setDomain says which domain is at the other end.
func (c *gatedConn) setDomain(d ident.DomainID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domain = d
}

// isCut reports whether the link is cut, or was cut while bytes were on it.
func (c *gatedConn) isCut() bool {
	c.mu.Lock()
	domain, lost := c.domain, c.lost
	c.mu.Unlock()
	if lost {
		return true
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.cut[domain]
}

// Read implements net.Conn. While the link is cut, it drops what arrives.
func (c *gatedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.metrics.bytesIn.Inc(int64(n))
		if err != nil || !c.isCut() {
			return n, err
		}
		c.markLost()
	}
}

// Layout of the header of a yamux frame, as its specification gives it.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameTypeData     = 0
	frameLengthOffset = 8
)

// Write implements net.Conn. While the link is cut, it drops what is sent.
// yamux writes the header of a data frame and its body apart, one right after
// the other: the header is held back, so that both leave in one system call.
func (c *gatedConn) Write(p []byte) (int, error) {
	if c.isCut() {
		c.markLost()
		return len(p), nil
	}
	if len(c.held) == 0 {
		if isDataHeader(p) {
			c.held = append(c.held, p...)
			return len(p), nil
		}
		n, err := c.Conn.Write(p)
		c.metrics.bytesOut.Inc(int64(n))
		return n, err
	}
	frame := net.Buffers{c.held, p}
	n, err := frame.WriteTo(c.Conn)
	c.metrics.bytesOut.Inc(n)
	c.held = c.held[:0]
	return max(0, int(n)-frameHeaderBytes), err
}

// isDataHeader reports whether p is the header of a frame that has a body.
func isDataHeader(p []byte) bool {
	if len(p) != frameHeaderBytes || p[frameTypeOffset] != frameTypeData {
		return false
	}
	return binary.BigEndian.Uint32(p[frameLengthOffset:]) > 0
}

// markLost makes the connection stay silent: a stream with a gap in it must
// never be read on.
func (c *gatedConn) markLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = true
}
