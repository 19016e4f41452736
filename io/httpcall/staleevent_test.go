package httpcall

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/lesismal/nbio"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

const (
	// staleEventTrials is how often the test tries to get the descriptor of a closed
	// connection for the connection of a new call.
	staleEventTrials = 20
	// newCalls is how many calls are made after a connection was closed; the connection of
	// one of them gets its descriptor.
	newCalls = 6
	// maxDials bounds the connections that are opened for one on the first poller.
	maxDials = 64
	// eventStep is longer than a poller that is not blocked takes to fetch an event.
	eventStep = 10 * time.Millisecond
)

// TestStaleEventSparesNewCall closes the connection of a call while the poller has already
// fetched the event of the endpoint's close. Applied to the connection of a new call with the
// same descriptor, the event ends that call: "the endpoint closed the connection without a
// response".
func TestStaleEventSparesNewCall(t *testing.T) {
	client, held := newClient(t), newHeldEndpoint(t)
	for range staleEventTrials {
		released := make(chan struct{})
		address := serveConnections(t, func(conn net.Conn, r *http.Request) {
			<-released
			writeResponse(conn, r.Header.Get(RequestIDHeader), "proper")
		})
		release := holdStaleEvent(t, client, held)
		results := make(chan error, newCalls)
		for range newCalls {
			go func() {
				_, err := callAddress(client, address, "new", time.Now().Add(fuzzInputTime))
				results <- err
			}()
		}
		time.Sleep(eventStep) // The calls register their connections, unless they wait for the poller.
		release()
		time.Sleep(eventStep) // The poller handles the event before a response arrives.
		close(released)
		for range newCalls {
			if err := <-results; err != nil {
				t.Fatalf("a new call: %v", err)
			}
		}
	}
}

// heldEndpoint accepts connections, on which the test writes.
type heldEndpoint struct {
	address  ident.Address
	accepted chan net.Conn
}

// newHeldEndpoint starts an endpoint.
func newHeldEndpoint(t *testing.T) *heldEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &heldEndpoint{address: ident.Address(l.Addr().String()), accepted: make(chan net.Conn)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.accepted <- c
		}
	}()
	return e
}

// heldConn is both ends of a connection of the client.
type heldConn struct {
	nbc      *nbio.Conn
	endpoint net.Conn
}

// close closes both ends.
func (c heldConn) close() {
	_ = c.nbc.Close()
	_ = c.endpoint.Close()
}

// dial opens a connection as a call does.
func (e *heldEndpoint) dial(t *testing.T, client *Client) heldConn {
	t.Helper()
	call := Call{Address: e.address}
	conn, err := client.dial(t.Context(), call)
	if err != nil {
		t.Fatal(err)
	}
	c := heldConn{endpoint: <-e.accepted}
	c.nbc, err = client.attachToPoller(t.Context(), conn, newExchange(call, client.maxBytes))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// dialOnFirstPoller opens connections until one is read by the first poller. The client
// chooses the poller by the descriptor, and a connection takes two descriptors of this
// process, so that all of them could have the same poller; a further descriptor is opened
// after each one on another poller.
func (e *heldEndpoint) dialOnFirstPoller(t *testing.T, client *Client) heldConn {
	t.Helper()
	for range maxDials {
		c := e.dial(t, client)
		if c.nbc.Hash()%client.pollers == 0 {
			return c
		}
		defer c.close()
		f, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = f.Close() }()
	}
	t.Fatalf("no connection of %d on the first poller", maxDials)
	return heldConn{}
}

// holdStaleEvent returns when a poller holds the event of the endpoint's close of a connection
// that the client has closed meanwhile. The poller handles the event after release is called.
func holdStaleEvent(t *testing.T, client *Client, e *heldEndpoint) (release func()) {
	t.Helper()
	first, second, closed := e.dialOnFirstPoller(t, client), e.dialOnFirstPoller(t, client), e.dialOnFirstPoller(t, client)
	first.nbc.Lock() // Blocks the poller until the events below are due together.
	_, _ = io.WriteString(first.endpoint, "H")
	time.Sleep(eventStep)
	_, _ = io.WriteString(second.endpoint, "H")
	_ = closed.endpoint.Close()
	time.Sleep(eventStep)
	second.nbc.Lock() // Blocks the poller between the events of second and closed.
	first.nbc.Unlock()
	time.Sleep(eventStep)
	_ = closed.nbc.Close()
	return func() {
		second.nbc.Unlock()
		first.close()
		second.close()
	}
}

// TestBlockedPollerEndsWait blocks the poller of a connection. Without a limit, a call that
// waits for the poller would outlast its deadlines and its context.
func TestBlockedPollerEndsWait(t *testing.T) {
	client, held := newClient(t), newHeldEndpoint(t)
	c := held.dialOnFirstPoller(t, client)
	defer c.close()
	c.nbc.Lock()
	defer c.nbc.Unlock()
	_, _ = io.WriteString(c.endpoint, "H")
	time.Sleep(eventStep)
	cancelled, cancel := context.WithCancelCause(t.Context())
	cancel(fault.New(fault.CallerGone, "gone"))
	soon := time.Now().Add(eventStep)
	for _, test := range []struct {
		name   string
		ctx    context.Context
		limits endpoint.Limits
		kind   fault.Kind
	}{
		{"connect deadline", t.Context(), endpoint.Limits{ConnectDeadline: soon}, fault.EndpointTimeout},
		{"response deadline", t.Context(), endpoint.Limits{ResponseDeadline: soon}, fault.EndpointTimeout},
		{"send deadline", t.Context(), endpoint.Limits{SendDeadline: soon, ResponseDeadline: soon.Add(time.Minute)}, fault.DeadlineExceeded},
		{"cancelled", cancelled, endpoint.Limits{}, fault.CallerGone},
	} {
		if err := fault.From(client.awaitPoller(test.ctx, c.nbc, test.limits)); err.Kind != test.kind || err.Ran != fault.NotRun {
			t.Errorf("%s: %v with kind %v, %v; want kind %v, NotRun", test.name, err, err.Kind, err.Ran, test.kind)
		}
	}
}
