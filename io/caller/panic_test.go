package caller

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"
)

// lockedBuffer is a bytes.Buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestPanicIsAnswered panics in the handler of a request. Its caller must get an error that
// does not claim that the request was not run, the log must show where, and other requests of
// the same and other connections must be served.
func TestPanicIsAnswered(t *testing.T) {
	var logged lockedBuffer
	s := NewForwardingServer(func(f *ForwardedRequest) {
		switch f.Request.URL.Path {
		case "/panic":
			panic("index out of bounds")
		case "/late":
			f.WriteHeader(http.StatusOK, http.Header{}, -1)
			_ = f.Write([]byte("x"))
			panic("after the header")
		}
		f.WriteHeader(http.StatusOK, http.Header{}, 0)
	}, log.NewLogfmtLogger(&logged))
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	caller := dialTest(t, string(address))
	in := bufio.NewReader(caller)
	for _, tc := range []struct {
		path   string
		status int
		ran    string
	}{{"/panic", 500, "may have run"}, {"/sound", 200, ""}} {
		if _, err := io.WriteString(caller, "GET "+tc.path+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: %v", tc.path, err)
		}
		_, err = io.Copy(io.Discard, res.Body)
		if err != nil || res.StatusCode != tc.status || res.Header.Get(RanHeader) != tc.ran {
			t.Errorf("%s: status %d, ran %q, %v, want %d, %q", tc.path, res.StatusCode, res.Header.Get(RanHeader), err, tc.status, tc.ran)
		}
	}
	late := dialTest(t, string(address))
	if _, err := io.WriteString(late, "GET /late HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(late), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(res.Body); err == nil {
		t.Error("an answer that was cut off by a panic looks complete")
	}
	if text := logged.String(); strings.Count(text, "panic in a request handler") != 2 || !strings.Contains(text, "index out of bounds") || !strings.Contains(text, "panic_test.go") {
		t.Errorf("the log does not show both panics with their stack: %q", text)
	}
}
