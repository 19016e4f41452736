package caller

import (
	"context"
	"net"
	"os"
	"testing"
	"time"
)

// staleEventTrials is how often the test tries to get the descriptor of a closed connection
// for a new one.
const staleEventTrials = 20

// TestStaleEventSparesNewConnection closes a connection, from another goroutine than its
// poller's, while the poller has already fetched an event for its descriptor. Applied to the
// next connection with the same descriptor, the event ends that connection without an answer.
func TestStaleEventSparesNewConnection(t *testing.T) {
	s, address := newForwardingTestServer(t, respondEmpty)
	for range staleEventTrials {
		for _, conn := range connsWithStaleEvent(t, s, address) {
			if _, err := post(conn, 1); err != nil {
				t.Fatalf("a request on a new connection: %v", err)
			}
		}
	}
}

// callerConn is both ends of a caller's connection.
type callerConn struct {
	net.Conn
	server *conn
}

// dialCaller opens a connection to s and finds its state.
func dialCaller(t *testing.T, s *Server, address string) callerConn {
	t.Helper()
	c := callerConn{Conn: dialTest(t, address)}
	eventually(t, "the server has the connection", time.Second, func() bool {
		s.conns.each(func(x *conn) {
			if x.nbc.RemoteAddr().String() == c.LocalAddr().String() {
				c.server = x
			}
		})
		return c.server != nil
	})
	return c
}

// maxDials bounds the connections that are opened for one on the first poller.
const maxDials = 64

// dialOnFirstPoller opens connections until one is read by the first poller. The server
// chooses the poller by the descriptor, and a connection takes two descriptors of this
// process, so that all of them could have the same poller; a further descriptor is opened
// after each one on another poller.
func dialOnFirstPoller(t *testing.T, s *Server, address string) callerConn {
	t.Helper()
	for range maxDials {
		c := dialCaller(t, s, address)
		if c.server.nbc.Hash()%pollers == 0 {
			return c
		}
		f, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = f.Close() })
	}
	t.Fatalf("no connection of %d on the first poller", maxDials)
	return callerConn{}
}

// newConns is how many connections are opened after one was closed; one of them gets its
// descriptor.
const newConns = 6

// connsWithStaleEvent returns new connections, one of which has in most cases the descriptor
// of a connection that was closed while its poller held an event for it.
func connsWithStaleEvent(t *testing.T, s *Server, address string) []net.Conn {
	t.Helper()
	const step = 10 * time.Millisecond
	first, second, closed := dialOnFirstPoller(t, s, address), dialOnFirstPoller(t, s, address), dialOnFirstPoller(t, s, address)
	first.server.nbc.Lock() // Blocks the poller until the events below are due together.
	_, _ = first.Write([]byte("GET /"))
	time.Sleep(step)
	_, _ = second.Write([]byte("GET /"))
	_ = closed.Close()
	time.Sleep(step)
	second.server.nbc.Lock() // Blocks the poller between the events of second and closed.
	first.server.nbc.Unlock()
	time.Sleep(step)
	_ = closed.server.nbc.Close()
	time.Sleep(step)
	var conns []net.Conn
	for range newConns {
		conns = append(conns, dialTest(t, address))
	}
	time.Sleep(step)
	second.server.nbc.Unlock()
	time.Sleep(step)
	return conns
}

// TestPollerRespondsWhileServerCloses waits for the pollers of a server that discards its
// input. Without their response, accepting a connection would take until the time limit, and
// the connection would be added to an engine that has stopped meanwhile.
func TestPollerRespondsWhileServerCloses(t *testing.T) {
	s, _ := newForwardingTestServer(t, respondEmpty)
	s.closing.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), barrierTimeout)
	defer cancel()
	for hash := range pollers {
		if err := s.barrier.Load().Await(ctx, hash); err != nil {
			t.Errorf("poller %d: %v", hash, err)
		}
	}
}
