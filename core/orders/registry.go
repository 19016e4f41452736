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

// numberRecord is the value that outlives each lease: the newest fencing number
// of the domain and who was given it.
type numberRecord struct {
	Fencing ident.Epoch
	Holder  ident.InstanceID
}

// storedNumber is a record with its version in the store.
type storedNumber struct {
	record  numberRecord
	version keyvalue.Index // 0 when the record does not exist.
}

// registry is what a controller needs of the store. Its fields are seams.
type registry struct {
	create   func(ctx context.Context, ttl time.Duration) (keyvalue.Lease, error)
	renew    func(ctx context.Context, l keyvalue.Lease) (keyvalue.Lease, error)
	destroy  func(ctx context.Context, id keyvalue.LeaseID) error
	held     func(ctx context.Context) (bool, error)                         // Whether any lease holds the domain.
	acquire  func(ctx context.Context, id keyvalue.LeaseID) keyvalue.Outcome // Locks the domain under a lease.
	number   func(ctx context.Context) (storedNumber, error)                 // Newest fencing number.
	swap     func(ctx context.Context, next storedNumber) keyvalue.Outcome   // Writes record if version still holds.
	revision func(ctx context.Context) (newest ident.Revision, failed error) // Newest accepted revision of the text.
}

// registryOf returns the registry of a domain in the platform's store.
func registryOf(c *keyvalue.Client, domain ident.DomainID, self ident.InstanceID) registry {
	prefix := "monsoonfork/orders/" + string(domain) + "/"
	lockKey, numberKey := prefix+"holder", prefix+"number"
	return registry{
		create: func(ctx context.Context, ttl time.Duration) (keyvalue.Lease, error) {
			return c.CreateLease(ctx, "orders/"+string(domain), ttl)
		},
		renew:   c.RenewLease,
		destroy: c.DestroyLease,
		held: func(ctx context.Context) (bool, error) {
			listing, err := c.Get(ctx, lockKey)
			entry, found := listing.FirstEntry()
			return found && entry.Session != "", err
		},
		acquire: func(ctx context.Context, id keyvalue.LeaseID) keyvalue.Outcome {
			outcome, _ := c.Acquire(ctx, lockKey, []byte(self), id)
			return outcome
		},
		number: func(ctx context.Context) (storedNumber, error) { return readNumber(ctx, c, numberKey) },
		swap: func(ctx context.Context, next storedNumber) keyvalue.Outcome {
			raw, err := json.Marshal(next.record)
			if err != nil {
				return keyvalue.NotWritten
			}
			outcome, _ := c.CompareAndSwap(ctx, numberKey, raw, next.version)
			return outcome
		},
		revision: func(ctx context.Context) (ident.Revision, error) {
			head, err := config.ReadHead(ctx, c)
			return head.Head.Revision, err
		},
	}
}

// readNumber reads and checks the record of the newest fencing number.
func readNumber(ctx context.Context, c *keyvalue.Client, key string) (storedNumber, error) {
	listing, err := c.Get(ctx, key)
	if err != nil {
		return storedNumber{}, err
	}
	entry, found := listing.FirstEntry()
	if !found {
		return storedNumber{}, nil
	}
	n := storedNumber{version: entry.ModifyIndex}
	if err := json.Unmarshal(entry.Value, &n.record); err != nil {
		return storedNumber{}, fault.Wrap(err, fault.StoreUnavailable, "the fencing number in the store is malformed")
	}
	if n.record.Fencing < 1 {
		return storedNumber{}, fault.New(fault.StoreUnavailable, "the fencing number in the store is %d", n.record.Fencing)
	}
	return n, nil
}
