package caller

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
)

const (
	// fuzzInputTime bounds the time that a server may take for the bytes of one connection.
	fuzzInputTime = 5 * time.Second
	// fuzzInputMemory bounds what a server may allocate for a connection with few bytes,
	// whatever lengths they announce.
	fuzzInputMemory = 4 << 20
	// fuzzCallerAddresses is the number of loopback addresses that connections come from. One
	// address has too few ports for the connections of a minute.
	fuzzCallerAddresses = 200
)

// fuzzLimits are small, so that short inputs reach them.
var fuzzLimits = Limits{
	MaxHeaderBytes: 2 << 10, MaxBodyBytes: 4 << 10, MaxUnreadBytes: 1 << 20, MaxOpenRequests: 64,
	HeaderTimeout: time.Minute, RequestTimeout: time.Minute, IdleTimeout: time.Minute,
}

// fuzzCallers are inputs for a connection: requests, malformed ones, and bytes that are no
// request.
var fuzzCallers = []string{
	"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbodyGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n1;e=1\r\nb\r\n0\r\nX-T: 1\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx",
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1073741824\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx",
	"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nx",
	"GET /a HTTP/1.1\nHost: h\n\n",
	"GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: h\r\n folded\r\n\r\n",
	"GET http://[::1 HTTP/1.1\r\n\r\n", "GET  HTTP/1.1\r\n\r\n", "\r\n\r\n", "\x00\xff", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n",
	"GET / HTTP/9.9\r\n\r\n", "GET / HTTP/1.0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
	"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\nOPTIONS * HTTP/1.1\r\nHost: h\r\n\r\nCONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /" + strings.Repeat("a", 3000) + " HTTP/1.1\r\n\r\n",
	"GET / HTTP/1.1\r\nX: " + strings.Repeat("a", 3000),
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("a", 5000),
}

// fuzzedRequest is a request as a handler or a reference parser sees it.
type fuzzedRequest struct{ method, target, body string }

// fuzzedServer is a server whose handler records the requests and answers each in the same
// way.
type fuzzedServer struct {
	*Server
	address string

	exchanges int // Calls of exchange.

	mu       sync.Mutex
	requests []fuzzedRequest
}

// newFuzzedServer starts a fuzzedServer.
func newFuzzedServer(f *testing.F) *fuzzedServer {
	s := &fuzzedServer{}
	s.Server = NewForwardingServer(s.handle, log.NewNopLogger(), WithLimits(fuzzLimits))
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	s.address = string(address)
	f.Cleanup(func() { _ = s.Close() })
	return s
}

// handle records and answers a request.
func (s *fuzzedServer) handle(q *ForwardedRequest) {
	s.mu.Lock()
	s.requests = append(s.requests, fuzzedRequest{q.Request.Method, q.Request.RequestURI, string(q.Body)})
	s.mu.Unlock()
	q.WriteHeader(http.StatusOK, http.Header{}, 2)
	_ = q.Write([]byte("ok"))
}

// takeRequests returns the requests since the last call.
func (s *fuzzedServer) takeRequests() []fuzzedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.requests
	s.requests = nil
	return list
}

// settled reports whether the connection of a caller is open, has no input that is not
// parsed and no request that is not answered.
func (s *fuzzedServer) settled(caller string) bool {
	settled := false
	s.conns.each(func(c *conn) {
		if c.nbc.RemoteAddr().String() != caller {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		settled = c.activeRequests == 0 && (c.writeClosed || !c.hasInput())
	})
	return settled
}

// exchange sends data in parts of partBytes on a new connection, waits until the server has
// settled or closed it, and returns the bytes that the server sent.
func (s *fuzzedServer) exchange(t *testing.T, data []byte, partBytes int) []byte {
	t.Helper()
	s.exchanges++
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(s.exchanges%fuzzCallerAddresses))}}
	c, err := dialer.Dial("tcp", s.address)
	if err != nil {
		t.Fatalf("the server does not accept connections: %v", err)
	}
	defer func() { _ = c.Close() }()
	deadline := time.Now().Add(fuzzInputTime)
	_ = c.SetDeadline(deadline)
	answers := make(chan []byte, 1)
	go func() {
		answer, _ := io.ReadAll(c)
		answers <- answer
	}()
	writeInParts(c, data, partBytes)
	for !s.settled(c.LocalAddr().String()) {
		select {
		case answer := <-answers:
			if time.Now().After(deadline) {
				t.Fatalf("the server did not settle within %v", fuzzInputTime)
			}
			return answer
		case <-time.After(20 * time.Microsecond):
		}
	}
	_ = c.(*net.TCPConn).CloseWrite()
	answer := <-answers
	if time.Now().After(deadline) {
		t.Fatalf("the server kept a closed connection for %v", fuzzInputTime)
	}
	return answer
}

// writeInParts writes data in parts with pauses between them, until an error.
func writeInParts(c net.Conn, data []byte, partBytes int) {
	for len(data) > 0 {
		part := data[:min(partBytes, len(data))]
		data = data[len(part):]
		if _, err := c.Write(part); err != nil {
			return
		}
		if len(data) > 0 {
			time.Sleep(50 * time.Microsecond)
		}
	}
}

// referenceRequests parses data with net/http, up to the first malformed request.
func referenceRequests(data []byte) []fuzzedRequest {
	var list []fuzzedRequest
	br := bufio.NewReader(bytes.NewReader(data))
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return list
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return list
		}
		list = append(list, fuzzedRequest{r.Method, r.RequestURI, string(body)})
	}
}

// checkRequests fails the test if the handler saw other requests than net/http parses from
// the same bytes.
func checkRequests(t *testing.T, got, want []fuzzedRequest) {
	t.Helper()
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			t.Errorf("request %d is %q, net/http reads %q", i, got[i], want[i])
		}
	}
}

// checkResponses fails the test if the server has sent bytes that are no responses.
func checkResponses(t *testing.T, answer []byte, requests []fuzzedRequest) {
	t.Helper()
	br := bufio.NewReader(bytes.NewReader(answer))
	finals := 0
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		method := http.MethodGet
		if finals < len(requests) {
			method = requests[finals].method
		}
		r, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			t.Errorf("answer %q has no response after %d: %v", answer, finals, err)
			return
		}
		if r.StatusCode == http.StatusContinue {
			continue
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			t.Errorf("response %d of answer %q: %v", finals, answer, err)
		}
		finals++
		if finals > len(requests)+1 {
			t.Errorf("answer %q has more responses than requests", answer)
		}
	}
}

// allocated returns the bytes that the process has allocated since its start.
func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// FuzzConnection guards against bytes of a caller, in parts of any size, that panic the
// server, keep it busy, make it allocate by the lengths that they announce, or are taken for
// other requests than net/http reads, and checks that the next caller is served.
func FuzzConnection(f *testing.F) {
	for _, input := range fuzzCallers {
		f.Add([]byte(input), uint16(1<<15))
		if len(input) < 200 {
			f.Add([]byte(input), uint16(7))
		}
	}
	s := newFuzzedServer(f)
	f.Fuzz(func(t *testing.T, data []byte, partBytes uint16) {
		// At most 64 parts.
		part := max(int(partBytes), 1+len(data)/64)
		before := allocated()
		answer := s.exchange(t, data, part)
		if used := allocated() - before; used > fuzzInputMemory+uint64(16*len(data)) {
			t.Errorf("%d bytes made the process allocate %d", len(data), used)
		}
		requests := s.takeRequests()
		checkRequests(t, requests, referenceRequests(data))
		checkResponses(t, answer, requests)
		next := s.exchange(t, []byte("GET /next HTTP/1.1\r\nHost: h\r\n\r\n"), 1<<15)
		if got := s.takeRequests(); !bytes.HasPrefix(next, []byte("HTTP/1.1 200 ")) || len(got) != 1 || got[0].target != "/next" {
			t.Errorf("the next caller got %q for requests %q", next, got)
		}
	})
}
