package httpcall

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"monsoonfork/core/fault"
)

// refusal is a complete response that says that a request did not run.
func refusal(id string) string {
	head := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
	if id != "" {
		head += "X-Request-Id: " + id + "\r\n"
	}
	return head + "\r\n"
}

// repeatFirst returns a handler that writes the given response to the first request of a
// connection, and once more before its own response to each later one.
func repeatFirst(first string) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, r *http.Request, number int) bool {
		if _, err := io.WriteString(c, first); err != nil {
			return false
		}
		return number == 1 || writeResponse(c, r.Header.Get(RequestIDHeader), "own")
	}
}

// checkMayHaveRun checks that a call got no body and an error which says that it may
// have run.
func checkMayHaveRun(t *testing.T, body string, err error) {
	t.Helper()
	if !fault.Is(err, fault.AnswerBroken) || fault.From(err).Ran != fault.MayHaveRun || body != "" {
		t.Errorf("got %q, %v, want no body and AnswerBroken", body, err)
	}
}

// TestPoolRepeatedResponseWithoutID guards against a response that names no request being
// taken as the response to a later call on the same connection.
func TestPoolRepeatedResponseWithoutID(t *testing.T) {
	e := newEndpoint(t, repeatFirst(refusal("")))
	p := newTestPool(t)
	if _, err := poolCall(t, p, e, "a", nil); err != nil {
		t.Fatalf("on a new connection: %v", err)
	}
	body, err := poolCall(t, p, e, "b", nil)
	checkMayHaveRun(t, body, err)
}

// TestPoolRepeatedResponseWithSameID guards against an earlier response to a request being
// taken as the response to the same request when it is sent again.
func TestPoolRepeatedResponseWithSameID(t *testing.T) {
	e := newEndpoint(t, repeatFirst(refusal("a")))
	p := newTestPool(t)
	for range 2 {
		if _, err := poolCall(t, p, e, "a", nil); err != nil {
			t.Fatal(err)
		}
	}
	if n := e.accepted.Load(); n != 2 {
		t.Errorf("%d connections for a request that was sent twice, want 2", n)
	}
}

// TestPoolKeepsConnectionsForOtherRequests checks that a connection which may not be used
// for a request that it has carried is still used for others.
func TestPoolKeepsConnectionsForOtherRequests(t *testing.T) {
	e := newEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
		return writeResponse(c, r.Header.Get(RequestIDHeader), "x")
	})
	p := newTestPool(t)
	for _, id := range []string{"a", "a", "b", "c", "b"} {
		if _, err := poolCall(t, p, e, id, nil); err != nil {
			t.Fatal(err)
		}
	}
	if n := e.accepted.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// TestPoolResponseWithIDToCallWithoutID guards against the response to a request being
// taken as the response to a call that has no id.
func TestPoolResponseWithIDToCallWithoutID(t *testing.T) {
	e := newEndpoint(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, err := fmt.Fprint(c, refusal("a"))
		return err == nil
	})
	body, err := poolCall(t, newTestPool(t), e, "", nil)
	checkMayHaveRun(t, body, err)
}
