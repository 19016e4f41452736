package control

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Fault describes a fault and selects the requests that it applies to.
type Fault struct {
	Kind        Kind    `json:"Kind"`
	Method      string  `json:"Method,omitempty"`      // Empty means any method.
	Path        string  `json:"Path,omitempty"`        // Path prefix; empty means any path.
	Query       string  `json:"Query,omitempty"`       // Substring of the raw query; empty means any query.
	Count       int     `json:"Count,omitempty"`       // Number of requests to affect; 0 means all until the fault is cleared.
	Probability float64 `json:"Probability,omitempty"` // Probability that a matching request is affected; 0 means that all are.
	Seed        uint64  `json:"Seed,omitempty"`        // Seed of the random numbers for Probability.
	DelayMS     int64   `json:"DelayMS,omitempty"`     // Delay in milliseconds; the Kind constants say what is delayed.
	AfterTokens int     `json:"AfterTokens,omitempty"` // Tokens sent before StallStream or CutStream takes effect.
	Factor      float64 `json:"Factor,omitempty"`      // For Slow: factor by which durations are multiplied.
	PerSecond   float64 `json:"PerSecond,omitempty"`   // For RateLimit: requests allowed per second.
}

// Delay returns DelayMS as a duration.
func (f Fault) Delay() time.Duration {
	return time.Duration(f.DelayMS) * time.Millisecond
}

// UnmarshalJSON implements json.Unmarshaler. It rejects unknown fields and
// invalid faults.
func (f *Fault) UnmarshalJSON(data []byte) error {
	type plain Fault
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var p plain
	if err := decoder.Decode(&p); err != nil {
		return fmt.Errorf("fault: %w", err)
	}
	*f = Fault(p)
	return f.validate()
}

// validate returns an error if a value is out of range or does not fit the kind.
func (f *Fault) validate() error {
	if f.Probability < 0 || f.Probability > 1 {
		return errors.New("fault: Probability must be between 0 and 1")
	}
	if f.Count < 0 || f.DelayMS < 0 || f.AfterTokens < 0 {
		return errors.New("fault: Count, DelayMS and AfterTokens must not be negative")
	}
	if f.Kind == Slow && f.Factor <= 0 {
		return errors.New("fault: Slow requires Factor above 0")
	}
	if f.Kind == RateLimit && f.PerSecond <= 0 {
		return errors.New("fault: RateLimit requires PerSecond above 0")
	}
	if f.Kind.affectsConnections() && (f.Path != "" || f.Method != "" || f.Query != "") {
		return fmt.Errorf("fault: %s applies to connections and can't select requests; use NeverAnswer or FailBefore for single requests", f.Kind)
	}
	return nil
}

// RequestInfo holds the attributes of a request that faults are matched against.
type RequestInfo struct {
	Method string
	Path   string
	Query  string // Raw query.
}

// NewRequestInfo returns the attributes of r that faults are matched against.
func NewRequestInfo(r *http.Request) RequestInfo {
	return RequestInfo{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery}
}

// injectedFault is a fault with the state needed for Count and Probability.
type injectedFault struct {
	Fault
	hits int
	rng  *rand.Rand
}

// matches reports whether the fault is of kind k, selects the request and has
// not yet affected Count requests.
func (a *injectedFault) matches(k Kind, r RequestInfo) bool {
	if a.Kind != k || (a.Count > 0 && a.hits >= a.Count) {
		return false
	}
	if a.Method != "" && a.Method != r.Method {
		return false
	}
	return strings.HasPrefix(r.Path, a.Path) && strings.Contains(r.Query, a.Query)
}

// Faults is the set of faults that were injected into one stand-in and not yet
// cleared.
type Faults struct {
	mu       sync.Mutex
	injected []*injectedFault
}

// NewFaults returns an empty set.
func NewFaults() *Faults {
	return &Faults{}
}

// Add activates f.
func (s *Faults) Add(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injected = append(s.injected, &injectedFault{Fault: f, rng: rand.New(rand.NewPCG(f.Seed, f.Seed))})
}

// Clear removes all faults of the given kinds, or all faults if kinds is empty.
func (s *Faults) Clear(kinds ...Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make([]*injectedFault, 0, len(s.injected))
	for _, a := range s.injected {
		if len(kinds) > 0 && !slices.Contains(kinds, a.Kind) {
			kept = append(kept, a)
		}
	}
	s.injected = kept
}

// Trigger decides whether a fault of kind k affects the request. If so, it counts
// the request towards the Count of the fault and returns the fault.
func (s *Faults) Trigger(k Kind, r RequestInfo) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.injected {
		if !a.matches(k, r) {
			continue
		}
		if a.Probability > 0 && a.rng.Float64() >= a.Probability {
			continue
		}
		a.hits++
		return a.Fault, true
	}
	return Fault{}, false
}

// Peek returns a fault of kind k that still affects requests. It does not count
// towards Count and ignores Probability.
func (s *Faults) Peek(k Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.injected {
		if a.matches(k, RequestInfo{Method: a.Method, Path: a.Path, Query: a.Query}) {
			return a.Fault, true
		}
	}
	return Fault{}, false
}

// Injected reports whether a fault of kind k has not been cleared, even if it has
// already affected Count requests.
func (s *Faults) Injected(k Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.injected, func(a *injectedFault) bool { return a.Kind == k })
}

// SlowdownFactor returns the factor by which processing times are multiplied: that
// of the fault Slow, or 1.
func (s *Faults) SlowdownFactor() float64 {
	f, ok := s.Peek(Slow)
	if !ok {
		return 1
	}
	return f.Factor
}
