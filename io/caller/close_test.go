package caller

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// Sizes of the test loads.
const (
	largeResponseBytes = 12 << 20 // More than the kernel buffers for a connection.
	newConnCalls       = 20_000
	newConnConcurrency = 64
)

// TestCallsOnNewConnections makes many concurrent calls, each on a new connection with
// "Connection: close". A stale poller event that is applied to a new connection with the
// same descriptor would make a call fail.
func TestCallsOnNewConnections(t *testing.T) {
	calls := newConnCalls
	if testing.Short() {
		calls /= 10
	}
	r := newTestServer(t)
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var callers sync.WaitGroup
	for range newConnConcurrency {
		callers.Go(func() {
			for range calls / newConnConcurrency {
				res, err := client.Get("http://" + r.address + "/nowhere")
				if err != nil {
					t.Error(err)
					return
				}
				_, err = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				if err != nil || res.StatusCode != http.StatusNotFound {
					t.Errorf("status %d, %v, want 404", res.StatusCode, err)
				}
			}
		})
	}
	callers.Wait()
}

// serveLargeResponse replaces the first service endpoint in the configuration by one with
// a large response, and stops the other.
func (r *testServer) serveLargeResponse(t *testing.T) {
	t.Helper()
	large := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(largeResponseBytes))
		_, _ = io.WriteString(w, strings.Repeat("x", largeResponseBytes))
	}))
	t.Cleanup(large.Close)
	address := strings.TrimPrefix(large.URL, "http://")
	r.applyConfig(2, strings.ReplaceAll(r.configText, r.services[0].Address(), address))
	r.closeService(t, 1)
}

// closeService stops a service endpoint, so that calls go to the other one.
func (r *testServer) closeService(t *testing.T, i int) {
	t.Helper()
	if err := r.services[i].Close(); err != nil {
		t.Fatal(err)
	}
}

// requestLargeResponse requests the large response without reading any of it.
func (r *testServer) requestLargeResponse(t *testing.T, header string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = fmt.Fprintf(conn, "GET /status HTTP/1.1\r\nHost: x\r\n%s\r\n", header)
	return conn
}

// readLargeResponse reads the large response and checks that it is complete.
func readLargeResponse(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, res.Body)
	if err != nil || n != largeResponseBytes {
		t.Errorf("received %d bytes of %d: %v", n, largeResponseBytes, err)
	}
	return res
}

// TestLastResponseIsDelivered sends "Connection: close" and reads the response with a
// delay: the response must arrive completely before the connection is closed.
func TestLastResponseIsDelivered(t *testing.T) {
	r := newTestServer(t)
	r.serveLargeResponse(t)
	conn := r.requestLargeResponse(t, "Connection: close\r\n")
	time.Sleep(700 * time.Millisecond)
	res := readLargeResponse(t, conn)
	if !res.Close {
		t.Error("the response has no Connection: close")
	}
	if n, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("after the response: %d bytes, %v, want EOF", n, err)
	}
}

// TestDrainWaitsForSlowReaders drains and closes the server while a response is buffered
// for a caller that reads slowly: the response must still arrive completely.
func TestDrainWaitsForSlowReaders(t *testing.T) {
	r := newTestServer(t)
	r.serveLargeResponse(t)
	conn := r.requestLargeResponse(t, "")
	time.Sleep(300 * time.Millisecond)
	drained := make(chan error, 1)
	go func() {
		drained <- r.server.Drain(t.Context())
		_ = r.server.Close()
	}()
	r.serverClosed = true
	time.Sleep(700 * time.Millisecond)
	readLargeResponse(t, conn)
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestDrainClosesIdleConnectionsPromptly drains a server while callers send requests on
// idle connections. A request that is not read must fail at once by the close of its
// connection, so that the caller can retry elsewhere in time.
func TestDrainClosesIdleConnectionsPromptly(t *testing.T) {
	const (
		callers  = 40
		maxDelay = 120 * time.Millisecond
	)
	s := NewForwardingServer(func(f *ForwardedRequest) { f.WriteHeader(http.StatusOK, http.Header{}, 0) }, log.NewNopLogger(), WithIdleClose())
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	var conns []net.Conn
	for range callers {
		conn, err := net.Dial("tcp", string(address))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
		sendRequest(t, conn, true)
	}
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	for i, conn := range conns {
		time.Sleep(sweepInterval / 10)
		started := time.Now()
		sendRequest(t, conn, false)
		if elapsed := time.Since(started); elapsed > maxDelay {
			t.Errorf("caller %d: unread request failed only after %v", i, elapsed)
		}
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// sendRequest sends a request and reads the response, or up to the end of the connection.
// With expectResponse it fails the test if there is no response.
func sendRequest(t *testing.T, conn net.Conn, expectResponse bool) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil && expectResponse {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		if expectResponse {
			t.Fatal(err)
		}
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}
