package store

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
)

// newRawStore starts a store that answers every call with text and closes the connection. It returns
// the address and the number of calls.
func newRawStore(t *testing.T, text string) (ident.Address, *atomic.Int64) {
	t.Helper()
	calls := new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}))
	t.Cleanup(s.Close)
	return ident.Address(strings.TrimPrefix(s.URL, "http://")), calls
}

// TestMalformedReadIsNotBelieved guards against a key that is taken for removed, or for one with other
// contents, since the answer of a store in trouble has a line that HTTP does not allow.
func TestMalformedReadIsNotBelieved(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 404 Not Found\r\nX-Consul-Index: 5\r\nX-Consul Leader: true\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Consul-Index: 5\r\nContent-Length : 9\r\n\r\n[]",
		"HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\nHTTP/1.1 404 Not Found\r\nX-Consul-Index: 5\r\nContent-Length: 0\r\n\r\n",
	} {
		address, calls := newRawStore(t, text)
		if l, err := newTestClient(t, address).Get(context.Background(), "a/b"); !fault.Is(err, fault.StoreUnavailable) || calls.Load() != 2 {
			t.Errorf("%q: %+v, %v after %d calls; want StoreUnavailable after two", text, l, err, calls.Load())
		}
	}
}

// TestMalformedAnswerToWriteIsUnknown guards against a write that is taken for done, or made again,
// after a malformed answer.
func TestMalformedAnswerToWriteIsUnknown(t *testing.T) {
	address, calls := newRawStore(t, "HTTP/1.1 200 OK\r\nX-Consul-Index : 5\r\nContent-Length: 4\r\n\r\ntrue")
	got, err := newTestClient(t, address).CompareAndSwap(context.Background(), "a/b", []byte("v"), 0)
	if got != keyvalue.Unknown || calls.Load() != 1 {
		t.Errorf("got %v, %v after %d calls; want an unknown outcome after one", got, err, calls.Load())
	}
}
