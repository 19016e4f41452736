// Package config stores accepted revisions of the configuration text and holds
// the newest one in each process. Package relay distributes it to all processes.
package config

import (
	"sync"
	"sync/atomic"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Snapshot is one accepted revision of the configuration text. It is immutable.
type Snapshot struct {
	Revision ident.Revision
	EditID   string // Id of the edit that created this revision.
	Raw      []byte // The text as the operator wrote it.
	Digest   string // Hex SHA-256 of Raw.
	Text     *text.Text
	Received time.Time // When this process received it.
}

// Holder holds the newest snapshot of a process. Its revision is the one in force
// in the process and never decreases.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu           sync.Mutex
	earlierTexts []EarlierText // Newest last.
	subscribers  map[int]func(*Snapshot)
	nextID       int
}

// NewHolder returns a holder without a snapshot.
func NewHolder() *Holder {
	return &Holder{subscribers: make(map[int]func(*Snapshot))}
}

// Current returns the newest snapshot, or nil if none was received yet.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Revision returns the newest revision, or 0 if none was received yet.
func (h *Holder) Revision() ident.Revision {
	if s := h.current.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// Update replaces the current snapshot by s if the revision of s is higher, and
// reports whether it did. It calls all subscribers before it returns, and calls
// them in the order of the revisions.
func (h *Holder) Update(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Revision <= h.Revision() {
		return false
	}
	if old := h.current.Load(); old != nil {
		h.earlierTexts = append(h.earlierTexts, EarlierText{old.Revision, old.Raw})
		h.earlierTexts = h.earlierTexts[max(0, len(h.earlierTexts)-maxEarlierTexts):]
	}
	h.current.Store(s)
	for _, f := range h.subscribers {
		f(s)
	}
	return true
}

// EarlierText returns the text of one of the last revisions before the current
// one, if the holder still keeps it.
func (h *Holder) EarlierText(revision ident.Revision) (EarlierText, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.earlierTexts {
		if e.Revision == revision {
			return e, true
		}
	}
	return EarlierText{}, false
}

// Subscribe calls f with the current snapshot, if any, and with each later one.
// f must not call a method of the holder that locks it, such as Update or
// Subscribe. cancel ends the subscription.
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
