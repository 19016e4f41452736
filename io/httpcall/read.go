package httpcall

import (
	"errors"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"golang.org/x/sys/unix"

	"monsoonfork/io/http1"
)

const (
	// maxBufferedBytes is how many bytes of a response are buffered until Do passes them to the
	// sink. While more are, the connection is not read.
	maxBufferedBytes = 256 << 10
	// readBufferBytes is the size of the buffer for one read of a connection.
	readBufferBytes = 64 << 10
)

// readBuffers holds the buffers for reads of connections.
var readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// onRead reads a connection, unless its exchange has buffered enough. nbio calls it in the
// goroutine of the connection's poller, once for each change of the socket's state. After a
// close by the endpoint the poller closes the connection; what has arrived before is then read
// completely.
func (c *Client) onRead(nbc *nbio.Conn) {
	x := exchangeOf(nbc)
	if x == nil { // A probe of package poller.
		readUntil(nbc, func() bool { return false })
		return
	}
	x.readMu.Lock()
	defer x.readMu.Unlock()
	if x.isFull() && !peerClosed(nbc) {
		x.paused = true
		return
	}
	x.paused = readUntil(nbc, func() bool { return x.isFull() && !peerClosed(nbc) })
}

// resume reads a connection on after the sink has taken what was buffered.
func (x *exchange) resume(nbc *nbio.Conn) {
	x.readMu.Lock()
	defer x.readMu.Unlock()
	if x.paused {
		x.paused = readUntil(nbc, x.isFull)
	}
}

// isFull reports whether so much of the response is buffered that its connection is not read.
func (x *exchange) isFull() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.bufferedBytes >= maxBufferedBytes
}

// exchangeOf returns the exchange of a connection, or nil if it has none.
func exchangeOf(nbc *nbio.Conn) *exchange {
	parser, ok := nbc.Session().(*nbhttp.Parser)
	if !ok {
		return nil
	}
	x, _ := parser.Processor.(*exchange)
	return x
}

// readUntil reads a connection until its socket is empty, or full returns true, and reports the
// latter.
func readUntil(nbc *nbio.Conn, full func() bool) bool {
	buffer := readBuffers.Get().(*[readBufferBytes]byte)
	defer readBuffers.Put(buffer)
	for !full() {
		n, err := nbc.Read(buffer[:])
		if handler := nbc.DataHandler(); n > 0 && handler != nil {
			handler(nbc, buffer[:n])
		}
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return false
		case err != nil:
			_ = nbc.CloseWithError(err)
			return false
		case n == 0:
			return false
		}
	}
	return true
}

// parse passes bytes to the parser of a connection, those of a head line by line, each of which is
// checked before.
func (c *Client) parse(nbc *nbio.Conn, x *exchange, data []byte) {
	for len(data) > 0 && !x.headLines.ended() {
		line, rest, problem := x.headLines.next(data)
		if problem != http1.NoProblem {
			x.reject(malformedHeadError(problem))
			_ = nbc.Close()
			return
		}
		if line != nil {
			c.engine.DataHandler(nbc, line)
		}
		data = rest
	}
	if len(data) > 0 {
		c.engine.DataHandler(nbc, data)
	}
}

// peerClosed reports whether the endpoint has closed its side or reset the connection.
func peerClosed(nbc *nbio.Conn) bool {
	nbc.Lock() // Keeps the descriptor from being closed and used again.
	defer nbc.Unlock()
	if closed, _ := nbc.IsClosed(); closed {
		return true
	}
	closed := false
	_ = withDescriptor(nbc, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}
