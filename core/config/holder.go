// Package config keeps the newest accepted configuration text in a process
// and brings it from the store, or from other instances, to every process.
package config

import (
	"sync"
	"sync/atomic"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Snapshot is one accepted revision of the text. It is never changed.
type Snapshot struct {
	Revision ident.Revision
	EditID   string // Identifies the edit that made this revision.
	Raw      []byte // The text as the operator wrote it.
	Digest   string // Hex SHA-256 of Raw.
	Text     *text.Text
	Received time.Time // When this process took it.
}

// Holder holds the newest snapshot of a process. Its revision only grows.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex
	earlier     []Earlier // Newest last.
	subscribers map[int]func(*Snapshot)
	nextID      int
}

// NewHolder returns a holder without a snapshot.
func NewHolder() *Holder {
	return &Holder{subscribers: make(map[int]func(*Snapshot))}
}

// Current returns the newest snapshot, or nil before the first one.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Revision returns the newest revision, or 0 before the first one.
func (h *Holder) Revision() ident.Revision {
	if s := h.current.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// Offer takes s if its revision is higher than the current one, and reports
// whether it did. Subscribers are called, in order, before it returns.
func (h *Holder) Offer(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Revision <= h.Revision() {
		return false
	}
	if old := h.current.Load(); old != nil {
		h.earlier = append(h.earlier, Earlier{old.Revision, old.Raw})
		h.earlier = h.earlier[max(0, len(h.earlier)-keptEarlier):]
	}
	h.current.Store(s)
	for _, f := range h.subscribers {
		f(s)
	}
	return true
}

// Earlier returns the text of one of the last revisions that were in force.
func (h *Holder) Earlier(revision ident.Revision) (Earlier, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.earlier {
		if e.Revision == revision {
			return e, true
		}
	}
	return Earlier{}, false
}

// Subscribe calls f with the current snapshot, if any, and with each later
// one. f must not call the holder's Offer or Subscribe. The returned function
// ends the subscription.
func (h *Holder) Subscribe(f func(*Snapshot)) (cancel func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := h.nextID
	h.nextID++
	h.subscribers[id] = f
	if s := h.current.Load(); s != nil {
		f(s)
	}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.subscribers, id)
	}
}
