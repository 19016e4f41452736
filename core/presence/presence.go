// Package presence registers the failure domains' instances at the platform and knows
// how many there are.
package presence

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// ErrLapsed says that a lease has ended.
var ErrLapsed = errors.New("the lease has ended")

// Record is what one instance registers of its domain.
type Record struct {
	Domain      ident.DomainID
	Members     int              // Instances of the domain that live.
	Instance    ident.InstanceID // Who registers.
	PeerAddress ident.Address    // Of that instance.
}

// Store is the seam to the platform's store.
type Store struct {
	Lease func(ctx context.Context, ttl time.Duration) (id int64, err error)
	Renew func(ctx context.Context, id int64) error // ErrLapsed if it has ended.
	Put   func(ctx context.Context, domain ident.DomainID, value []byte, lease int64) error
}

const (
	// leaseTTL bounds how long a domain is listed after all of it has ended.
	leaseTTL = 15 * time.Second
	// renewEvery is the time between renewals.
	renewEvery = 5 * time.Second
	// lookEvery is the time between two looks at the members, and the pause after a
	// failure.
	lookEvery = time.Second
	// lowerAfter is how long there have to be fewer members until that is written:
	// those that are restarted are back before.
	lowerAfter = 20 * time.Second
)

// Keeper registers a domain while its instance is the first of it. All fields but the
// last are set before Run.
type Keeper struct {
	Store   Store
	Record  Record // But for Members.
	Members func() int
	IsFirst func() bool // Whether this instance registers.
	Now     func() time.Time
	Log     log.Logger

	lease      int64 // 0: none.
	renewAt    time.Time
	registered int // Members that were written.
	lowerSince time.Time
}

// Run registers until ctx ends. The entry is left to the next first one.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := k.look(ctx); err != nil {
			_ = level.Debug(k.Log).Log("msg", event.Registration, "err", err)
		}
	}
}

// look writes what has changed, or renews the lease.
func (k *Keeper) look(ctx context.Context) error {
	if !k.IsFirst() {
		k.lease = 0
		return nil
	}
	now := k.Now()
	switch n := k.wanted(now); {
	case k.lease == 0:
		lease, err := k.Store.Lease(ctx, leaseTTL)
		if err != nil {
			return err
		}
		return k.put(ctx, n, lease)
	case n != k.registered:
		return k.put(ctx, n, k.lease)
	case now.Before(k.renewAt):
		return nil
	}
	err := k.Store.Renew(ctx, k.lease)
	if errors.Is(err, ErrLapsed) {
		k.lease = 0
	}
	if err == nil {
		k.renewAt = now.Add(renewEvery)
	}
	return err
}

// wanted returns the members to be written.
func (k *Keeper) wanted(now time.Time) int {
	n := k.Members()
	if k.lease == 0 || n >= k.registered {
		k.lowerSince = time.Time{}
		return n
	}
	if k.lowerSince.IsZero() {
		k.lowerSince = now
	}
	if now.Sub(k.lowerSince) < lowerAfter {
		return k.registered
	}
	return n
}

// put writes the entry under a lease.
func (k *Keeper) put(ctx context.Context, members int, lease int64) error {
	r := k.Record
	r.Members = members
	value, err := json.Marshal(r)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot encode the record")
	}
	// After a write without an answer a new lease is taken.
	k.lease = 0
	if err := k.Store.Put(ctx, r.Domain, value, lease); err != nil {
		return err
	}
	k.lease, k.registered, k.renewAt = lease, members, k.Now().Add(renewEvery)
	return nil
}
