// Package keyvalue defines the client interface of the platform's key-value service: its
// calls as function fields, and the types of entries, leases and outcomes.
package keyvalue

import (
	"context"
	"time"
)

//go:generate stringer -type=Outcome -output=outcome_string.go

// Index is a version number that the store gives to a key or to its whole content. It
// grows with each write.
type Index uint64

// LeaseID identifies a lease of the store.
type LeaseID string

// Outcome tells whether a write took effect.
type Outcome int

// The outcomes. The zero value is the one that assumes nothing.
const (
	Unknown    Outcome = iota // The write may have taken effect.
	Written                   // The write took effect.
	Conflict                  // The store refused the write: the key has another index or another lock holder.
	NotWritten                // The write did not reach the store, or the store rejected it without trying.
)

// Entry is one key with its value.
type Entry struct {
	Key         string
	Value       []byte // Base64 in JSON.
	ModifyIndex Index
	Session     LeaseID // The lease that locks the key; empty if it is not locked.
}

// Listing is the result of a read: the entries found, and the index from which Watch can
// continue.
type Listing struct {
	Entries []Entry
	Index   Index
}

// FirstEntry returns the first entry, and false if there is none. It is meant for reads of a
// single key.
func (l Listing) FirstEntry() (Entry, bool) {
	if len(l.Entries) == 0 {
		return Entry{}, false
	}
	return l.Entries[0], true
}

// Lease is a lease as seen by its holder.
type Lease struct {
	ID       LeaseID
	Deadline time.Time // The holder must not rely on the lease from this time on.
	TTL      time.Duration
}

// Client holds the calls of the key-value service. Errors have kind StoreUnavailable or
// CallerGone. The error of a write is nil unless its outcome is Unknown or NotWritten.
type Client struct {
	// Get reads a key. The listing is empty if the key does not exist.
	Get func(ctx context.Context, key string) (Listing, error)
	// List reads all keys that begin with prefix.
	List func(ctx context.Context, prefix string) (Listing, error)
	// Watch waits until the index of key exceeds after, but not longer than wait, and reads
	// the key. If the listing's index is not above after, the key has not changed.
	Watch func(ctx context.Context, key string, after Index, wait time.Duration) (Listing, error)
	// CompareAndSwap writes value if the key's ModifyIndex is index; 0 means that the
	// key must not exist.
	CompareAndSwap func(ctx context.Context, key string, value []byte, index Index) (Outcome, error)
	// Put writes value unconditionally.
	Put func(ctx context.Context, key string, value []byte) (Outcome, error)
	// Delete removes the key if its ModifyIndex is index.
	Delete func(ctx context.Context, key string, index Index) (Outcome, error)
	// CreateLease creates a lease that lapses if it is not renewed within ttl. The keys
	// that it locks are deleted when it lapses.
	CreateLease func(ctx context.Context, name string, ttl time.Duration) (Lease, error)
	// RenewLease returns the lease with a later deadline. Errors have kind NotHolder
	// when the lease has lapsed.
	RenewLease func(ctx context.Context, l Lease) (Lease, error)
	// DestroyLease ends a lease. It is not an error if the lease has already lapsed.
	DestroyLease func(ctx context.Context, id LeaseID) error
	// Acquire writes value and locks the key under a lease, if no other lease locks it.
	Acquire func(ctx context.Context, key string, value []byte, id LeaseID) (Outcome, error)
	// Release writes value and unlocks the key, if the lease locks it.
	Release func(ctx context.Context, key string, value []byte, id LeaseID) (Outcome, error)
	// CallCounts returns the number of calls made, by kind of call.
	CallCounts func() map[string]int64
}
