package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/fault"
)

// sendOnOneConnection sends requests of the given methods on one connection and returns the
// statuses of the responses.
func sendOnOneConnection(t *testing.T, address string, methods ...string) []int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	br := bufio.NewReader(c)
	var statuses []int
	for _, method := range methods {
		_, _ = fmt.Fprintf(c, "%s /no/such/route HTTP/1.1\r\nHost: h\r\n\r\n", method)
		r, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			t.Errorf("%s: %v after responses %v", method, err, statuses)
			return statuses
		}
		_, _ = io.Copy(io.Discard, r.Body)
		statuses = append(statuses, r.StatusCode)
	}
	return statuses
}

// TestErrorResponseToHeadHasNoBody guards against an error whose body a caller takes for the
// start of the next response on its connection.
func TestErrorResponseToHeadHasNoBody(t *testing.T) {
	s := newTestServer(t)
	if got := sendOnOneConnection(t, s.address, "HEAD", "GET"); len(got) != 2 || got[0] != http.StatusNotFound || got[1] != http.StatusNotFound {
		t.Errorf("got statuses %v, want 404 twice", got)
	}
}

// TestForwardedResponseToHeadHasNoBody guards against a forwarded body or an end of a chunked
// body that a caller takes for the start of the next response on its connection.
func TestForwardedResponseToHeadHasNoBody(t *testing.T) {
	for _, length := range []int64{2, -1} {
		s := NewForwardingServer(func(f *ForwardedRequest) {
			f.WriteHeader(fault.ResponseFor(fault.NoEndpoint).Status, http.Header{}, length)
			_ = f.Write([]byte("no"))
		}, log.NewNopLogger())
		address, err := s.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		if got := sendOnOneConnection(t, string(address), "HEAD", "GET"); len(got) != 2 || got[0] != 503 || got[1] != 503 {
			t.Errorf("length %d: got statuses %v, want 503 twice", length, got)
		}
	}
}
