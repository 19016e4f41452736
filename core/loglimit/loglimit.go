// Package loglimit limits the log lines about events of the same kind.
package loglimit

import (
	"sync"
	"time"
)

const (
	// Window is the time in which events with the same key are counted.
	Window = time.Second
	// MaxLines is how many events with the same key are logged in a window: enough to find the
	// requests of most callers, and a limit for a client or an endpoint that causes thousands.
	MaxLines = 20
)

// Limit counts events by their key, and says which are to be logged.
type Limit[K comparable] struct {
	AfterFunc  func(time.Duration, func()) *time.Timer // Ends windows; time.AfterFunc, but for tests.
	suppressed func(k K, count int)

	mu     sync.Mutex
	counts map[K]int // Events in the current window of each key.
}

// New returns a limit that calls suppressed, after a window, with the number of its events that
// were not to be logged, if there were any.
func New[K comparable](suppressed func(k K, count int)) *Limit[K] {
	return &Limit[K]{AfterFunc: time.AfterFunc, suppressed: suppressed, counts: make(map[K]int)}
}

// Allow counts an event and reports whether it is to be logged.
func (l *Limit[K]) Allow(k K) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[k] == 0 {
		l.AfterFunc(Window, func() { l.endWindow(k) })
	}
	l.counts[k]++
	return l.counts[k] <= MaxLines
}

// endWindow ends the window of a key.
func (l *Limit[K]) endWindow(k K) {
	l.mu.Lock()
	count := l.counts[k] - MaxLines
	delete(l.counts, k)
	l.mu.Unlock()
	if count > 0 {
		l.suppressed(k, count)
	}
}
