package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// heldLimit is the memory that the requests of a server in these tests may use, and
// heldMargin what the rest of a test uses.
const (
	heldLimit  = 16 << 20
	heldMargin = 8 << 20
)

// heapBytes returns the size of all reachable objects.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC() // Empties the pools.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// settledHeapBytes returns heapBytes once it no longer shrinks: connections of earlier tests
// may still be closed.
func settledHeapBytes() int64 {
	n := heapBytes()
	for {
		time.Sleep(100 * time.Millisecond)
		next := heapBytes()
		if next > n-heldMargin/8 {
			return next
		}
		n = next
	}
}

// expectHeldWithin checks that the heap has grown by at most heldLimit since before.
func expectHeldWithin(t *testing.T, before int64) {
	t.Helper()
	grown := heapBytes() - before
	t.Logf("the heap has grown by %.1f MB", float64(grown)/1e6)
	if grown > heldLimit+heldMargin {
		t.Errorf("the heap has grown by %d bytes, want at most %d and a margin of %d", grown, heldLimit, heldMargin)
	}
}

// sendAll writes data until the server stops reading or closes the connection.
func sendAll(conn net.Conn, data string) {
	_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, data)
}

// TestIncompleteBodiesAreBoundedInSum sends large bodies that never end on many connections.
// Bodies that are only limited one by one would use up the memory of the machine.
func TestIncompleteBodiesAreBoundedInSum(t *testing.T) {
	_, address := newForwardingTestServer(t, respondEmpty)
	part := strings.Repeat("x", 4<<20)
	before := settledHeapBytes()
	for range 40 {
		sendAll(dialTest(t, address), fmt.Sprintf("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(part)+1, part))
	}
	time.Sleep(200 * time.Millisecond)
	expectHeldWithin(t, before)
}

// TestIncompleteChunkedBodiesAreBoundedInSum is TestIncompleteBodiesAreBoundedInSum with
// bodies whose length is not known.
func TestIncompleteChunkedBodiesAreBoundedInSum(t *testing.T) {
	_, address := newForwardingTestServer(t, respondEmpty)
	part := strings.Repeat("x", 64<<10)
	chunks := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", len(part), part), 64)
	before := settledHeapBytes()
	for range 40 {
		sendAll(dialTest(t, address), "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks)
	}
	time.Sleep(200 * time.Millisecond)
	expectHeldWithin(t, before)
}

// holdRequests returns a handler that waits until the test ends, and the number of requests
// that wait.
func holdRequests(t *testing.T) (func(*ForwardedRequest), *atomic.Int64) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	waiting := new(atomic.Int64)
	return func(f *ForwardedRequest) {
		waiting.Add(1)
		select {
		case <-release:
		case <-f.Context().Done():
		}
		respondEmpty(f)
	}, waiting
}

// TestWaitingBodiesAreBoundedInSum has many requests with large bodies wait at once. A limit
// that ends with the reading would let them use up the memory of the machine.
func TestWaitingBodiesAreBoundedInSum(t *testing.T) {
	handle, waiting := holdRequests(t)
	_, address := newForwardingTestServer(t, handle)
	body := strings.Repeat("x", 1<<20)
	before := settledHeapBytes()
	for range 100 {
		sendAll(dialTest(t, address), fmt.Sprintf("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	}
	time.Sleep(200 * time.Millisecond)
	expectHeldWithin(t, before)
	if waiting.Load() < 2 {
		t.Errorf("%d requests were accepted, want as many as the memory allows", waiting.Load())
	}
}

// TestPipelinedRequestsAreBoundedInSum goes on sending requests on a connection whose first
// request is handled. Each of them is read and queued.
func TestPipelinedRequestsAreBoundedInSum(t *testing.T) {
	handle, _ := holdRequests(t)
	for name, request := range map[string]string{
		"large bodies": fmt.Sprintf("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("x", 1<<20)),
		"small heads":  strings.Repeat("GET /x HTTP/1.1\r\nHost: x\r\n\r\n", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			_, address := newForwardingTestServer(t, handle)
			conn := dialTest(t, address)
			before := settledHeapBytes()
			for range 60 {
				sendAll(conn, request)
			}
			time.Sleep(200 * time.Millisecond)
			expectHeldWithin(t, before)
		})
	}
}

// TestSmallRequestPassesLargeIncompleteBodies fills the memory for requests with bodies that
// never end. Requests that are complete at once must be served meanwhile.
func TestSmallRequestPassesLargeIncompleteBodies(t *testing.T) {
	_, address := newForwardingTestServer(t, respondEmpty)
	part := strings.Repeat("x", 4<<20)
	for range 10 {
		sendAll(dialTest(t, address), fmt.Sprintf("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(part)+1, part))
	}
	for i := range 20 {
		if status, err := post(dialTest(t, address), 10_000); err != nil || status != http.StatusOK {
			t.Fatalf("request %d: %d, %v, want status 200", i, status, err)
		}
	}
}
