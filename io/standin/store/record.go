package store

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"monsoonfork/io/standin/control"
)

// Call is a kind of call.
type Call int

//go:generate stringer -type=Call -output=call_string.go

// The kinds of calls.
const (
	Get Call = iota
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
func (c Call) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// isRead reports whether the call counts against the limit of reads.
func (c Call) isRead() bool { return c <= Watch }

// Record is what the store has counted.
type Record struct {
	Calls      map[Call]int64 `json:"Calls"`
	Limited    int64          `json:"Limited"`    // Calls answered with 429.
	Watching   int64          `json:"Watching"`   // Long polls that wait now.
	Index      uint64         `json:"Index"`      // Index of the last change.
	Keys       int            `json:"Keys"`       // Number of keys.
	ValueBytes int            `json:"ValueBytes"` // Size of all values.
	Sessions   int            `json:"Sessions"`   // Number of live sessions.
}

// newRecord returns an empty record.
func newRecord() Record { return Record{Calls: make(map[Call]int64)} }

// Record returns what the store has counted so far.
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

// admit counts a call. It answers 429 and returns false when the call is above
// a limit.
func (s *Store) admit(w http.ResponseWriter, r *http.Request, c Call) bool {
	allowed := s.allow(r, c)
	s.mu.Lock()
	s.record.Calls[c]++
	if !allowed {
		s.record.Limited++
	}
	s.mu.Unlock()
	if !allowed {
		http.Error(w, "rate limit", http.StatusTooManyRequests)
	}
	return allowed
}

// allow reports whether the call is within the limits.
func (s *Store) allow(r *http.Request, c Call) bool {
	limit := s.writeLimit
	if c.isRead() {
		limit = s.readLimit
	}
	if f, hit := s.server.Faults.Take(control.RateLimit, control.RequestOf(r)); hit {
		limit.setRate(f.PerSecond)
		defer limit.reset()
	}
	return limit.allow(time.Now())
}

// limiter is a token bucket of one second's calls.
type limiter struct {
	mu         sync.Mutex
	configured float64 // Calls a second; 0 means no limit.
	rate       float64
	available  float64
	updated    time.Time
}

// newLimiter returns a limiter for a rate in calls a second.
func newLimiter(rate float64) *limiter {
	return &limiter{configured: rate, rate: rate, available: rate, updated: time.Now()}
}

// setRate sets another rate for the time being.
func (l *limiter) setRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = rate
}

// reset goes back to the configured rate.
func (l *limiter) reset() { l.setRate(l.configured) }

// allow takes one call, and reports whether there was one.
func (l *limiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.updated).Seconds()
	l.updated = now
	if l.rate <= 0 {
		return true
	}
	l.available = min(max(l.rate, 1), l.available+elapsed*l.rate)
	if l.available < 1 {
		return false
	}
	l.available--
	return true
}
