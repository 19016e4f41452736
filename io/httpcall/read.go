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

// parse passes bytes to the parser of a connection, lines of a head or of a chunked body after their
// check.
func (c *Client) parse(nbc *nbio.Conn, x *exchange, data []byte) {
	problem := http1.NoProblem
	for len(data) > 0 && problem == http1.NoProblem {
		var part []byte
		switch {
		case !x.headLines.ended():
			part, data, problem = x.headLines.next(data)
		case x.headLines.isChunked() && !x.chunks.Ended():
			part, data, problem = x.nextChunkPart(data)
		default:
			part, data = data, nil
		}
		if len(part) > 0 {
			c.engine.DataHandler(nbc, part)
		}
	}
	if problem != http1.NoProblem {
		x.reject(malformedError(problem))
		_ = nbc.Close()
	}
}

// nextChunkPart takes bytes up to the trailer section or its end from data. It returns what of them is
// to be parsed, which is nothing of the trailers, and the remaining bytes.
func (x *exchange) nextChunkPart(data []byte) (part, rest []byte, problem http1.Problem) {
	inTrailers := x.chunks.InTrailers()
	n, problem := x.chunks.CheckPart(data)
	switch {
	case !inTrailers:
		return data[:n], data[n:], problem
	case x.chunks.Ended():
		return []byte("\r\n"), data[n:], problem
	}
	return nil, data[n:], problem
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
