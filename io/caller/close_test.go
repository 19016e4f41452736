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

// Sizes of the tests.
const (
	largeAnswer = 12 << 20 // Above what the kernel holds of a connection.
	freshCalls  = 20_000
	freshAtOnce = 64
)

// TestCallsOnFreshConnections makes many calls, each on a connection of its own
// that ends with its answer: each call is answered.
func TestCallsOnFreshConnections(t *testing.T) {
	calls := freshCalls
	if testing.Short() {
		calls /= 10
	}
	r := newRig(t)
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var callers sync.WaitGroup
	for range freshAtOnce {
		callers.Go(func() {
			for range calls / freshAtOnce {
				res, err := client.Get("http://" + r.address + "/nowhere")
				if err != nil {
					t.Error(err)
					return
				}
				_, err = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				if err != nil || res.StatusCode != http.StatusNotFound {
					t.Errorf("%d, %v", res.StatusCode, err)
				}
			}
		})
	}
	callers.Wait()
}

// serveLarge puts an endpoint with a large answer into the text.
func (r *rig) serveLarge(t *testing.T) {
	t.Helper()
	large := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(largeAnswer))
		_, _ = io.WriteString(w, strings.Repeat("x", largeAnswer))
	}))
	t.Cleanup(large.Close)
	address := strings.TrimPrefix(large.URL, "http://")
	r.offer(2, strings.ReplaceAll(r.raw, r.services[0].Address(), address))
	r.closeService(t, 1)
}

// closeService ends an endpoint, so that calls go to the other one.
func (r *rig) closeService(t *testing.T, i int) {
	t.Helper()
	if err := r.services[i].Close(); err != nil {
		t.Fatal(err)
	}
}

// askLarge sends a call for the large answer and reads nothing of it.
func (r *rig) askLarge(t *testing.T, header string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = fmt.Fprintf(conn, "GET /status HTTP/1.1\r\nHost: x\r\n%s\r\n", header)
	return conn
}

// readLarge reads the large answer and wants all of it.
func readLarge(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, res.Body)
	if err != nil || n != largeAnswer {
		t.Errorf("%d bytes of %d came: %v", n, largeAnswer, err)
	}
	return res
}

// TestLastAnswerIsWhole lets a caller that reads slowly ask for the end of its
// connection: it gets all of the answer, and then the end.
func TestLastAnswerIsWhole(t *testing.T) {
	r := newRig(t)
	r.serveLarge(t)
	conn := r.askLarge(t, "Connection: close\r\n")
	time.Sleep(700 * time.Millisecond)
	res := readLarge(t, conn)
	if !res.Close {
		t.Error("the answer does not say that the connection ends")
	}
	if n, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("after the answer: %d bytes, %v, want the end", n, err)
	}
}

// TestDrainWaitsForSlowReaders begins a planned stop while an answer waits for a
// caller that reads slowly.
func TestDrainWaitsForSlowReaders(t *testing.T) {
	r := newRig(t)
	r.serveLarge(t)
	conn := r.askLarge(t, "")
	time.Sleep(300 * time.Millisecond)
	drained := make(chan error, 1)
	go func() {
		drained <- r.server.Drain(t.Context())
		_ = r.server.Close()
	}()
	r.closed = true
	time.Sleep(700 * time.Millisecond)
	readLarge(t, conn)
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestIdleCloseIsPrompt stops a server whose callers go on sending on connections
// that were idle. A request that isn't answered has to end with its connection at
// once, so that its caller can go elsewhere in time.
func TestIdleCloseIsPrompt(t *testing.T) {
	const (
		callers  = 40
		promptly = 120 * time.Millisecond
	)
	s := NewForwarding(func(f *Forward) { f.Begin(http.StatusOK, http.Header{}, 0) }, log.NewNopLogger(), WithIdleClose())
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
		askOnce(t, conn, true)
	}
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	for i, conn := range conns {
		time.Sleep(sweepInterval / 10)
		started := time.Now()
		askOnce(t, conn, false)
		if took := time.Since(started); took > promptly {
			t.Errorf("caller %d learned after %v that its request was not read", i, took)
		}
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// askOnce sends a request and reads until its answer or the end of the connection.
func askOnce(t *testing.T, conn net.Conn, answered bool) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil && answered {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		if answered {
			t.Fatal(err)
		}
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}
