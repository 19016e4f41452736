package store

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"monsoonfork/io/standin/control"
)

// Operation is a kind of request, under which requests are counted.
type Operation int

//go:generate stringer -type=Operation -output=operation_string.go

// The operations.
const (
	Get Operation = iota
	GetPrefix
	Watch // A long poll of a key or prefix.
	Put
	CompareAndSwap
	Acquire
	Release
	Delete
	CompareAndDelete
	SessionCreate
	SessionRenew
	SessionDestroy
)

// MarshalText implements encoding.TextMarshaler.
func (op Operation) MarshalText() ([]byte, error) { return []byte(op.String()), nil }

// isRead reports whether the rate limit of reads applies to the operation.
func (op Operation) isRead() bool { return op <= Watch }

// Record holds the request counts and the current size of the store.
type Record struct {
	Calls      map[Operation]int64 `json:"Calls"`
	Limited    int64               `json:"Limited"`    // Requests rejected with status 429.
	Watching   int64               `json:"Watching"`   // Long polls that are waiting.
	Index      uint64              `json:"Index"`      // Index of the last change of keys.
	Keys       int                 `json:"Keys"`       // Number of keys.
	ValueBytes int                 `json:"ValueBytes"` // Total size of the values in bytes.
	Sessions   int                 `json:"Sessions"`   // Number of sessions.
}

// newRecord returns a record with empty counts.
func newRecord() Record { return Record{Calls: make(map[Operation]int64)} }

// Record returns the counts since the start and the current size.
func (s *Store) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record
	r.Calls = maps.Clone(s.record.Calls)
	r.Index = s.keys.index
	r.Keys = len(s.keys.entries)
	r.Sessions = len(s.keys.sessions)
	for _, e := range s.keys.entries {
		r.ValueBytes += len(e.Value)
	}
	return r
}

// handleRecord serves GET /control/record.
func (s *Store) handleRecord(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, s.Record())
}

// allowOrReject counts a request. If the request exceeds its rate limit, it sends a
// response with status 429 and returns false.
func (s *Store) allowOrReject(w http.ResponseWriter, r *http.Request, op Operation) bool {
	allowed := s.allow(r, op)
	s.mu.Lock()
	s.record.Calls[op]++
	if !allowed {
		s.record.Limited++
	}
	s.mu.Unlock()
	if !allowed {
		http.Error(w, "rate limit", http.StatusTooManyRequests)
	}
	return allowed
}

// allow reports whether the request is within its rate limit. The fault RateLimit
// replaces the configured rate for this request.
func (s *Store) allow(r *http.Request, op Operation) bool {
	limit := s.writeLimit
	if op.isRead() {
		limit = s.readLimit
	}
	if f, hit := s.server.Faults.Trigger(control.RateLimit, control.NewRequestInfo(r)); hit {
		limit.setRate(f.PerSecond)
		defer limit.reset()
	}
	return limit.allow(time.Now())
}

// limiter is a token bucket that holds the tokens of one second.
type limiter struct {
	mu             sync.Mutex
	configuredRate float64 // Requests per second; 0 means no limit.
	rate           float64
	tokens         float64
	refilledAt     time.Time
}

// newLimiter returns a limiter with a rate in requests per second.
func newLimiter(rate float64) *limiter {
	return &limiter{configuredRate: rate, rate: rate, tokens: rate, refilledAt: time.Now()}
}

// setRate replaces the rate until the next reset.
func (l *limiter) setRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = rate
}

// reset restores the configured rate.
func (l *limiter) reset() { l.setRate(l.configuredRate) }

// allow takes one token from the bucket and reports whether one was available.
func (l *limiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.refilledAt).Seconds()
	l.refilledAt = now
	if l.rate <= 0 {
		return true
	}
	l.tokens = min(max(l.rate, 1), l.tokens+elapsed*l.rate)
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
