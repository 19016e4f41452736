package store

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"monsoonfork/io/standin/control"
)

// query is the decoded query of a read.
type query struct {
	key     string
	recurse bool
	index   uint64 // Answer when the index passes it; 0 means at once.
	wait    time.Duration
}

// decodeQuery returns the query of a read.
func decodeQuery(r *http.Request) (query, error) {
	values := r.URL.Query()
	q := query{key: r.PathValue("key"), recurse: values.Has("recurse"), wait: defaultWait}
	var err error
	if text := values.Get("index"); text != "" {
		if q.index, err = strconv.ParseUint(text, 10, 64); err != nil {
			return q, fmt.Errorf("index: %w", err)
		}
	}
	if text := values.Get("wait"); text != "" {
		if q.wait, err = time.ParseDuration(text); err != nil {
			return q, fmt.Errorf("wait: %w", err)
		}
	}
	return q, nil
}

// call returns the kind of call of the query.
func (q query) call() Call {
	if q.index > 0 {
		return Watch
	}
	if q.recurse {
		return GetPrefix
	}
	return Get
}

// handleGet serves reads and long polls.
func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	q, err := decodeQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, q.call()) {
		return
	}
	v := s.read(q)
	if q.index > 0 {
		v = s.watch(r, q)
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(v.index, 10))
	if len(v.entries) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	control.WriteJSON(w, http.StatusOK, v.entries)
}

// read returns what the query sees now.
func (s *Store) read(q query) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.recurse {
		return s.keys.readPrefix(q.key)
	}
	return s.keys.readKey(q.key)
}

// watch waits until the index of what the query sees passes q.index, the wait
// is over or the caller is gone.
func (s *Store) watch(r *http.Request, q query) view {
	s.addWatching(1)
	defer s.addWatching(-1)
	first := s.read(q)
	end := time.NewTimer(q.wait)
	defer end.Stop()
	for {
		changed := s.nextChange()
		v := s.read(q)
		stalled := s.stalled(r)
		if v.index > q.index && !stalled {
			return v
		}
		if stalled {
			// A stalled watch looks again soon, to go on when the fault ends.
			changed = after(stallInterval)
		}
		select {
		case <-changed:
		case <-end.C:
			if stalled {
				return view{entries: first.entries, index: min(first.index, q.index)}
			}
			return v
		case <-r.Context().Done():
			return v
		case <-s.server.Done():
			return v
		}
	}
}

// after returns a channel that is closed after d.
func after(d time.Duration) <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(d, func() { close(c) })
	return c
}

// stalled reports whether a fault holds this watch back.
func (s *Store) stalled(r *http.Request) bool {
	_, hit := s.server.Faults.Take(control.StallWatches, control.RequestOf(r))
	return hit
}

// nextChange returns a channel that is closed at the next change.
func (s *Store) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// addWatching counts the long polls that wait.
func (s *Store) addWatching(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Watching += n
}

// handlePut serves writes and locks.
func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	values := r.URL.Query()
	if !s.admit(w, r, putCall(r)) {
		return
	}
	body, ok := readValue(w, r)
	if !ok {
		return
	}
	switch putCall(r) {
	case CompareAndSwap:
		expected, err := strconv.ParseUint(values.Get("cas"), 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.answerChange(w, func(k *keyspace) bool { return k.compareAndSwap(key, body, expected) })
	case Acquire:
		s.acquire(w, key, body, values.Get("acquire"))
	case Release:
		s.answerChange(w, func(k *keyspace) bool { return k.release(key, body, values.Get("release")) })
	default:
		s.answerChange(w, func(k *keyspace) bool { k.put(key, body); return true })
	}
}

// putCall returns the kind of call of a PUT.
func putCall(r *http.Request) Call {
	values := r.URL.Query()
	switch {
	case values.Has("cas"):
		return CompareAndSwap
	case values.Has("acquire"):
		return Acquire
	case values.Has("release"):
		return Release
	}
	return Put
}

// readValue returns the value in the body, or answers an error.
func readValue(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return nil, false
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return body, true
}

// answerChange makes a change and answers true or false.
func (s *Store) answerChange(w http.ResponseWriter, f func(k *keyspace) bool) {
	done := false
	s.change(func(k *keyspace) { done = f(k) })
	control.WriteJSON(w, http.StatusOK, done)
}

// acquire serves the lock of a key by a session.
func (s *Store) acquire(w http.ResponseWriter, key string, body []byte, id string) {
	known := false
	done := false
	now := time.Now()
	s.change(func(k *keyspace) {
		k.expire(now)
		if _, known = k.sessions[id]; known {
			done = k.acquire(key, body, id, now)
		}
	})
	if !known {
		http.Error(w, fmt.Sprintf("invalid session %q", id), http.StatusInternalServerError)
		return
	}
	control.WriteJSON(w, http.StatusOK, done)
}

// handleDelete serves deletions.
func (s *Store) handleDelete(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	values := r.URL.Query()
	call := Delete
	if values.Has("cas") {
		call = CompareAndDelete
	}
	if !s.admit(w, r, call) {
		return
	}
	if call == Delete {
		s.answerChange(w, func(k *keyspace) bool { k.remove(key); return true })
		return
	}
	expected, err := strconv.ParseUint(values.Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.answerChange(w, func(k *keyspace) bool { return k.compareAndDelete(key, expected) })
}
