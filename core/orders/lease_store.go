package orders

import (
	"context"
	"encoding/json"
	"time"

	"monsoonfork/core/config"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
)

// fencingRecord is the newest fencing number of the domain and the instance that
// received it. It stays in the store when a lease ends.
type fencingRecord struct {
	Fencing ident.Epoch
	Holder  ident.InstanceID
}

// storedFencing is a record with its version in the store.
type storedFencing struct {
	record  fencingRecord
	version keyvalue.Index // 0 when the record does not exist.
}

// leaseStore is the set of key-value store calls that a controller needs. Tests
// replace its fields.
type leaseStore struct {
	create         func(ctx context.Context, ttl time.Duration) (keyvalue.Lease, error)
	renew          func(ctx context.Context, l keyvalue.Lease) (keyvalue.Lease, error)
	destroy        func(ctx context.Context, id keyvalue.LeaseID) error
	isHeld         func(ctx context.Context) (bool, error)                         // Reports whether any lease holds the domain's lock.
	acquire        func(ctx context.Context, id keyvalue.LeaseID) keyvalue.Outcome // Acquires the domain's lock under a lease.
	readFencing    func(ctx context.Context) (storedFencing, error)                // Reads the newest fencing number.
	swapFencing    func(ctx context.Context, next storedFencing) keyvalue.Outcome  // Writes the record if the stored version is still next.version.
	newestRevision func(ctx context.Context) (newest ident.Revision, failed error) // Reads the newest accepted revision of the configuration text.
}

// newLeaseStore returns the calls for a domain on the platform's key-value store.
func newLeaseStore(c *keyvalue.Client, domain ident.DomainID, self ident.InstanceID) leaseStore {
	prefix := "monsoonfork/orders/" + string(domain) + "/"
	lockKey, fencingKey := prefix+"holder", prefix+"number"
	return leaseStore{
		create: func(ctx context.Context, ttl time.Duration) (keyvalue.Lease, error) {
			return c.CreateLease(ctx, "orders/"+string(domain), ttl)
		},
		renew:   c.RenewLease,
		destroy: c.DestroyLease,
		isHeld: func(ctx context.Context) (bool, error) {
			listing, err := c.Get(ctx, lockKey)
			entry, found := listing.FirstEntry()
			return found && entry.Session != "", err
		},
		acquire: func(ctx context.Context, id keyvalue.LeaseID) keyvalue.Outcome {
			outcome, _ := c.Acquire(ctx, lockKey, []byte(self), id)
			return outcome
		},
		readFencing: func(ctx context.Context) (storedFencing, error) { return readFencingRecord(ctx, c, fencingKey) },
		swapFencing: func(ctx context.Context, next storedFencing) keyvalue.Outcome {
			raw, err := json.Marshal(next.record)
			if err != nil {
				return keyvalue.NotWritten
			}
			outcome, _ := c.CompareAndSwap(ctx, fencingKey, raw, next.version)
			return outcome
		},
		newestRevision: func(ctx context.Context) (ident.Revision, error) {
			head, err := config.ReadHead(ctx, c)
			return head.Head.Revision, err
		},
	}
}

// readFencingRecord reads and validates the record of the newest fencing number.
func readFencingRecord(ctx context.Context, c *keyvalue.Client, key string) (storedFencing, error) {
	listing, err := c.Get(ctx, key)
	if err != nil {
		return storedFencing{}, err
	}
	entry, found := listing.FirstEntry()
	if !found {
		return storedFencing{}, nil
	}
	n := storedFencing{version: entry.ModifyIndex}
	if err := json.Unmarshal(entry.Value, &n.record); err != nil {
		return storedFencing{}, fault.Wrap(err, fault.StoreUnavailable, "the fencing number in the store is malformed")
	}
	if n.record.Fencing < 1 {
		return storedFencing{}, fault.New(fault.StoreUnavailable, "the fencing number in the store is %d", n.record.Fencing)
	}
	return n, nil
}
