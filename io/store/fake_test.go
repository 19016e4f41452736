package store

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
)

// fakeStore simulates the key-value service in the test process. It can fail
// requests, and lose or delay responses.
type fakeStore struct {
	*httptest.Server

	mu           sync.Mutex
	index        keyvalue.Index
	entries      map[string]keyvalue.Entry
	sessions     map[keyvalue.LeaseID]bool
	changed      chan struct{}            // Closed and replaced at each write.
	failRequest  func(*http.Request) bool // Reports whether to respond with status 500 without executing the request; may block.
	loseResponse func(*http.Request) bool // Reports whether to close the connection instead of responding.
	requestCount int
}

func newFakeStore(t *testing.T) *fakeStore {
	f := &fakeStore{index: 1, entries: map[string]keyvalue.Entry{}, sessions: map[keyvalue.LeaseID]bool{}, changed: make(chan struct{})}
	f.Server = httptest.NewServer(f)
	t.Cleanup(f.Close)
	return f
}

func (f *fakeStore) address() ident.Address {
	return ident.Address(strings.TrimPrefix(f.URL, "http://"))
}

// setFaults sets the hooks; nil removes one.
func (f *fakeStore) setFaults(failRequest, loseResponse func(*http.Request) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failRequest, f.loseResponse = failRequest, loseResponse
}

func (f *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.requestCount++
	failRequest, loseResponse := f.failRequest, f.loseResponse
	f.mu.Unlock()
	if failRequest != nil && failRequest(r) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	rec := httptest.NewRecorder()
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/session/"):
		f.session(rec, r)
	case r.Method == http.MethodGet:
		f.get(rec, r)
	default:
		f.change(rec, r)
	}
	if loseResponse != nil && loseResponse(r) {
		// The write took effect, but its response is lost with the connection.
		panic(http.ErrAbortHandler)
	}
	for k, v := range rec.Header() {
		w.Header()[k] = v
	}
	w.WriteHeader(rec.Code)
	_, _ = w.Write(rec.Body.Bytes())
}

func (f *fakeStore) get(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/v1/kv/")
	recurse := r.URL.Query().Has("recurse")
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	deadline := time.After(wait)
	for {
		f.mu.Lock()
		var found []keyvalue.Entry
		newest := keyvalue.Index(1)
		for k, e := range f.entries {
			if k == key || recurse && strings.HasPrefix(k, key) {
				found, newest = append(found, e), max(newest, e.ModifyIndex)
			}
		}
		changed := f.changed
		f.mu.Unlock()
		if newest > keyvalue.Index(after) || wait == 0 {
			w.Header().Set(indexHeader, strconv.FormatUint(uint64(newest), 10))
			if len(found) == 0 {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			_ = json.NewEncoder(w).Encode(found)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (f *fakeStore) change(w http.ResponseWriter, r *http.Request) {
	value, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	key, q := strings.TrimPrefix(r.URL.Path, "/v1/kv/"), r.URL.Query()
	old := f.entries[key]
	cas, _ := strconv.ParseUint(q.Get("cas"), 10, 64)
	session := keyvalue.LeaseID(q.Get("acquire") + q.Get("release"))
	switch {
	case q.Has("cas") && old.ModifyIndex != keyvalue.Index(cas),
		q.Has("acquire") && (old.Session != "" && old.Session != session || !f.sessions[session]),
		q.Has("release") && old.Session != session:
		_, _ = io.WriteString(w, "false")
		return
	}
	f.index++
	if r.Method == http.MethodDelete {
		delete(f.entries, key)
	} else {
		f.entries[key] = keyvalue.Entry{Key: key, Value: value, ModifyIndex: f.index, Session: keyvalue.LeaseID(q.Get("acquire"))}
	}
	close(f.changed)
	f.changed = make(chan struct{})
	_, _ = io.WriteString(w, "true")
}

func (f *fakeStore) session(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	parts := strings.Split(r.URL.Path, "/")
	id := keyvalue.LeaseID(parts[len(parts)-1])
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/session/create"):
		f.index++
		id = keyvalue.LeaseID(strconv.FormatUint(uint64(f.index), 10))
		f.sessions[id] = true
		_ = json.NewEncoder(w).Encode(struct{ ID keyvalue.LeaseID }{id})
	case !f.sessions[id]:
		w.WriteHeader(http.StatusNotFound)
	case strings.HasPrefix(r.URL.Path, "/v1/session/destroy"):
		delete(f.sessions, id)
		for k, e := range f.entries {
			if e.Session == id {
				delete(f.entries, k)
			}
		}
	}
}
