package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/membudget"
)

// heldLimit is the memory that the requests of a server in these tests may use, and
// heldMargin what the rest of a test uses.
const (
	heldLimit  = 16 << 20
	heldMargin = 8 << 20
)

// withHeldLimit sets a budget of which requests may use heldLimit.
func withHeldLimit() Option { return WithMemory(membudget.New(heldLimit / requestShare)) }

// newTestMemory returns the limit for the requests of connections that are in no server.
func newTestMemory() *requestMemory {
	return newRequestMemory(membudget.New(heldLimit), &connTable{}, log.NewNopLogger(), metrics.NewCounter())
}

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
	_, address := newForwardingTestServer(t, respondEmpty, withHeldLimit())
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
	_, address := newForwardingTestServer(t, respondEmpty, withHeldLimit())
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
	_, address := newForwardingTestServer(t, handle, withHeldLimit())
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

// TestPipelinedRequestsAreBoundedInSum continues sending requests on a connection whose first
// request is handled. Each of them is read and queued.
func TestPipelinedRequestsAreBoundedInSum(t *testing.T) {
	handle, _ := holdRequests(t)
	for name, request := range map[string]string{
		"large bodies": fmt.Sprintf("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("x", 1<<20)),
		"small heads":  strings.Repeat("GET /x HTTP/1.1\r\nHost: x\r\n\r\n", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			_, address := newForwardingTestServer(t, handle, withHeldLimit())
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
	_, address := newForwardingTestServer(t, respondEmpty, withHeldLimit())
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

// TestRefusalForLackOfMemoryIsTrue fills the memory with requests that are handled. A further
// request must learn that it has not run and when to try again, and none that is handled may
// end.
func TestRefusalForLackOfMemoryIsTrue(t *testing.T) {
	handle, waiting := holdRequests(t)
	s, address := newForwardingTestServer(t, handle, withHeldLimit())
	body := strings.Repeat("x", 1<<20)
	const request = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
	for range 15 { // With the memory beside their bodies, 16 would be above the limit.
		sendAll(dialTest(t, address), fmt.Sprintf(request, len(body), body))
	}
	eventually(t, "the requests are handled", 5*time.Second, func() bool { return waiting.Load() == 15 })
	conn := dialTest(t, address)
	sendAll(conn, fmt.Sprintf(request, len(body), body))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(RanHeader) != "not run" || res.Header.Get("Retry-After") != "1" {
		t.Errorf("got %d with headers %v, want 503, not run, Retry-After 1", res.StatusCode, res.Header)
	}
	if n := s.metrics.refusedForMemory.Count(); n != 1 {
		t.Errorf("%d requests counted as refused for lack of memory, want 1", n)
	}
	if n := s.openRequests.Load(); n != 15 {
		t.Errorf("%d requests are handled, want 15", n)
	}
}

// TestMemoryOfRequestsIsReleased ends requests in each way. Memory that stays counted after one
// of them would in the end make the server refuse all requests.
func TestMemoryOfRequestsIsReleased(t *testing.T) {
	s, address := newForwardingTestServer(t, respondEmpty, withHeldLimit())
	body := strings.Repeat("x", 300_000)
	whole := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for name, input := range map[string]string{
		"whole":                            whole,
		"pipelined":                        whole + whole + whole,
		"in chunks":                        fmt.Sprintf("POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"cut in its body":                  whole[:200_000],
		"cut in its head":                  "POST /x HTTP/1.1\r\nHost",
		"cut behind another":               whole + whole[:200_000],
		"malformed":                        "POST /x HTTP/1.1\r\nHost x\r\n\r\n",
		"too large":                        "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 100000000\r\n\r\n" + body,
		"last of its connection, and more": "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + whole,
	} {
		for range 3 {
			conn := dialTest(t, address)
			sendAll(conn, input)
			time.Sleep(20 * time.Millisecond)
			_ = conn.Close()
		}
		eventually(t, name+": the memory is released", 5*time.Second, func() bool {
			return s.memory.Held() == 0 && s.requests.share.Held() == 0
		})
	}
	conn := dialTest(t, address)
	if status, err := post(conn, 300_000); err != nil || status != http.StatusOK {
		t.Fatal(status, err)
	}
	eventually(t, "kept connection: the memory is released", time.Second, func() bool { return s.memory.Held() == 0 })
}

// TestRefusedReadReleasesMemory refuses a request while it is read, and its caller does not
// close the connection. Its memory must be free at once, for the request that it is refused for.
func TestRefusedReadReleasesMemory(t *testing.T) {
	s, address := newForwardingTestServer(t, respondEmpty, withHeldLimit())
	part := strings.Repeat("x", 4<<20)
	before := settledHeapBytes()
	for range 3 {
		sendAll(dialTest(t, address), fmt.Sprintf("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(part)+1, part))
	}
	eventually(t, "the parts are read", 5*time.Second, func() bool { return s.memory.Held() > membudget.Bytes(3*len(part)) })
	var refused []*conn
	refusals := 0 // Bytes of all refusals, which are written in the background.
	s.conns.each(func(c *conn) {
		err := s.requests.exhausted(time.Now())
		refused = append(refused, c)
		refusals += len(rawErrorResponse(err))
		if !c.refuseReading(err) {
			t.Error("no request was being read")
		}
	})
	if n := s.memory.Held(); n > membudget.Bytes(refusals) {
		t.Errorf("%d bytes are still counted, of which the refusals are at most %d", n, refusals)
	}
	eventually(t, "the refusals are written", 5*time.Second, func() bool { return !slices.ContainsFunc(refused, (*conn).hasActiveRequest) })
	if n := s.memory.Held(); n != 0 {
		t.Errorf("%d bytes are still counted", n)
	}
	time.Sleep(50 * time.Millisecond)
	if grown := heapBytes() - before; grown > int64(len(part))/2 {
		t.Errorf("%d bytes are still held", grown)
	}
}

// openRequestBytes is what an open request without a body takes: its connection, its goroutines
// and the call to an engine that waits for its answer.
const openRequestBytes = 24 << 10

// TestOpenRequestsAreBoundedInSum has more small requests wait than there is memory for. Without
// a limit for their number an engine that answers slowly would use up the memory of the machine.
func TestOpenRequestsAreBoundedInSum(t *testing.T) {
	handle, waiting := holdRequests(t)
	s, address := newForwardingTestServer(t, handle, withHeldLimit())
	const requests = 1500
	for range requests {
		sendAll(dialTest(t, address), "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	eventually(t, "each request is handled or refused", 10*time.Second, func() bool {
		return waiting.Load()+s.metrics.rejected.Count() == requests
	})
	if n := waiting.Load(); n*openRequestBytes > heldLimit || n < heldLimit/openRequestBytes/2 {
		t.Errorf("%d requests wait, want at most %d and at least half of that", n, heldLimit/openRequestBytes)
	}
}

// TestHeaderLinesAreBoundedInSum has requests with many short header lines wait. A line takes many
// times its bytes; counting the bytes alone would let them use up the memory of the machine.
func TestHeaderLinesAreBoundedInSum(t *testing.T) {
	handle, waiting := holdRequests(t)
	s, address := newForwardingTestServer(t, handle, withHeldLimit())
	var head strings.Builder
	head.WriteString("GET /x HTTP/1.1\r\nHost: x\r\n")
	for i := 0; head.Len() < 50_000; i++ {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	head.WriteString("\r\n")
	before := settledHeapBytes()
	const requests = 150
	for range requests {
		sendAll(dialTest(t, address), head.String())
	}
	eventually(t, "each request is handled or refused", 10*time.Second, func() bool {
		return waiting.Load()+s.metrics.rejected.Count() == requests
	})
	t.Logf("%d requests wait", waiting.Load())
	expectHeldWithin(t, before)
}
