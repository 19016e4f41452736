package caller

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/lesismal/nbio"
)

// post sends a request with a body of n bytes and returns the status, or an error.
func post(conn net.Conn, n int) (int, error) {
	if _, err := fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n)); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// respondEmpty sends an empty response.
func respondEmpty(f *ForwardedRequest) { f.WriteHeader(http.StatusOK, http.Header{}, 0) }

// expectOpen checks that a connection stays open for d.
func expectOpen(t *testing.T, conn net.Conn, d time.Duration) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(d))
	if n, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the connection ended too early: %d bytes, %v", n, err)
	}
}

// expectClosed checks that a connection is closed within d.
func expectClosed(t *testing.T, conn net.Conn, d time.Duration) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(d))
	if n, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection was not closed within %v: %d bytes, %v", d, n, err)
	}
}

// TestSizeLimitsChangeOnOpenConnections changes the size limits while connections are open.
// Limits that only apply to new connections would reject or accept the wrong requests.
func TestSizeLimitsChangeOnOpenConnections(t *testing.T) {
	limits := defaultLimits
	limits.MaxBodyBytes = 100
	s, address := newForwardingTestServer(t, respondEmpty, WithLimits(limits))
	conn := dialTest(t, address)
	if status, err := post(conn, 100); err != nil || status != http.StatusOK {
		t.Fatalf("within the limit: %d, %v", status, err)
	}
	s.SetLimits(Limits{MaxBodyBytes: 10 << 20})
	if status, err := post(conn, 9<<20); err != nil || status != http.StatusOK {
		t.Fatalf("within the larger limit: %d, %v", status, err)
	}
	s.SetLimits(Limits{MaxBodyBytes: 50})
	if status, err := post(conn, 100); err != nil || status != http.StatusOK {
		t.Fatalf("sent before the shrink is known: %d, %v", status, err)
	}
	time.Sleep(requestLimitGrace)
	if status, err := post(conn, 51); err != nil || status != http.StatusRequestEntityTooLarge {
		t.Errorf("above the smaller limit: %d, %v, want 413", status, err)
	}
}

// TestShrinkKeepsRequestBeingRead shrinks the limits while a request is being read. It was
// begun under the older limits and must be answered.
func TestShrinkKeepsRequestBeingRead(t *testing.T) {
	s, address := newForwardingTestServer(t, respondEmpty)
	conn := dialTest(t, address)
	if _, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	c := onlyConn(t, s)
	eventually(t, "the request has begun", time.Second, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.requestDeadline.IsZero()
	})
	s.SetLimits(Limits{MaxHeaderBytes: 10, MaxBodyBytes: 10, HeaderTimeout: time.Millisecond, IdleTimeout: time.Millisecond})
	time.Sleep(requestLimitGrace + 2*sweepInterval)
	if _, err := io.WriteString(conn, strings.Repeat("x", 100)); err != nil {
		t.Fatal(err)
	}
	if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("got %v, %v, want status 200", res, err)
	}
}

// TestIdleLimitGrowsOnOpenConnections raises the idle limit while a connection is idle. A
// caller that relies on the new limit would otherwise send a request into the close.
func TestIdleLimitGrowsOnOpenConnections(t *testing.T) {
	limits := defaultLimits
	limits.IdleTimeout = 300 * time.Millisecond
	s, address := newForwardingTestServer(t, respondEmpty, WithLimits(limits))
	conn := dialTest(t, address)
	if status, err := post(conn, 1); err != nil || status != http.StatusOK {
		t.Fatal(status, err)
	}
	s.SetLimits(Limits{IdleTimeout: 1500 * time.Millisecond})
	expectOpen(t, conn, 1500*time.Millisecond)
	expectClosed(t, conn, idleCloseDelay+time.Second)
}

// TestIdleLimitShrinksAfterPromisedTime lowers the idle limit. Connections that callers may
// still believe to be kept for the older limit must be, and later ones are closed earlier.
func TestIdleLimitShrinksAfterPromisedTime(t *testing.T) {
	const idleTimeout = 1500 * time.Millisecond
	limits := defaultLimits
	limits.IdleTimeout = idleTimeout
	s := NewForwardingServer(nil, log.NewNopLogger(), WithLimits(limits))
	now := time.Now()
	conn := idleConn(t, s, now)
	s.setLimitsAt(Limits{IdleTimeout: 100 * time.Millisecond}, now)
	s.setLimitsAt(Limits{IdleTimeout: 50 * time.Millisecond}, now)
	expectIdleAfter(t, conn, now.Add(idleTimeout+idleCloseDelay))
	now = now.Add(idleTimeout + time.Nanosecond)
	later := idleConn(t, s, now)
	expectIdleAfter(t, later, now.Add(50*time.Millisecond+idleCloseDelay))
}

// idleConn opens a connection that has been idle since a time.
func idleConn(t *testing.T, s *Server, since time.Time) *conn {
	t.Helper()
	_, server := connPair(t)
	nbc, err := nbio.NBConn(server)
	if err != nil {
		t.Fatal(err)
	}
	s.onOpen(nbc)
	c := s.conns.get(nbc)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startIdleTime(since)
	return c
}

// expectIdleAfter checks that a connection is closed as idle after a time, and not before.
func expectIdleAfter(t *testing.T, c *conn, end time.Time) {
	t.Helper()
	if _, idle := c.checkDeadlines(end); idle {
		t.Errorf("the connection is closed before %v", end)
	}
	if _, idle := c.checkDeadlines(end.Add(time.Nanosecond)); !idle {
		t.Errorf("the connection is open after %v", end)
	}
}

// TestIdleConnectionIsClosedAfterLowerLimit guards against an idle connection that stays open after
// a lower limit, through the sockets. TestIdleLimitShrinksAfterPromisedTime checks the times.
func TestIdleConnectionIsClosedAfterLowerLimit(t *testing.T) {
	limits := defaultLimits
	limits.IdleTimeout = 1500 * time.Millisecond
	s, address := newForwardingTestServer(t, respondEmpty, WithLimits(limits))
	conn := dialTest(t, address)
	if status, err := post(conn, 1); err != nil || status != http.StatusOK {
		t.Fatal(status, err)
	}
	s.SetLimits(Limits{IdleTimeout: 50 * time.Millisecond})
	expectOpen(t, conn, 1500*time.Millisecond)
	const closed = 20 * time.Second // Far more than the sweep needs on a busy machine.
	expectClosed(t, conn, closed)
	later := dialTest(t, address)
	if status, err := post(later, 1); err != nil || status != http.StatusOK {
		t.Fatal(status, err)
	}
	expectClosed(t, later, closed)
}

// TestIdleConnectionOutlivesLimit reuses a connection just at its idle limit, as a caller's
// clock and the network may delay a request: it must still be answered.
func TestIdleConnectionOutlivesLimit(t *testing.T) {
	limits := defaultLimits
	limits.IdleTimeout = 300 * time.Millisecond
	_, address := newForwardingTestServer(t, respondEmpty, WithLimits(limits))
	conn := dialTest(t, address)
	for range 3 {
		if status, err := post(conn, 1); err != nil || status != http.StatusOK {
			t.Fatalf("status %d, %v", status, err)
		}
		time.Sleep(limits.IdleTimeout + 2*sweepInterval)
	}
}

// TestHeaderTimeout sends headers that are not complete within the header timeout, and a body
// that takes longer than it. Only the former may time out.
func TestHeaderTimeout(t *testing.T) {
	limits := defaultLimits
	limits.HeaderTimeout = 200 * time.Millisecond
	_, address := newForwardingTestServer(t, respondEmpty, WithLimits(limits))
	slowHeaders, slowBody := dialTest(t, address), dialTest(t, address)
	if _, err := io.WriteString(slowHeaders, "POST /x HTTP/1.1\r\nHost: x\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(slowBody, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if res, err := http.ReadResponse(bufio.NewReader(slowHeaders), nil); err != nil || res.StatusCode != http.StatusRequestTimeout {
		t.Errorf("slow headers: %v, %v, want status 408", res, err)
	}
	time.Sleep(limits.HeaderTimeout)
	if _, err := io.WriteString(slowBody, "x"); err != nil {
		t.Fatal(err)
	}
	if res, err := http.ReadResponse(bufio.NewReader(slowBody), nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("slow body: %v, %v, want status 200", res, err)
	}
}
