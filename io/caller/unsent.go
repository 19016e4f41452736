package caller

import (
	"net"
	"sync/atomic"

	"monsoonfork/core/membudget"
)

// unsentBytes counts the bytes that were written to a connection and that its socket has not
// taken yet. nbio buffers them.
type unsentBytes struct {
	holder  *membudget.Holder
	written atomic.Int64 // Bytes passed to nbio, with headers and the framing of chunks.
	sent    atomic.Int64 // Of those, bytes that the socket has taken.
	closed  atomic.Bool  // The connection is closed: nbio has freed its buffers.

	changed chan struct{} // Holds an element after the socket has taken bytes.
}

func newUnsentBytes(holder *membudget.Holder) *unsentBytes {
	return &unsentBytes{holder: holder, changed: make(chan struct{}, 1)}
}

// bytes returns the number of unsent bytes; 0 if the connection is closed.
func (u *unsentBytes) bytes() int64 {
	if u.closed.Load() {
		return 0
	}
	return u.written.Load() - u.sent.Load()
}

// close records that the connection is closed.
func (u *unsentBytes) close() {
	u.closed.Store(true)
	u.holder.Close()
}

// writeTo writes data to a connection of nbio, which buffers what its socket does not take.
func (u *unsentBytes) writeTo(c net.Conn, data []byte) (int, error) {
	u.written.Add(int64(len(data)))
	u.holder.Add(membudget.Bytes(len(data)))
	return c.Write(data)
}

// recordSent records that the socket has taken n bytes.
func (u *unsentBytes) recordSent(n int) {
	u.sent.Add(int64(n))
	u.holder.Release(membudget.Bytes(n))
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// countingConn counts what nbhttp writes to a connection.
type countingConn struct {
	net.Conn
	unsent *unsentBytes
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) { return c.unsent.writeTo(c.Conn, data) }
