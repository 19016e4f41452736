package instancelist

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// newTestClient returns a client for a server that responds with status and body.
func newTestClient(t *testing.T, status int, body string) *Client {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/catalog/service/monsoonfork" {
			t.Errorf("unexpected request path %s", r.URL.Path)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return New(ident.Address(strings.TrimPrefix(s.URL, "http://")))
}

func TestInstancesParsesEntries(t *testing.T) {
	c := newTestClient(t, http.StatusOK, `[
		{"ServiceID":"a","ServiceAddress":"127.0.0.1","ServicePort":81,"ServiceMeta":{"domain":"d1","state":"live"}},
		{"ServiceID":"b","ServiceAddress":"::1","ServicePort":82,"ServiceMeta":{"domain":"d2","state":"leaving"}}]`)
	got, err := c.Instances(t.Context())
	if err != nil || len(got) != 2 {
		t.Fatalf("got instances %v, error %v; want 2 instances", got, err)
	}
	if got[0].PeerAddress != "127.0.0.1:81" || got[1].PeerAddress != "[::1]:82" || got[1].State != Leaving {
		t.Errorf("got instances %+v", got)
	}
}

func TestMalformedEntriesAreSkipped(t *testing.T) {
	c := newTestClient(t, http.StatusOK, `[{"ServiceID":"a","ServiceAddress":"x","ServicePort":81},{"ServicePort":"y"},
		{"ServiceID":"b","ServiceAddress":"127.0.0.1","ServicePort":82,"ServiceMeta":{"domain":"d","state":"live"}}]`)
	got, err := c.Instances(t.Context())
	if len(got) != 1 || !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("got instances %v, error %v; want 1 instance and StoreUnavailable", got, err)
	}
}

func TestFailedReadsReturnStoreUnavailable(t *testing.T) {
	for _, c := range []*Client{newTestClient(t, http.StatusTeapot, ""), newTestClient(t, http.StatusOK, "{"), New("127.0.0.1:1")} {
		if _, err := c.Instances(t.Context()); !fault.Is(err, fault.StoreUnavailable) {
			t.Errorf("got error %v, want StoreUnavailable", err)
		}
	}
}

// TestMalformedHeadIsNotBelieved guards against a list that is believed though its head has a line
// that HTTP does not allow.
func TestMalformedHeadIsNotBelieved(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length : 9\r\n\r\n[]"))
		_ = conn.Close()
	}))
	t.Cleanup(s.Close)
	if list, err := New(ident.Address(strings.TrimPrefix(s.URL, "http://"))).Instances(t.Context()); !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("got instances %v, error %v, want StoreUnavailable", list, err)
	}
}
