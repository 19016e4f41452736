// Package keyvalue is what roles need of the platform's key-value service.
package keyvalue

import (
	"context"
	"time"
)

//go:generate stringer -type=Outcome -output=outcome_string.go

// Index is the version of a key or of the store, as the store counts it.
type Index uint64

// LeaseID names a lease.
type LeaseID string

// Outcome says what is known about a write.
type Outcome int

// The outcomes. The zero value claims nothing.
const (
	Unknown    Outcome = iota // The write may have taken effect.
	Written                   // The write took effect.
	Conflict                  // The store refused it: the index or the lock is another.
	NotWritten                // It did not reach the store, or the store refused to try.
)

// Entry is one key with its value.
type Entry struct {
	Key         string
	Value       []byte // Base64 in JSON.
	CreateIndex Index
	ModifyIndex Index
	Session     LeaseID // The lease that holds the key as a lock, if any.
}

// Listing is the answer to a read: the entries found, and the index to watch
// from.
type Listing struct {
	Entries []Entry
	Index   Index
}

// First returns the only entry of a listing of one key.
func (l Listing) First() (Entry, bool) {
	if len(l.Entries) == 0 {
		return Entry{}, false
	}
	return l.Entries[0], true
}

// Lease is a lease as its holder knows it.
type Lease struct {
	ID       LeaseID
	Deadline time.Time // The holder must not rely on the lease from this time on.
	TTL      time.Duration
}

// Client is the calls. Errors have kind StoreUnavailable or CallerGone; those of
// writes say why the outcome is Unknown or NotWritten, and are nil otherwise.
type Client struct {
	// Get reads a key; one that does not exist gives an empty listing.
	Get func(ctx context.Context, key string) (Listing, error)
	// List reads all keys that begin with prefix.
	List func(ctx context.Context, prefix string) (Listing, error)
	// Watch waits until the index of key passes after, at most for wait, and reads
	// it. An answer with an index not above after says that nothing changed.
	Watch func(ctx context.Context, key string, after Index, wait time.Duration) (Listing, error)
	// CompareAndSwap writes value if the key's ModifyIndex is index; 0 means that the
	// key must not exist.
	CompareAndSwap func(ctx context.Context, key string, value []byte, index Index) (Outcome, error)
	// Put writes value whatever the key held before.
	Put func(ctx context.Context, key string, value []byte) (Outcome, error)
	// Delete removes the key if its ModifyIndex is index.
	Delete func(ctx context.Context, key string, index Index) (Outcome, error)
	// CreateLease makes a lease that lapses when it is not renewed within ttl. Keys
	// that it holds are deleted when it lapses.
	CreateLease func(ctx context.Context, name string, ttl time.Duration) (Lease, error)
	// RenewLease returns the lease with a later deadline. Errors have kind NotHolder
	// when the lease has lapsed.
	RenewLease func(ctx context.Context, l Lease) (Lease, error)
	// DestroyLease ends a lease. A lease that has lapsed already is no error.
	DestroyLease func(ctx context.Context, id LeaseID) error
	// Acquire writes value and locks the key under a lease, if no other holds it.
	Acquire func(ctx context.Context, key string, value []byte, id LeaseID) (Outcome, error)
	// Release writes value and unlocks the key, if the lease holds it.
	Release func(ctx context.Context, key string, value []byte, id LeaseID) (Outcome, error)
	// CallCounts returns how many calls of each kind were made.
	CallCounts func() map[string]int64
}
