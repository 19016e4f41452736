package forward

import (
	"sync"
	"time"

	"monsoonfork/core/ident"
)

const (
	// askersAtOnce is how many requests of a service ask for room in turn.
	askersAtOnce = 3
	// lateQuiet is how long nobody may have been refused before a request asks that
	// is late already.
	lateQuiet = 300 * time.Millisecond
)

// waiting is the requests that wait for room, by service.
type waiting struct {
	mu    sync.Mutex
	lines map[ident.ServiceID]*line
}

// line is the requests of one service that wait for room. Those that can still be
// answered in time go before the others, and the least costly before those.
type line struct {
	mu        sync.Mutex
	turns     map[*turn]struct{}
	refusedAt time.Time
}

// turn is a request's place in a line.
type turn struct {
	order       float64 // Memory that it takes, times how long.
	onTimeUntil time.Time
}

// join enters a request.
func (w *waiting) join(s ident.ServiceID, t *turn) *line {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lines == nil {
		w.lines = make(map[ident.ServiceID]*line)
	}
	l := w.lines[s]
	if l == nil {
		l = &line{turns: make(map[*turn]struct{})}
		w.lines[s] = l
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turns[t] = struct{}{}
	return l
}

// leave takes a request out.
func (l *line) leave(t *turn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.turns, t)
}

// refused notes that a request found no room.
func (l *line) refused(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedAt = now
}

// mayAsk reports whether it is a request's turn to ask for room.
func (l *line) mayAsk(t *turn, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := !now.Before(t.onTimeUntil)
	if late && now.Sub(l.refusedAt) < lateQuiet {
		return false
	}
	before := 0
	for other := range l.turns {
		otherLate := !now.Before(other.onTimeUntil)
		if other != t && (otherLate == late && other.order < t.order || late && !otherLate) {
			before++
		}
	}
	return before < askersAtOnce
}
