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

// Fault is one fault and the requests that it concerns.
type Fault struct {
	Kind        Kind    `json:"Kind"`
	Method      string  `json:"Method,omitempty"`      // Empty means any method.
	Path        string  `json:"Path,omitempty"`        // Prefix of the path; empty means any path.
	Query       string  `json:"Query,omitempty"`       // Part of the raw query; empty means any query.
	Count       int     `json:"Count,omitempty"`       // Requests that it hits; 0 means all until it is cleared.
	Probability float64 `json:"Probability,omitempty"` // Share of the requests that it hits; 0 means all.
	Seed        uint64  `json:"Seed,omitempty"`        // Of the draw for Probability.
	DelayMS     int64   `json:"DelayMS,omitempty"`     // Milliseconds; see the kinds.
	AfterTokens int     `json:"AfterTokens,omitempty"` // Tokens sent before a stream fails.
	Factor      float64 `json:"Factor,omitempty"`      // For Slow.
	PerSecond   float64 `json:"PerSecond,omitempty"`   // For RateLimit, in calls.
}

// Delay returns the delay of the fault.
func (f Fault) Delay() time.Duration {
	return time.Duration(f.DelayMS) * time.Millisecond
}

// UnmarshalJSON implements json.Unmarshaler and checks the fault.
func (f *Fault) UnmarshalJSON(data []byte) error {
	type plain Fault
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var p plain
	if err := decoder.Decode(&p); err != nil {
		return fmt.Errorf("fault: %w", err)
	}
	*f = Fault(p)
	return f.check()
}

// check returns an error when the fields do not fit the kind.
func (f *Fault) check() error {
	if f.Probability < 0 || f.Probability > 1 {
		return errors.New("fault: Probability is a number from 0 to 1")
	}
	if f.Count < 0 || f.DelayMS < 0 || f.AfterTokens < 0 {
		return errors.New("fault: Count, DelayMS and AfterTokens are at least 0")
	}
	if f.Kind == Slow && f.Factor <= 0 {
		return errors.New("fault: Slow needs a Factor above 0")
	}
	if f.Kind == RateLimit && f.PerSecond <= 0 {
		return errors.New("fault: RateLimit needs PerSecond above 0")
	}
	if f.Kind.onConnections() && (f.Path != "" || f.Method != "" || f.Query != "") {
		return fmt.Errorf("fault: %s concerns connections, not paths; NeverAnswer and FailBefore concern requests", f.Kind)
	}
	return nil
}

// Request is what a fault is matched against.
type Request struct {
	Method string
	Path   string
	Query  string // Raw query.
}

// RequestOf returns what faults are matched against for r.
func RequestOf(r *http.Request) Request {
	return Request{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery}
}

// activeFault is a fault with what is left of it.
type activeFault struct {
	Fault
	hits   int
	random *rand.Rand
}

// matches reports whether the fault concerns the request.
func (a *activeFault) matches(k Kind, r Request) bool {
	if a.Kind != k || (a.Count > 0 && a.hits >= a.Count) {
		return false
	}
	if a.Method != "" && a.Method != r.Method {
		return false
	}
	return strings.HasPrefix(r.Path, a.Path) && strings.Contains(r.Query, a.Query)
}

// Faults is the set of faults that are active in one stand-in.
type Faults struct {
	mu     sync.Mutex
	active []*activeFault
}

// NewFaults returns an empty set.
func NewFaults() *Faults {
	return &Faults{}
}

// Add makes f active.
func (s *Faults) Add(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = append(s.active, &activeFault{Fault: f, random: rand.New(rand.NewPCG(f.Seed, f.Seed))})
}

// Clear ends all faults of the kinds given, or all when none is given.
func (s *Faults) Clear(kinds ...Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make([]*activeFault, 0, len(s.active))
	for _, a := range s.active {
		if len(kinds) > 0 && !slices.Contains(kinds, a.Kind) {
			kept = append(kept, a)
		}
	}
	s.active = kept
}

// Take returns a fault of kind k that hits the request, and counts the hit.
func (s *Faults) Take(k Kind, r Request) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.active {
		if !a.matches(k, r) {
			continue
		}
		if a.Probability > 0 && a.random.Float64() >= a.Probability {
			continue
		}
		a.hits++
		return a.Fault, true
	}
	return Fault{}, false
}

// Active returns an active fault of kind k without counting a hit.
func (s *Faults) Active(k Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.active {
		if a.matches(k, Request{Method: a.Method, Path: a.Path, Query: a.Query}) {
			return a.Fault, true
		}
	}
	return Fault{}, false
}

// Present reports whether there is a fault of kind k that was not cleared, also
// when it has hit all its requests.
func (s *Faults) Present(k Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.active, func(a *activeFault) bool { return a.Kind == k })
}

// Slowness returns the factor by which work takes longer now.
func (s *Faults) Slowness() float64 {
	f, ok := s.Active(Slow)
	if !ok {
		return 1
	}
	return f.Factor
}
