package caller

import (
	"errors"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"

	"monsoonfork/core/contain"
	"monsoonfork/core/fault"
)

// readBufferBytes is the size of the buffer for one read of a connection.
const readBufferBytes = 64 << 10

// readBuffers holds the read buffers of the pollers.
var readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// onRead reads a connection until its socket is empty. nbio calls it in the goroutine of the
// connection's poller. A connection that is marked as being read is not closed as idle: all
// its input is either still in the kernel or about to be parsed.
func (s *Server) onRead(nbc *nbio.Conn) {
	c := s.conns.get(nbc)
	if c != nil {
		if !c.beginRead() {
			return
		}
		defer c.endRead()
	}
	buffer := readBuffers.Get().(*[readBufferBytes]byte)
	defer readBuffers.Put(buffer)
	for {
		n, err := nbc.Read(buffer[:])
		if n > 0 {
			s.onData(nbc, c, buffer[:n])
		}
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err != nil:
			_ = nbc.CloseWithError(err)
			return
		case n < len(buffer):
			return
		}
	}
}

// onData passes bytes to their connection, or to the data handler of a connection that is
// not a caller's. A request on which parsing panics is rejected.
func (s *Server) onData(nbc *nbio.Conn, c *conn, data []byte) {
	if c == nil {
		if handler := nbc.DataHandler(); handler != nil {
			handler(nbc, data)
		}
		return
	}
	s.logDiscarded(c, len(data))
	boundary := contain.Boundary{Log: s.log, Panics: s.metrics.containedPanics}
	if err := boundary.Run("read", func() { c.feed(data) }); err != nil {
		c.sendRejection(fault.From(err))
	}
}
