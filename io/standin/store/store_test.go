package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoonfork/io/standin/control"
)

// startStore starts a store, which is closed at the end of the test.
func startStore(t *testing.T, options ...Option) *Store {
	t.Helper()
	s := New(options...)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// sendRequest sends a request and returns the status, the index and the body of the
// response. If there is no response, the status is 0 and the body is the error.
func sendRequest(t *testing.T, s *Store, method, path, body string) (status int, index, text string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("X-Consul-Index"), strings.TrimSpace(string(data))
}

// expectBody sends a request and reports a test error unless the body of the
// response is text.
func expectBody(t *testing.T, s *Store, method, path, body, text string) {
	t.Helper()
	if _, _, got := sendRequest(t, s, method, path, body); got != text {
		t.Errorf("%s %s: %q, want %q", method, path, got, text)
	}
}

// newSession creates a session and returns its id.
func newSession(t *testing.T, s *Store, body string) string {
	t.Helper()
	_, _, text := sendRequest(t, s, http.MethodPut, "/v1/session/create", body)
	var response sessionResponse
	if err := json.Unmarshal([]byte(text), &response); err != nil || response.ID == "" {
		t.Fatalf("%q: %v", text, err)
	}
	return response.ID
}

func TestCompareAndSwap(t *testing.T) {
	s := startStore(t)
	expectBody(t, s, http.MethodPut, "/v1/kv/a/b?cas=0", "one", "true")
	expectBody(t, s, http.MethodPut, "/v1/kv/a/b?cas=0", "two", "false")
	_, index, _ := sendRequest(t, s, http.MethodGet, "/v1/kv/a/b", "")
	expectBody(t, s, http.MethodPut, "/v1/kv/a/b?cas="+index, "three", "true")
	expectBody(t, s, http.MethodDelete, "/v1/kv/a/b?cas="+index, "", "false")
	_, index, text := sendRequest(t, s, http.MethodGet, "/v1/kv/a?recurse=true", "")
	if !strings.Contains(text, `"Value":"dGhyZWU="`) {
		t.Errorf("value after compare-and-swap: %s", text)
	}
	expectBody(t, s, http.MethodDelete, "/v1/kv/a/b?cas="+index, "", "true")
	if status, _, _ := sendRequest(t, s, http.MethodGet, "/v1/kv/a/b", ""); status != http.StatusNotFound {
		t.Errorf("reading a deleted key: status %d", status)
	}
	if status, _, _ := sendRequest(t, s, http.MethodPut, "/v1/kv/big", strings.Repeat("x", maxValueBytes+1)); status != http.StatusRequestEntityTooLarge {
		t.Errorf("writing a value above the maximum size: status %d", status)
	}
}

func TestWatchReturnsOnChange(t *testing.T) {
	s := startStore(t)
	expectBody(t, s, http.MethodPut, "/v1/kv/w/a", "1", "true")
	_, index, _ := sendRequest(t, s, http.MethodGet, "/v1/kv/w/a", "")
	returned := make(chan string, 2)
	for _, path := range []string{"/v1/kv/w/a?index=" + index, "/v1/kv/w?recurse&index=" + index} {
		go func() {
			_, _, text := sendRequest(t, s, http.MethodGet, path+"&wait=5s", "")
			returned <- text
		}()
	}
	waitFor(t, func() bool { return s.Record().Watching == 2 })
	expectBody(t, s, http.MethodPut, "/v1/kv/other", "1", "true")
	if n := s.Record().Watching; n != 2 {
		t.Errorf("%d watches wait after a change of another key, want 2", n)
	}
	expectBody(t, s, http.MethodDelete, "/v1/kv/w/a", "", "true")
	for range 2 {
		if text := <-returned; text != "" {
			t.Errorf("watch returned %q, want an empty body after the deletion", text)
		}
	}
}

func TestWatchReturnsChangeAfterStall(t *testing.T) {
	s := startStore(t)
	expectBody(t, s, http.MethodPut, "/v1/kv/w", "1", "true")
	_, index, before := sendRequest(t, s, http.MethodGet, "/v1/kv/w", "")
	if err := s.Inject(control.Fault{Kind: control.StallWatches}); err != nil {
		t.Fatal(err)
	}
	expectBody(t, s, http.MethodPut, "/v1/kv/w", "2", "true")
	expectBody(t, s, http.MethodGet, "/v1/kv/other?index=1&wait=50ms", "", "")
	_, _, _ = sendRequest(t, s, http.MethodGet, "/v1/kv/w?index="+index+"&wait=50ms", "")
	s.Clear()
	_, _, after := sendRequest(t, s, http.MethodGet, "/v1/kv/w?index="+index+"&wait=5s", "")
	if after == before {
		t.Errorf("after the fault was cleared the watch returned the old value: %s", after)
	}
}

func TestSessionExpires(t *testing.T) {
	s := startStore(t)
	id := newSession(t, s, `{"TTL":"200ms","Behavior":"delete"}`) //nolint:misspell // Name in the Consul API.
	other := newSession(t, s, `{"TTL":"10s"}`)
	expectBody(t, s, http.MethodPut, "/v1/kv/lock?acquire="+id, "mine", "true")
	expectBody(t, s, http.MethodPut, "/v1/kv/lock?acquire="+other, "theirs", "false")
	for range 3 {
		time.Sleep(100 * time.Millisecond)
		if status, _, _ := sendRequest(t, s, http.MethodPut, "/v1/session/renew/"+id, ""); status != http.StatusOK {
			t.Fatalf("renewing a session: status %d", status)
		}
	}
	waitFor(t, func() bool { return s.Record().Keys == 0 })
	if status, _, _ := sendRequest(t, s, http.MethodPut, "/v1/session/renew/"+id, ""); status != http.StatusNotFound {
		t.Errorf("renewing an expired session: status %d", status)
	}
	expectBody(t, s, http.MethodPut, "/v1/kv/lock?acquire="+other, "theirs", "true")
	expectBody(t, s, http.MethodPut, "/v1/kv/lock?release="+other, "", "true")
}

// A compare-and-swap whose response is dropped takes effect, so a second attempt
// fails.
func TestWriteWithDroppedResponseTakesEffect(t *testing.T) {
	s := startStore(t)
	f := control.Fault{Kind: control.DropAnswer, Method: http.MethodPut, Path: "/v1/kv/", Query: "cas=", Count: 1}
	if err := s.Inject(f); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := sendRequest(t, s, http.MethodPut, "/v1/kv/a?cas=0", "one"); status != 0 {
		t.Errorf("status %d, want a dropped response", status)
	}
	expectBody(t, s, http.MethodPut, "/v1/kv/a?cas=0", "two", "false")
}

func TestRateLimitAndCounts(t *testing.T) {
	s := startStore(t, WithLimits(0, 5))
	limited := 0
	for range 20 {
		if status, _, _ := sendRequest(t, s, http.MethodPut, "/v1/kv/a", "x"); status == http.StatusTooManyRequests {
			limited++
		}
	}
	if limited < 10 {
		t.Errorf("%d of 20 writes were rejected at a limit of 5 per second, want at least 10", limited)
	}
	r := s.Record()
	if r.Calls[Put] != 20 || r.Limited != int64(limited) {
		t.Errorf("record: %+v", r)
	}
}

// waitFor polls done until it returns true, for up to 5 s.
func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for range 500 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("timeout: the condition did not become true within 5 s")
}
