package caller

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestDrainServesRequestsBehindUndeliveredAnswer drains a server while an answer is not yet
// delivered, and sends a second request on its connection. The caller has not been notified that
// the connection ends, so that the request must get an answer.
func TestDrainServesRequestsBehindUndeliveredAnswer(t *testing.T) {
	for path, undelivered := range map[string]func(*Server, *conn) bool{
		"/waiting":  func(s *Server, c *conn) bool { return s.openRequests.Load() == 1 && c.unsent.bytes() > maxUnsentBytes },
		"/returned": func(s *Server, c *conn) bool { return s.openRequests.Load() == 0 && c.unsent.bytes() > 0 },
	} {
		t.Run(path, func(t *testing.T) { checkDrainBehindAnswer(t, path, undelivered) })
	}
}

// checkDrainBehindAnswer drains a server once an answer is undelivered, and checks that a second
// request is served.
func checkDrainBehindAnswer(t *testing.T, path string, undelivered func(*Server, *conn) bool) {
	s, address := newForwardingTestServer(t, func(f *ForwardedRequest) {
		switch f.Request.URL.Path {
		case "/small":
			f.WriteHeader(http.StatusOK, http.Header{}, 0)
		case "/waiting": // The handler waits for its caller.
			f.WriteHeader(http.StatusOK, http.Header{}, largeResponseBytes)
			_ = f.Write(make([]byte, largeResponseBytes))
		case "/returned": // The handler returns as soon as bytes are buffered for its caller.
			f.WriteHeader(http.StatusOK, http.Header{}, -1)
			for f.x.conn.unsent.bytes() == 0 && f.Write(make([]byte, 1024)) == nil {
			}
		}
	}, WithIdleClose())
	caller := dialTest(t, address)
	if _, err := io.WriteString(caller, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	c := onlyConn(t, s)
	eventually(t, "the answer is sent in part", 2*time.Second, func() bool { return undelivered(s, c) && hasUnacked(c.nbc) })
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	time.Sleep(3 * sweepInterval)
	if _, err := io.WriteString(caller, "GET /small HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(caller)
	for _, path := range []string{path, "/small"} {
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if path == "/small" && !res.Close {
			t.Error("the last response has no Connection: close")
		}
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestDrainDeliversBufferedAnswers drains a server while the rest of an answer is buffered
// in the process and the kernel's buffer is empty at the moment of a sweep. Shutting down
// the sending side at that moment would lose the rest.
func TestDrainDeliversBufferedAnswers(t *testing.T) {
	const (
		answers = 30
		bytes   = 8 << 20 // More than the kernel buffers for a connection.
	)
	large := strings.Repeat("x", bytes)
	s, address := newForwardingTestServer(t, func(f *ForwardedRequest) {
		f.WriteHeader(http.StatusOK, http.Header{}, bytes)
		_ = f.Write([]byte(large))
	})
	for range answers {
		caller := dialTest(t, address)
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		stop := make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			for {
				select {
				case <-stop:
					return
				default:
					s.conns.each(func(c *conn) { c.closeWriteIfDelivered(time.Now(), true) })
				}
			}
		}()
		res, err := http.ReadResponse(bufio.NewReader(caller), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
		}
		close(stop)
		<-done
		if err != nil {
			t.Fatal(err)
		}
		_ = caller.Close()
	}
}

// TestAnswerBegunBeforeDrain begins an answer before and ends it after the begin of a drain,
// and then sends another request at once. Its connection may not end without an answer to
// the second one.
func TestAnswerBegunBeforeDrain(t *testing.T) {
	begun := make(chan struct{}, 1)
	proceed := make(chan struct{})
	s, address := newForwardingTestServer(t, func(f *ForwardedRequest) {
		f.WriteHeader(http.StatusOK, http.Header{}, -1)
		_ = f.Write([]byte("x"))
		if f.Request.URL.Path == "/first" {
			begun <- struct{}{}
			<-proceed
		}
	}, WithIdleClose())
	caller := dialTest(t, address)
	if _, err := io.WriteString(caller, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-begun
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	time.Sleep(2 * sweepInterval)
	close(proceed)
	in := bufio.NewReader(caller)
	for _, path := range []string{"/first", "/second"} {
		if path == "/second" {
			if _, err := io.WriteString(caller, "GET /second HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
		}
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if path == "/second" && !res.Close {
			t.Error("the last response has no Connection: close")
		}
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestDrainDuringHandlerAnnouncesClose begins a drain while a handler runs that has not yet
// written the header of its answer. The answer must announce the close, so that the caller
// sends no further request on the connection.
func TestDrainDuringHandlerAnnouncesClose(t *testing.T) {
	running := make(chan struct{})
	proceed := make(chan struct{})
	s, address := newForwardingTestServer(t, func(f *ForwardedRequest) {
		close(running)
		<-proceed
		f.WriteHeader(http.StatusOK, http.Header{}, 0)
	}, WithIdleClose())
	caller := dialTest(t, address)
	if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-running
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	eventually(t, "the drain has begun", time.Second, s.draining.Load)
	close(proceed)
	res, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		t.Fatal(err)
	}
	if !res.Close {
		t.Error("the response has no Connection: close")
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestOnlyLastAnswerAnnouncesClose sends two requests at once, of which the second has
// "Connection: close" or a drain has begun. A caller that is asked to close by the first
// answer does not read the second.
func TestOnlyLastAnswerAnnouncesClose(t *testing.T) {
	for name, second := range map[string]string{
		"closed by the caller": "GET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
		"drain":                "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s, address := newForwardingTestServer(t, func(f *ForwardedRequest) {
				time.Sleep(2 * sweepInterval) // Both requests are read before the first answer.
				f.WriteHeader(http.StatusOK, http.Header{}, 0)
			}, WithIdleClose())
			if name == "drain" {
				s.draining.Store(true)
			}
			caller := dialTest(t, address)
			if _, err := io.WriteString(caller, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"+second); err != nil {
				t.Fatal(err)
			}
			in := bufio.NewReader(caller)
			for i, want := range []bool{false, true} {
				res, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatalf("response %d: %v", i+1, err)
				}
				if res.Close != want {
					t.Errorf("response %d: Connection: close is %v, want %v", i+1, res.Close, want)
				}
			}
		})
	}
}
