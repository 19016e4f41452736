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

// readQuery holds the decoded parameters of a read.
type readQuery struct {
	key     string
	recurse bool
	index   uint64 // Wait until the index exceeds this value; 0 means don't wait.
	wait    time.Duration
}

// decodeQuery decodes the parameters of a read.
func decodeQuery(r *http.Request) (readQuery, error) {
	values := r.URL.Query()
	q := readQuery{key: r.PathValue("key"), recurse: values.Has("recurse"), wait: defaultWait}
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

// operation returns the operation that the read counts as.
func (q readQuery) operation() Operation {
	if q.index > 0 {
		return Watch
	}
	if q.recurse {
		return GetPrefix
	}
	return Get
}

// handleGet serves GET /v1/kv/{key}: reads and long polls.
func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	q, err := decodeQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.allowOrReject(w, r, q.operation()) {
		return
	}
	result := s.read(q)
	if q.index > 0 {
		result = s.watch(r, q)
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(result.index, 10))
	if len(result.entries) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	control.WriteJSON(w, http.StatusOK, result.entries)
}

// read returns the current entries and index for a query.
func (s *Store) read(q readQuery) readResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.recurse {
		return s.keys.readPrefix(q.key)
	}
	return s.keys.readKey(q.key)
}

// watch waits until the index for the query exceeds q.index, the wait time ends or
// the client disconnects. While the fault StallWatches is active it returns no
// change: when the wait time ends it returns the entries read at its start.
func (s *Store) watch(r *http.Request, q readQuery) readResult {
	s.addWaitingWatches(1)
	defer s.addWaitingWatches(-1)
	initial := s.read(q)
	timeout := time.NewTimer(q.wait)
	defer timeout.Stop()
	for {
		changed := s.nextChangeSignal()
		result := s.read(q)
		stalled := s.stalled(r)
		if result.index > q.index && !stalled {
			return result
		}
		if stalled {
			// Poll, so that the watch resumes soon after the fault is cleared.
			changed = timerChannel(stallInterval)
		}
		select {
		case <-changed:
		case <-timeout.C:
			if stalled {
				return readResult{entries: initial.entries, index: min(initial.index, q.index)}
			}
			return result
		case <-r.Context().Done():
			return result
		case <-s.server.Done():
			return result
		}
	}
}

// timerChannel returns a channel that is closed after d.
func timerChannel(d time.Duration) <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(d, func() { close(c) })
	return c
}

// stalled reports whether the fault StallWatches affects this request. Each call
// counts towards the Count of the fault.
func (s *Store) stalled(r *http.Request) bool {
	_, hit := s.server.Faults.Trigger(control.StallWatches, control.NewRequestInfo(r))
	return hit
}

// nextChangeSignal returns a channel that is closed at the next change of keys.
func (s *Store) nextChangeSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// addWaitingWatches adds n to the number of waiting long polls.
func (s *Store) addWaitingWatches(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Watching += n
}

// handlePut serves PUT /v1/kv/{key}: plain and conditional writes, and locking and
// unlocking a key.
func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	values := r.URL.Query()
	if !s.allowOrReject(w, r, putOperation(r)) {
		return
	}
	body, ok := readValue(w, r)
	if !ok {
		return
	}
	switch putOperation(r) {
	case CompareAndSwap:
		expected, err := strconv.ParseUint(values.Get("cas"), 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.respondChange(w, func(k *keyspace) bool { return k.compareAndSwap(key, body, expected) })
	case Acquire:
		s.acquire(w, key, body, values.Get("acquire"))
	case Release:
		s.respondChange(w, func(k *keyspace) bool { return k.release(key, body, values.Get("release")) })
	default:
		s.respondChange(w, func(k *keyspace) bool { k.put(key, body); return true })
	}
}

// putOperation returns the operation that a PUT request selects by its
// parameters.
func putOperation(r *http.Request) Operation {
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

// readValue reads the request body. On failure it sends an error response and
// returns false.
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

// respondChange calls f under the lock and sends its result, true or false, as the
// response.
func (s *Store) respondChange(w http.ResponseWriter, f func(k *keyspace) bool) {
	succeeded := false
	s.change(func(k *keyspace) { succeeded = f(k) })
	control.WriteJSON(w, http.StatusOK, succeeded)
}

// acquire locks a key for a session and sends the response.
func (s *Store) acquire(w http.ResponseWriter, key string, body []byte, id string) {
	sessionExists := false
	succeeded := false
	now := time.Now()
	s.change(func(k *keyspace) {
		k.expireSessions(now)
		if _, sessionExists = k.sessions[id]; sessionExists {
			succeeded = k.acquire(key, body, id, now)
		}
	})
	if !sessionExists {
		http.Error(w, fmt.Sprintf("invalid session %q", id), http.StatusInternalServerError)
		return
	}
	control.WriteJSON(w, http.StatusOK, succeeded)
}

// handleDelete serves DELETE /v1/kv/{key}, with or without a condition.
func (s *Store) handleDelete(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	values := r.URL.Query()
	operation := Delete
	if values.Has("cas") {
		operation = CompareAndDelete
	}
	if !s.allowOrReject(w, r, operation) {
		return
	}
	if operation == Delete {
		s.respondChange(w, func(k *keyspace) bool { k.remove(key); return true })
		return
	}
	expected, err := strconv.ParseUint(values.Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.respondChange(w, func(k *keyspace) bool { return k.compareAndDelete(key, expected) })
}
