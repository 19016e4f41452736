package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// TestRequestDuringCloseIsRefused guards against requests that arrive while Close waits for a
// handler and get no answer, on a kept connection and on a new one. They must be refused as
// not run.
func TestRequestDuringCloseIsRefused(t *testing.T) {
	proceed := make(chan struct{})
	started := make(chan string, 10)
	s := NewForwardingServer(func(f *ForwardedRequest) {
		started <- f.Request.URL.Path
		<-proceed
	}, log.NewNopLogger())
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	first, kept := dialTest(t, string(address)), dialTest(t, string(address))
	if _, err := io.WriteString(first, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-started
	closed := make(chan error, 1)
	go func() { closed <- s.Close() }()
	eventually(t, "the server closes", time.Second, s.closing.Load)
	for name, conn := range map[string]net.Conn{"kept": kept, "new": dialTest(t, string(address))} {
		res := roundTrip(t, conn)
		if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(RanHeader) != "not run" || !res.Close || res.Header.Get("Retry-After") == "" {
			t.Errorf("%s connection: status %d, header %v, close %v; want a refusal as not run and a close", name, res.StatusCode, res.Header, res.Close)
		}
	}
	close(proceed)
	if err := <-closed; err != nil {
		t.Fatal(err)
	}
	if len(started) > 0 {
		t.Errorf("the handler of %s started during the close", <-started)
	}
}

// TestHandledRequestIsAnsweredDuringClose guards against a handler that has started just before
// a close and whose answer is cut off, and against callers that get neither an answer nor the
// end of their connection.
func TestHandledRequestIsAnsweredDuringClose(t *testing.T) {
	for range 20 {
		var handled, answered atomic.Int64
		s := NewForwardingServer(func(f *ForwardedRequest) {
			handled.Add(1)
			f.WriteHeader(http.StatusOK, http.Header{}, 0)
		}, log.NewNopLogger())
		address, err := s.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var callers sync.WaitGroup
		for range 4 {
			conn := dialTest(t, string(address))
			roundTrip(t, conn) // The connection is accepted.
			answered.Add(1)
			callers.Go(func() {
				in := bufio.NewReader(conn)
				for {
					if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
						return
					}
					res, err := http.ReadResponse(in, nil)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, res.Body)
					if res.StatusCode == http.StatusOK {
						answered.Add(1)
					}
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			callers.Wait()
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("after the close a caller waits for an answer")
		}
		if handled.Load() != answered.Load() {
			t.Errorf("%d requests handled, %d answered", handled.Load(), answered.Load())
		}
	}
}

// TestRefusalDuringCloseIsLoggedWithItsRequest guards against a refusal whose log line does not
// tell which request it is about.
func TestRefusalDuringCloseIsLoggedWithItsRequest(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	var lines logBuffer
	s := NewForwardingServer(func(*ForwardedRequest) {
		close(started)
		<-proceed
	}, log.NewLogfmtLogger(&lines))
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	first, kept := dialTest(t, string(address)), dialTest(t, string(address))
	if _, err := io.WriteString(first, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-started
	closed := make(chan error, 1)
	go func() { closed <- s.Close() }()
	eventually(t, "the server closes", time.Second, s.closing.Load)
	if _, err := io.WriteString(kept, "GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: late-1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a log line names the request", time.Second, func() bool { return strings.Contains(lines.String(), "request=late-1 ") })
	close(proceed)
	if err := <-closed; err != nil {
		t.Fatal(err)
	}
}

// logBuffer is a buffer that several goroutines may use.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
