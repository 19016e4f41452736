package membudget

import (
	"sync/atomic"
	"time"
)

// Holder counts the bytes held for one connection, message or queue. It is safe for
// concurrent use.
type Holder struct {
	budget   *Budget
	end      func() // Ends the holder's work and closes the holder; nil if it can't be ended.
	held     atomic.Int64
	progress atomic.Pointer[time.Time] // When the holder last made progress.
	closed   atomic.Bool
}

// HolderOption configures a Holder.
type HolderOption func(*Holder)

// WithEnd sets a function by which EndStalled ends the holder. It must release the memory and
// close the holder before it returns. EndStalled may call it more than once.
func WithEnd(end func()) HolderOption { return func(h *Holder) { h.end = end } }

// Open returns a holder without bytes. Close closes it.
func (b *Budget) Open(now time.Time, opts ...HolderOption) *Holder {
	h := &Holder{budget: b}
	for _, opt := range opts {
		opt(h)
	}
	h.RecordProgress(now)
	if h.end != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.endable[h] = struct{}{}
	}
	return h
}

// Held returns the bytes that the holder holds.
func (h *Holder) Held() Bytes { return Bytes(h.held.Load()) }

// Reserve counts n bytes more. It returns false, and counts nothing, if the sum of the budget
// would exceed its limit or the holder is closed.
func (h *Holder) Reserve(n Bytes) bool {
	if !h.budget.reserve(n) {
		return false
	}
	return h.count(n)
}

// Add counts n bytes more, also above the limit. It returns false, and counts nothing, if the
// holder is closed.
func (h *Holder) Add(n Bytes) bool {
	h.budget.add(n)
	return h.count(n)
}

// count counts n bytes that the budget has counted, and takes them back if the holder is
// closed.
func (h *Holder) count(n Bytes) bool {
	h.held.Add(int64(n))
	if h.closed.Load() {
		h.releaseAll()
		return false
	}
	return true
}

// Release takes n bytes back.
func (h *Holder) Release(n Bytes) {
	if h.closed.Load() {
		return
	}
	h.held.Add(-int64(n))
	h.budget.add(-n)
	if h.closed.Load() { // Close may have released them too.
		h.releaseAll()
	}
}

// RecordProgress records that the holder has made progress, as by bytes that its peer has read.
func (h *Holder) RecordProgress(now time.Time) { h.progress.Store(&now) }

// LastProgress returns when the holder last made progress.
func (h *Holder) LastProgress() time.Time { return *h.progress.Load() }

// Close takes all bytes of the holder back.
func (h *Holder) Close() {
	h.closed.Store(true)
	h.releaseAll()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.endable, h)
}

// releaseAll takes back what the holder holds; a negative number adds to the sum.
func (h *Holder) releaseAll() { h.budget.add(-Bytes(h.held.Swap(0))) }
