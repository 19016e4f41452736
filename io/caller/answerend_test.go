package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// newForwardingTestServer starts a forwarding server, which the test's cleanup closes.
func newForwardingTestServer(t *testing.T, handle func(*ForwardedRequest), opts ...Option) (*Server, string) {
	t.Helper()
	s := NewForwardingServer(handle, log.NewNopLogger(), opts...)
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, string(address)
}

// dialTest opens a connection, which the test's cleanup closes.
func dialTest(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// onlyConn returns the state of the only connection of a server.
func onlyConn(t *testing.T, s *Server) *conn {
	t.Helper()
	var found *conn
	eventually(t, "the server has a connection", time.Second, func() bool {
		s.conns.each(func(c *conn) { found = c })
		return found != nil
	})
	return found
}

// TestRequestIsOpenUntilItsAnswerIsWritten blocks the write of an answer after its handler
// has returned. A request that counts as ended before its answer is written lets a drain
// shut down the connection, and the answer, or the end of a chunked one, is lost.
func TestRequestIsOpenUntilItsAnswerIsWritten(t *testing.T) {
	returned := make(chan struct{})
	proceed := make(chan struct{})
	s, address := newForwardingTestServer(t, func(f *ForwardedRequest) {
		<-proceed
		f.WriteHeader(http.StatusOK, http.Header{}, 0)
		close(returned)
	})
	caller := dialTest(t, address)
	if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	c := onlyConn(t, s)
	eventually(t, "the handler runs", time.Second, func() bool { return s.openRequests.Load() == 1 })
	c.nbc.Lock() // Blocks the write of the answer.
	close(proceed)
	<-returned
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	active := c.activeRequests
	c.mu.Unlock()
	c.nbc.Unlock()
	if active != 1 {
		t.Errorf("%d open requests before the answer was written, want 1", active)
	}
	if res, err := http.ReadResponse(bufio.NewReader(caller), nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("got %v, %v, want status 200", res, err)
	}
}

// TestIdleCloseKeepsAnswers checks for idle connections to be closed as often as possible
// while callers send requests. A request whose handler ran must get its complete answer.
func TestIdleCloseKeepsAnswers(t *testing.T) {
	const (
		callers = 4
		rounds  = 250
	)
	var handled, answered atomic.Int64
	s, address := newForwardingTestServer(t, func(f *ForwardedRequest) {
		handled.Add(1)
		f.WriteHeader(http.StatusOK, http.Header{}, -1)
		_ = f.Write([]byte("x"))
	})
	stop := make(chan struct{})
	var closer, senders sync.WaitGroup
	closer.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				s.conns.each(func(c *conn) { c.closeWriteIfDelivered(time.Now(), true) })
			}
		}
	})
	for range callers {
		senders.Go(func() {
			for range rounds {
				if callOnce(address) == nil {
					answered.Add(1)
				}
			}
		})
	}
	senders.Wait()
	close(stop)
	closer.Wait()
	if h, a := handled.Load(), answered.Load(); h != a {
		t.Errorf("%d requests were handled and %d answered completely", h, a)
	}
}

// callOnce sends a request on a new connection and reads the complete answer.
func callOnce(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(res.Body)
	return err
}
