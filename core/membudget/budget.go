// Package membudget limits the memory in which an instance holds bytes for others: unsent
// answers, requests being read, messages waiting to be sent. One Budget counts the bytes of
// all its holders.
package membudget

import (
	"sync"
	"sync/atomic"
	"time"
)

// Bytes is a number of bytes.
type Bytes int64

const (
	bytesPerMB = 1_000_000
	// memoryShare is the share of an instance's memory that a budget may use. The rest is for
	// the program, garbage that is not collected yet, and buffers in use.
	memoryShare = 0.25
	// defaultLimit is the limit without a known size of the instance's memory.
	defaultLimit Bytes = 128 << 20
	// scarceShare is the share of the limit above which bytes are scarce.
	scarceShare = 0.75
)

// LimitFor returns the limit of the budget of an instance with the given memory; 0 is an
// unknown size.
func LimitFor(memoryMB float64) Bytes {
	if memoryMB <= 0 {
		return defaultLimit
	}
	return Bytes(memoryShare * memoryMB * bytesPerMB)
}

// Budget counts the bytes that its holders hold and limits their sum. It is safe for
// concurrent use.
type Budget struct {
	limit Bytes
	held  atomic.Int64

	mu        sync.Mutex
	endable   map[*Holder]struct{} // Open holders with an end function.
	checkedAt time.Time            // Time of the last call of EndStalled.
}

// New returns a budget with a limit.
func New(limit Bytes) *Budget {
	return &Budget{limit: limit, endable: make(map[*Holder]struct{})}
}

// Limit returns the limit of the sum.
func (b *Budget) Limit() Bytes { return b.limit }

// Held returns the sum of the bytes held.
func (b *Budget) Held() Bytes { return Bytes(b.held.Load()) }

// IsScarce reports whether so much of the limit is used that holders should not grow.
func (b *Budget) IsScarce() bool { return float64(b.Held()) > scarceShare*float64(b.limit) }

// add adds n to the sum.
func (b *Budget) add(n Bytes) { b.held.Add(int64(n)) }

// reserve adds n to the sum, unless the sum would exceed the limit.
func (b *Budget) reserve(n Bytes) bool {
	if Bytes(b.held.Add(int64(n))) <= b.limit {
		return true
	}
	b.held.Add(-int64(n))
	return false
}
