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

// startStore starts a store.
func startStore(t *testing.T, options ...Option) *Store {
	t.Helper()
	s := New(options...)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// call makes a call and returns the status, the index and the body.
func call(t *testing.T, s *Store, method, path, body string) (status int, index, text string) {
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

// want fails the test unless a call answers with the text.
func want(t *testing.T, s *Store, method, path, body, text string) {
	t.Helper()
	if _, _, got := call(t, s, method, path, body); got != text {
		t.Errorf("%s %s: %q, want %q", method, path, got, text)
	}
}

// newSession creates a session and returns its id.
func newSession(t *testing.T, s *Store, body string) string {
	t.Helper()
	_, _, text := call(t, s, http.MethodPut, "/v1/session/create", body)
	var answer sessionAnswer
	if err := json.Unmarshal([]byte(text), &answer); err != nil || answer.ID == "" {
		t.Fatalf("%q: %v", text, err)
	}
	return answer.ID
}

func TestCompareAndSwap(t *testing.T) {
	s := startStore(t)
	want(t, s, http.MethodPut, "/v1/kv/a/b?cas=0", "one", "true")
	want(t, s, http.MethodPut, "/v1/kv/a/b?cas=0", "two", "false")
	_, index, _ := call(t, s, http.MethodGet, "/v1/kv/a/b", "")
	want(t, s, http.MethodPut, "/v1/kv/a/b?cas="+index, "three", "true")
	want(t, s, http.MethodDelete, "/v1/kv/a/b?cas="+index, "", "false")
	_, index, text := call(t, s, http.MethodGet, "/v1/kv/a?recurse=true", "")
	if !strings.Contains(text, `"Value":"dGhyZWU="`) {
		t.Errorf("value: %s", text)
	}
	want(t, s, http.MethodDelete, "/v1/kv/a/b?cas="+index, "", "true")
	if status, _, _ := call(t, s, http.MethodGet, "/v1/kv/a/b", ""); status != http.StatusNotFound {
		t.Errorf("deleted key: status %d", status)
	}
	if status, _, _ := call(t, s, http.MethodPut, "/v1/kv/big", strings.Repeat("x", maxValueBytes+1)); status != http.StatusRequestEntityTooLarge {
		t.Errorf("large value: status %d", status)
	}
}

func TestWatchesWakeOnChange(t *testing.T) {
	s := startStore(t)
	want(t, s, http.MethodPut, "/v1/kv/w/a", "1", "true")
	_, index, _ := call(t, s, http.MethodGet, "/v1/kv/w/a", "")
	woken := make(chan string, 2)
	for _, path := range []string{"/v1/kv/w/a?index=" + index, "/v1/kv/w?recurse&index=" + index} {
		go func() {
			_, _, text := call(t, s, http.MethodGet, path+"&wait=5s", "")
			woken <- text
		}()
	}
	waitFor(t, func() bool { return s.Record().Watching == 2 })
	want(t, s, http.MethodPut, "/v1/kv/other", "1", "true")
	if n := s.Record().Watching; n != 2 {
		t.Errorf("%d watches wait after a change elsewhere, want 2", n)
	}
	want(t, s, http.MethodDelete, "/v1/kv/w/a", "", "true")
	for range 2 {
		if text := <-woken; text != "" {
			t.Errorf("watch saw %q, want a deletion", text)
		}
	}
}

func TestStalledWatchSeesNoChange(t *testing.T) {
	s := startStore(t)
	want(t, s, http.MethodPut, "/v1/kv/w", "1", "true")
	_, index, before := call(t, s, http.MethodGet, "/v1/kv/w", "")
	if err := s.Inject(control.Fault{Kind: control.StallWatches}); err != nil {
		t.Fatal(err)
	}
	want(t, s, http.MethodPut, "/v1/kv/w", "2", "true")
	want(t, s, http.MethodGet, "/v1/kv/other?index=1&wait=50ms", "", "")
	_, _, _ = call(t, s, http.MethodGet, "/v1/kv/w?index="+index+"&wait=50ms", "")
	s.Clear()
	_, _, after := call(t, s, http.MethodGet, "/v1/kv/w?index="+index+"&wait=5s", "")
	if after == before {
		t.Errorf("the watch did not go on: %s", after)
	}
}

func TestSessionLapses(t *testing.T) {
	s := startStore(t)
	id := newSession(t, s, `{"TTL":"200ms","Behavior":"delete"}`) //nolint:misspell // The name in the published API.
	other := newSession(t, s, `{"TTL":"10s"}`)
	want(t, s, http.MethodPut, "/v1/kv/lock?acquire="+id, "mine", "true")
	want(t, s, http.MethodPut, "/v1/kv/lock?acquire="+other, "theirs", "false")
	for range 3 {
		time.Sleep(100 * time.Millisecond)
		if status, _, _ := call(t, s, http.MethodPut, "/v1/session/renew/"+id, ""); status != http.StatusOK {
			t.Fatalf("renew: status %d", status)
		}
	}
	waitFor(t, func() bool { return s.Record().Keys == 0 })
	if status, _, _ := call(t, s, http.MethodPut, "/v1/session/renew/"+id, ""); status != http.StatusNotFound {
		t.Errorf("renew of a lapsed session: status %d", status)
	}
	want(t, s, http.MethodPut, "/v1/kv/lock?acquire="+other, "theirs", "true")
	want(t, s, http.MethodPut, "/v1/kv/lock?release="+other, "", "true")
}

func TestLostAnswerTakesEffect(t *testing.T) {
	s := startStore(t)
	f := control.Fault{Kind: control.DropAnswer, Method: http.MethodPut, Path: "/v1/kv/", Query: "cas=", Count: 1}
	if err := s.Inject(f); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := call(t, s, http.MethodPut, "/v1/kv/a?cas=0", "one"); status != 0 {
		t.Errorf("status %d, want a lost answer", status)
	}
	want(t, s, http.MethodPut, "/v1/kv/a?cas=0", "two", "false")
}

func TestLimitsAndCounts(t *testing.T) {
	s := startStore(t, WithLimits(0, 5))
	limited := 0
	for range 20 {
		if status, _, _ := call(t, s, http.MethodPut, "/v1/kv/a", "x"); status == http.StatusTooManyRequests {
			limited++
		}
	}
	if limited < 10 {
		t.Errorf("%d of 20 writes were limited to 5 a second", limited)
	}
	r := s.Record()
	if r.Calls[Put] != 20 || r.Limited != int64(limited) {
		t.Errorf("record: %+v", r)
	}
}

// waitFor waits until done returns true.
func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for range 500 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("waited in vain")
}
