package budget

import (
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// Slot mints a fixed share of every organisation's rate. Its only state for
// an organisation is the time up to which the minted tokens have been
// collected. Collecting moves the tokens: if the reply is lost, they are
// lost.
type Slot struct {
	mu sync.Mutex
	// Tokens minted before this are not handed out. Instants here are values
	// of ClockReading.MintTime.
	mintsFrom      Instant
	collectedUntil map[ident.OrganisationID]Instant // Tokens minted before this have been collected.
}

// NewSlot returns a slot that mints from since on.
func NewSlot(since Instant) *Slot {
	return &Slot{mintsFrom: since, collectedUntil: make(map[ident.OrganisationID]Instant)}
}

// IntervalAges is an Interval in the form sent between processes. Its times
// are ages at the time of sending, so that the processes need no common
// clock.
type IntervalAges struct {
	Oldest time.Duration // Age of the start of the interval.
	Newest time.Duration // Age of the end of the interval.
	Rate   ident.TokensPerSecond
}

// Restart discards the tokens minted before now.
func (s *Slot) Restart(now Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mintsFrom = now
	clear(s.collectedUntil)
}

// Collect hands out all tokens of the organisation that the slot has minted,
// that were not collected before, and that are younger than window.
func (s *Slot) Collect(now Instant, org ident.OrganisationID, rate ident.TokensPerSecond, window time.Duration) IntervalAges {
	s.mu.Lock()
	defer s.mu.Unlock()
	minted := Interval{Start: s.firstUncollected(now, org, window), End: now, Rate: rate}
	if minted.empty() {
		return IntervalAges{}
	}
	s.collectedUntil[org] = now
	return minted.ages(now)
}

// firstUncollected returns the time from which on the organisation's tokens
// are valid and not yet collected.
func (s *Slot) firstUncollected(now Instant, org ident.OrganisationID, window time.Duration) Instant {
	start := now.Add(-window)
	if start < s.mintsFrom {
		start = s.mintsFrom
	}
	if cursor, ok := s.collectedUntil[org]; ok && start < cursor {
		start = cursor
	}
	return start
}

// ages converts an interval for sending at now.
func (iv Interval) ages(now Instant) IntervalAges {
	if iv.empty() {
		return IntervalAges{}
	}
	return IntervalAges{Oldest: now.Sub(iv.Start), Newest: now.Sub(iv.End), Rate: iv.Rate}
}

// interval converts an interval received from another process. sentAt is the
// receiver's time before it sent its request, so that no token becomes
// younger in transit.
func (a IntervalAges) interval(sentAt Instant) Interval {
	return Interval{Start: sentAt.Add(-a.Oldest), End: sentAt.Add(-a.Newest), Rate: a.Rate}
}
