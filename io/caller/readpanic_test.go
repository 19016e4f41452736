package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
)

// roundTrip sends a request and returns the response to it, without its body.
func roundTrip(t *testing.T, c net.Conn) *http.Response {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	return res
}

// TestPanicWhileReadingEndsOnlyConnection guards against a process that ends, with all
// requests in progress, because of an odd request. Its caller must get an error that is true,
// and other connections must be served.
func TestPanicWhileReadingEndsOnlyConnection(t *testing.T) {
	var logged lockedBuffer
	registry := metrics.NewRegistry()
	s := NewForwardingServer(func(f *ForwardedRequest) { f.WriteHeader(http.StatusOK, http.Header{}, 0) },
		log.NewLogfmtLogger(&logged), WithMetrics(registry))
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	odd := dialTest(t, string(address))
	c := onlyConn(t, s)
	c.mu.Lock()
	c.limits = nil // Parsing panics.
	c.mu.Unlock()
	res := roundTrip(t, odd)
	if res.StatusCode != http.StatusInternalServerError || res.Header.Get(RanHeader) != "may have run" || !res.Close {
		t.Errorf("status %d, ran %q, close %v; want 500, \"may have run\" and a close", res.StatusCode, res.Header.Get(RanHeader), res.Close)
	}
	if res := roundTrip(t, dialTest(t, string(address))); res.StatusCode != http.StatusOK {
		t.Errorf("other connection: status %d, want 200", res.StatusCode)
	}
	if text := logged.String(); !strings.Contains(text, "panic contained") || !strings.Contains(text, "startRequest") {
		t.Errorf("the log does not show the panic: %q", text)
	}
	if n := metrics.GetOrRegisterCounter("Caller.ContainedPanics", registry).Count(); n != 1 {
		t.Errorf("%d panics counted, want 1", n)
	}
}
