package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"monsoonfork/core/ident"
)

// Holder keeps the newest catalog of a process.
type Holder struct {
	current atomic.Pointer[Catalog]

	mu      sync.Mutex
	takenAt time.Time
	onTaken []func(*Catalog)
}

// Current returns the newest catalog, or nil before the first.
func (h *Holder) Current() *Catalog { return h.current.Load() }

// Offer takes a catalog if it is newer, and reports whether it was taken.
func (h *Holder) Offer(c *Catalog, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && c.Version <= old.Version {
		return false
	}
	h.current.Store(c)
	h.takenAt = now
	for _, f := range h.onTaken {
		f(c)
	}
	return true
}

// OnTaken calls f for each catalog that is taken from now on. f must not block.
func (h *Holder) OnTaken(f func(*Catalog)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onTaken = append(h.onTaken, f)
}

// TakenAt returns when the newest catalog was taken.
func (h *Holder) TakenAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.takenAt
}

// ModelServices returns the names of the services that run models.
func (h *Holder) ModelServices() []ident.ServiceID {
	c := h.Current()
	if c == nil {
		return nil
	}
	var names []ident.ServiceID
	for _, s := range c.Services {
		if s.Model != nil {
			names = append(names, s.Name)
		}
	}
	return names
}

// Version returns the version of the newest catalog, or 0 before the first.
func (h *Holder) Version() ident.Revision {
	if c := h.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Raw returns the newest catalog as its operator wrote it, or nil.
func (h *Holder) Raw() []byte {
	if c := h.Current(); c != nil {
		return c.Raw
	}
	return nil
}
