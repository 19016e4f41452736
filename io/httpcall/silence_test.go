package httpcall

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

const (
	// largeBodyBytes is the size of a request that does not fit into the receive buffer of
	// an endpoint.
	largeBodyBytes = 16 << 20
	// longestPause is the longest pause of an engine without a fault.
	longestPause = 2 * time.Second
	// detectWithin is the time within which a dead endpoint is to be detected. It leaves
	// most of the time of a request that may take more than ten seconds for a repetition.
	detectWithin = 4 * time.Second
)

// serveDead starts an endpoint whose host stops acknowledging bytes once it has accepted a
// connection. dropped is closed then.
func serveDead(t *testing.T) (e *testEndpoint, dropped chan struct{}) {
	dropped = make(chan struct{})
	e = serveAccepted(t, func(c net.Conn) {
		dropReceived(t, c)
		close(dropped)
		time.Sleep(time.Minute)
	})
	return e, dropped
}

// dropReceived makes the kernel drop all packets that it receives for a connection, as if
// its host had lost power: nothing is acknowledged.
func dropReceived(t *testing.T, c net.Conn) {
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := unix.SockFprog{Len: uint16(len(dropAll)), Filter: (*unix.SockFilter)(unsafe.Pointer(&dropAll[0]))}
	var setErr error
	err := withDescriptor(c, func(fd int) {
		setErr = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err != nil || setErr != nil {
		t.Errorf("cannot drop the packets of a connection: %v, %v", err, setErr)
	}
}

// serveAccepted starts an endpoint that calls onAccept for each connection, before it
// reads, and then serves its requests.
func serveAccepted(t *testing.T, onAccept func(c net.Conn)) *testEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				onAccept(c)
				serveConn(c, func(c net.Conn, r *http.Request, _ int) bool {
					return writeResponse(c, r.Header.Get(RequestIDHeader), "ok")
				})
			}()
		}
	}()
	e := &testEndpoint{address: ident.Address(l.Addr().String())}

	return e
}

// TestEndpointThatDoesNotReadForAWhileIsAnswered has an endpoint without a fault not read
// for a while and then continue. The kernel must not end the connection meanwhile.
func TestEndpointThatDoesNotReadForAWhileIsAnswered(t *testing.T) {
	t.Parallel()
	for _, size := range []int{100, largeBodyBytes} {
		for _, pause := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, longestPause} {
			t.Run(fmt.Sprintf("%d bytes, %v", size, pause), func(t *testing.T) {
				t.Parallel()
				e := serveAccepted(t, func(net.Conn) {
					time.Sleep(pause)
				})
				body, err := poolCall(t, newTestPool(t), e, "r", func(c *Call) {
					c.Body = []byte(strings.Repeat("x", size))
					c.Limits.ResponseDeadline = time.Now().Add(20 * time.Second)
				})
				if err != nil || body != "ok" {
					t.Errorf("got %q, %v; want the answer", body, err)
				}
			})
		}
	}
}

// TestDeadEndpointIsDetected has an endpoint whose host stops acknowledging bytes. The call
// must fail long before its deadline, so that another endpoint can still answer.
func TestDeadEndpointIsDetected(t *testing.T) {
	t.Parallel()
	for _, size := range []int{100, largeBodyBytes} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			t.Parallel()
			e, dropped := serveDead(t)
			started := time.Now()
			var sent time.Time
			_, err := poolCall(t, newTestPool(t), e, "r", func(c *Call) {
				c.Body = []byte(strings.Repeat("x", size))
				c.Limits.ResponseDeadline = time.Now().Add(20 * time.Second)
				c.BeforeSend = func() error { <-dropped; sent = time.Now(); return nil }
			})
			took := time.Since(sent)
			t.Logf("sent after %v, failed %v later: %v", sent.Sub(started), took, err)
			if !fault.Is(err, fault.EndpointFailed) && !fault.Is(err, fault.EndpointTimeout) || took > detectWithin {
				t.Errorf("failed after %v with %v, want a failure within %v", took, err, detectWithin)
			}
		})
	}
}

// TestDeliveryTimeoutSparesSilentEndpoint has an endpoint not read a call with a delivery
// timeout for longer than that: its host has acknowledged the bytes, so the call continues.
func TestDeliveryTimeoutSparesSilentEndpoint(t *testing.T) {
	t.Parallel()
	e := serveAccepted(t, func(net.Conn) { time.Sleep(longestPause) })
	limits := limitsWithin(20 * time.Second)
	limits.DeliveryTimeout = time.Second
	var a recorder
	if err := newClient(t).Do(t.Context(), Call{Address: e.address, Method: http.MethodPost, Target: "/", Body: []byte("order"), ID: "r", Limits: limits}, a.sink()); err != nil {
		t.Error(err)
	}
}

// TestDeliveryTimeoutDetectsDeadEndpoint has an endpoint whose host stops acknowledging
// bytes: a call with a delivery timeout must fail, as its bytes may not arrive later.
func TestDeliveryTimeoutDetectsDeadEndpoint(t *testing.T) {
	t.Parallel()
	e, dropped := serveDead(t)
	limits := limitsWithin(20 * time.Second)
	limits.DeliveryTimeout = time.Second
	limits.ConnectDeadline = time.Now().Add(time.Second)
	var a recorder
	started := time.Now()
	call := Call{Address: e.address, Method: http.MethodPost, Target: "/", Body: []byte("order"), ID: "r", Limits: limits}
	call.BeforeSend = func() error { <-dropped; return nil }
	err := newClient(t).Do(t.Context(), call, a.sink())
	if took := time.Since(started); err == nil || took > detectWithin {
		t.Errorf("failed after %v with %v, want a failure within %v", took, err, detectWithin)
	} else {
		t.Logf("failed after %v: %v", took, err)
	}
}

// TestIdleConnectionHasShortUserTimeout makes a call with a large body: its longer timeout
// must not delay the detection that the idle connection is dead.
func TestIdleConnectionHasShortUserTimeout(t *testing.T) {
	t.Parallel()
	e := serveAccepted(t, func(net.Conn) {})
	p := newTestPool(t)
	_, err := poolCall(t, p, e, "r", func(c *Call) {
		c.Body = []byte(strings.Repeat("x", largeBodyBytes))
		c.Limits.ResponseDeadline = time.Now().Add(20 * time.Second)
	})
	if err != nil {
		t.Fatal(err)
	}
	idle := p.popIdle(Call{Address: e.address})
	if idle == nil {
		t.Fatal("no idle connection after the call")
	}
	defer func() { _ = idle.Close() }()
	var got int
	var getErr error
	err = withDescriptor(idle.Conn, func(fd int) { got, getErr = unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) })
	if err != nil || getErr != nil || got != int(poolUserTimeout.Milliseconds()) {
		t.Errorf("TCP_USER_TIMEOUT = %d ms, %v, %v; want %v", got, err, getErr, poolUserTimeout)
	}
}
