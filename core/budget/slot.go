package budget

import (
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// Slot mints a fixed part of every organisation's rate. Its only state for an
// organisation is the time up to which it has handed out what it minted.
// Handing out moves the tokens: a lost message loses them.
type Slot struct {
	mu      sync.Mutex
	since   Instant // Nothing minted before this is handed out (clock: Moment.Mint).
	cursors map[ident.OrganisationID]Instant
}

// NewSlot returns a slot that mints from the given time on.
func NewSlot(since Instant) *Slot {
	return &Slot{since: since, cursors: make(map[ident.OrganisationID]Instant)}
}

// Aged is minted time as it travels between processes: by its age when it was
// handed out, which needs no common clock.
type Aged struct {
	Oldest time.Duration // Age of the first token.
	Newest time.Duration // Age of the last token.
	Rate   ident.TokensPerSecond
}

// Restart forgets all that was minted before now.
func (s *Slot) Restart(now Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = now
	clear(s.cursors)
}

// Take hands out all tokens of the organisation that the slot has minted and
// that are younger than window.
func (s *Slot) Take(now Instant, org ident.OrganisationID, rate ident.TokensPerSecond, window time.Duration) Aged {
	s.mu.Lock()
	defer s.mu.Unlock()
	minted := Interval{Start: s.start(now, org, window), End: now, Rate: rate}
	if minted.empty() {
		return Aged{}
	}
	s.cursors[org] = now
	return minted.aged(now)
}

// start returns the time from which on the organisation's tokens are here.
func (s *Slot) start(now Instant, org ident.OrganisationID, window time.Duration) Instant {
	start := now.Add(-window)
	if start < s.since {
		start = s.since
	}
	if cursor, ok := s.cursors[org]; ok && start < cursor {
		start = cursor
	}
	return start
}

// aged converts an interval for a journey that begins now.
func (iv Interval) aged(now Instant) Aged {
	if iv.empty() {
		return Aged{}
	}
	return Aged{Oldest: now.Sub(iv.Start), Newest: now.Sub(iv.End), Rate: iv.Rate}
}

// at converts an interval that arrived from another process. asked is the
// receiver's time before it sent its request, so that no token becomes younger
// on the way.
func (a Aged) at(asked Instant) Interval {
	return Interval{Start: asked.Add(-a.Oldest), End: asked.Add(-a.Newest), Rate: a.Rate}
}
