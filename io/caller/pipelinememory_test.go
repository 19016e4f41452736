package caller

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestPipeliningLeavesMemoryToOthers guards against one connection that continues sending while its
// first request is handled, and so uses up the memory for requests of all others.
func TestPipeliningLeavesMemoryToOthers(t *testing.T) {
	const bodyBytes = 1 << 20
	release := make(chan struct{})
	s, address := newForwardingTestServer(t, func(f *ForwardedRequest) {
		if f.Request.URL.Path == "/slow" {
			<-release
		}
		f.WriteHeader(http.StatusOK, http.Header{}, 0)
	}, withHeldLimit())
	defer close(release)
	conn := dialTest(t, address)
	var sent atomic.Int64
	go func() {
		body := strings.Repeat("x", bodyBytes)
		for range 2 * heldLimit / bodyBytes {
			if _, err := io.WriteString(conn, "POST /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 1048576\r\n\r\n"+body); err != nil {
				return
			}
			sent.Add(1)
		}
	}()
	time.Sleep(time.Second) // What the connection sends is read and held, or no longer read.
	for range 20 {
		res, err := http.Post("http://"+address+"/fast", "text/plain", strings.NewReader(strings.Repeat("y", bodyBytes/10)))
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			t.Fatalf("another caller's request got %d; %d requests were sent on one connection, %d bytes are held", res.StatusCode, sent.Load(), s.requests.share.Held())
		}
	}
}

// TestLargeRequestsInTurnAreServed guards against a caller whose next request is refused, as the
// memory of the one before, whose answer it has just read, still counts.
func TestLargeRequestsInTurnAreServed(t *testing.T) {
	_, address := newForwardingTestServer(t, func(f *ForwardedRequest) { f.WriteHeader(http.StatusOK, http.Header{}, 0) }, withHeldLimit())
	for i := range 50 {
		res, err := http.Post("http://"+address+"/", "text/plain", strings.NewReader(strings.Repeat("y", 4<<20)))
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			t.Fatalf("request %d got %d", i, res.StatusCode)
		}
	}
}
