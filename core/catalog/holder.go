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

	mu        sync.Mutex
	updatedAt time.Time
	onUpdate  []func(*Catalog)
}

// Current returns the newest catalog, or nil if there is none yet.
func (h *Holder) Current() *Catalog { return h.current.Load() }

// Update replaces the current catalog by a newer one, and reports whether it did.
func (h *Holder) Update(c *Catalog, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && c.Version <= old.Version {
		return false
	}
	h.current.Store(c)
	h.updatedAt = now
	for _, f := range h.onUpdate {
		f(c)
	}
	return true
}

// OnUpdate registers f to be called with each catalog that becomes current. f must not
// block.
func (h *Holder) OnUpdate(f func(*Catalog)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onUpdate = append(h.onUpdate, f)
}

// UpdatedAt returns when the newest catalog became current.
func (h *Holder) UpdatedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.updatedAt
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

// ColdTime returns for how long an engine of a service is cold after its start, according to the
// newest catalog.
func (h *Holder) ColdTime(name ident.ServiceID) time.Duration {
	if s := h.Service(name); s != nil {
		return s.ColdTime
	}
	return 0
}

// Service returns a service of the newest catalog, or nil.
func (h *Holder) Service(name ident.ServiceID) *Service {
	c := h.Current()
	if c == nil {
		return nil
	}
	s, _ := c.Service(name)
	return s
}

// maxStageChangeTime bounds what a configuration may state as the time of a stage change.
const maxStageChangeTime = time.Hour

// StageChangeTime returns the longest time that a change of an engine's stage takes in a
// service of the newest catalog, or 0 if it is not known.
func (h *Holder) StageChangeTime() time.Duration {
	c := h.Current()
	if c == nil {
		return 0
	}
	longest := 0.0
	for _, s := range c.Services {
		if s.Model != nil {
			longest = max(longest, s.Model.StageChangeSeconds)
		}
	}
	return time.Duration(min(longest, maxStageChangeTime.Seconds()) * float64(time.Second))
}

// Version returns the version of the newest catalog, or 0 if there is none yet.
func (h *Holder) Version() ident.Revision {
	if c := h.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Raw returns the text of the newest catalog as the operator wrote it, or nil.
func (h *Holder) Raw() []byte {
	if c := h.Current(); c != nil {
		return c.Raw
	}
	return nil
}
