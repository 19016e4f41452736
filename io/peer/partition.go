package peer

import (
	"encoding/binary"
	"net"
	"sync"

	"monsoonfork/core/ident"
)

// Partition simulates a network partition for tests: it cuts the links to whole
// failure domains. A cut link drops all bytes in both directions without an error.
type Partition struct {
	mu         sync.Mutex
	cutDomains map[ident.DomainID]bool
}

// NewPartition returns a Partition that cuts no link.
func NewPartition() *Partition {
	p := &Partition{cutDomains: make(map[ident.DomainID]bool)}
	return p
}

// Cut replaces the set of failure domains whose links are cut.
func (p *Partition) Cut(domains ...ident.DomainID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutDomains = make(map[ident.DomainID]bool)
	for _, d := range domains {
		p.cutDomains[d] = true
	}
}

// partitionConn is a connection that drops its bytes while its link is cut.
type partitionConn struct {
	net.Conn
	partition *Partition
	metrics   linkMetrics

	mu           sync.Mutex
	domain       ident.DomainID
	bytesDropped bool // Bytes were dropped, so the connection is unusable for good.

	pendingHeader []byte // A frame header held back until its body is written; used only by Write.
}

// wrapConn returns conn with the partition applied and its bytes counted in m.
func (p *Partition) wrapConn(conn net.Conn, m linkMetrics) *partitionConn {
	return &partitionConn{Conn: conn, partition: p, metrics: m}
}

// setDomain sets the failure domain of the remote instance, once it is known.
func (c *partitionConn) setDomain(d ident.DomainID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domain = d
}

// isCut reports whether the link is cut now or has dropped bytes before.
func (c *partitionConn) isCut() bool {
	c.mu.Lock()
	domain, bytesDropped := c.domain, c.bytesDropped
	c.mu.Unlock()
	if bytesDropped {
		return true
	}
	c.partition.mu.Lock()
	defer c.partition.mu.Unlock()
	return c.partition.cutDomains[domain]
}

// Read implements net.Conn. While the link is cut, it drops the received bytes.
func (c *partitionConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.metrics.bytesIn.Inc(int64(n))
		if err != nil || !c.isCut() {
			return n, err
		}
		c.markBytesDropped()
	}
}

// Layout of a yamux frame header, from the yamux specification.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameTypeData     = 0
	frameLengthOffset = 8
)

// Write implements net.Conn. While the link is cut, it drops the bytes. yamux writes
// the header of a data frame and its body in two consecutive calls. Write holds the
// header back and writes both in one system call.
func (c *partitionConn) Write(p []byte) (int, error) {
	if c.isCut() {
		c.markBytesDropped()
		return len(p), nil
	}
	if len(c.pendingHeader) == 0 {
		if isDataHeader(p) {
			c.pendingHeader = append(c.pendingHeader, p...)
			return len(p), nil
		}
		n, err := c.Conn.Write(p)
		c.metrics.bytesOut.Inc(int64(n))
		return n, err
	}
	frame := net.Buffers{c.pendingHeader, p}
	n, err := frame.WriteTo(c.Conn)
	c.metrics.bytesOut.Inc(n)
	c.pendingHeader = c.pendingHeader[:0]
	return max(0, int(n)-frameHeaderBytes), err
}

// isDataHeader reports whether p is the header of a data frame with a body.
func isDataHeader(p []byte) bool {
	if len(p) != frameHeaderBytes || p[frameTypeOffset] != frameTypeData {
		return false
	}
	return binary.BigEndian.Uint32(p[frameLengthOffset:]) > 0
}

// markBytesDropped makes the connection drop all further bytes, as a byte stream
// with a gap must not be read any further.
func (c *partitionConn) markBytesDropped() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesDropped = true
}
