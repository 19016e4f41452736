// Package presence registers the instances of each failure domain in the platform's store
// and counts the registered instances.
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

// ErrLeaseExpired is returned for a lease that has expired.
var ErrLeaseExpired = errors.New("the lease has expired")

// Registration is the entry of a domain in the register.
type Registration struct {
	Domain      ident.DomainID
	Members     int              // Number of live instances of the domain.
	Instance    ident.InstanceID // Instance that wrote the entry.
	PeerAddress ident.Address    // Address of that instance for its peers.
}

// Lease is a lease of the store.
type Lease struct {
	ID  int64
	Era int64         // Era of the store that granted it: a later era may grant the same ID to another instance.
	TTL time.Duration // Time to live that the store granted; it may differ from the one requested.
}

// Store is the interface to the platform's store.
type Store struct {
	CreateLease func(ctx context.Context, ttl time.Duration) (Lease, error)
	Renew       func(ctx context.Context, l Lease) error // Returns ErrLeaseExpired if the lease has expired or is lost.
	Put         func(ctx context.Context, domain ident.DomainID, value []byte, l Lease) error
	// Lost returns a channel that is closed once the store is known to have come back from a copy
	// older than the lease. May be nil.
	Lost func(l Lease) <-chan struct{}
}

const (
	// leaseTTL bounds how long a domain is listed after all of its instances have ended.
	leaseTTL = 15 * time.Second
	// renewInterval is the time between renewals.
	renewInterval = 5 * time.Second
	// renewalsPerLease is how often a lease is renewed in its time to live at least, so that
	// one lost renewal doesn't end it.
	renewalsPerLease = 3
	// checkInterval is the time between two checks of the members, and the pause after a
	// failure.
	checkInterval = time.Second
	// decreaseDelay is how long the number of members must be lower before the lower
	// number is written: members that restart are back before.
	decreaseDelay = 20 * time.Second
)

// Registrar registers a domain while its instance is the first of the domain. All exported
// fields are set before Run.
type Registrar struct {
	Store        Store
	Registration Registration // Entry to write; Members is filled in.
	Members      func() int   // Returns the number of live members of the domain.
	IsFirst      func() bool  // Whether this instance is the one that registers the domain.
	Now          func() time.Time
	Log          log.Logger

	lease          Lease     // Lease of the entry; its ID is 0 if there is none.
	renewAt        time.Time // When the lease is to be renewed.
	writtenMembers int       // Number of members in the entry.
	decreasedSince time.Time // Since when there are fewer members than in the entry; zero if there are not.
}

// Run registers the domain until ctx ends. It doesn't remove the entry, which the next
// first instance of the domain replaces.
func (k *Registrar) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-k.lost():
		}
		if err := k.update(ctx); err != nil {
			_ = level.Debug(k.Log).Log("msg", event.RegistrationFailed, "err", err)
		}
	}
}

// lost returns a channel that is closed once the store has lost the lease and the entry. It is nil
// if there is no lease.
func (k *Registrar) lost() <-chan struct{} {
	if k.lease.ID == 0 || k.Store.Lost == nil {
		return nil
	}
	return k.Store.Lost(k.lease)
}

// isLost reports whether the store has lost the lease and the entry.
func (k *Registrar) isLost() bool {
	select {
	case <-k.lost():
		return true
	default:
		return false
	}
}

// update writes the entry if it has changed or is lost, or else renews the lease when that is due.
func (k *Registrar) update(ctx context.Context) error {
	if !k.IsFirst() || k.isLost() {
		k.lease = Lease{}
	}
	if !k.IsFirst() {
		return nil
	}
	now := k.Now()
	switch n := k.membersToWrite(now); {
	case k.lease.ID == 0:
		lease, err := k.Store.CreateLease(ctx, leaseTTL)
		if err != nil {
			return err
		}
		return k.put(ctx, n, lease)
	case n != k.writtenMembers:
		return k.put(ctx, n, k.lease)
	case now.Before(k.renewAt):
		return nil
	}
	err := k.Store.Renew(ctx, k.lease)
	if errors.Is(err, ErrLeaseExpired) {
		k.lease = Lease{}
	}
	if err == nil {
		k.renewAt = now.Add(k.lease.renewInterval())
	}
	return err
}

// renewInterval returns the time between two renewals of the lease.
func (l Lease) renewInterval() time.Duration { return min(renewInterval, l.TTL/renewalsPerLease) }

// membersToWrite returns the number of members that the entry should have now.
func (k *Registrar) membersToWrite(now time.Time) int {
	n := k.Members()
	if k.lease.ID == 0 || n >= k.writtenMembers {
		k.decreasedSince = time.Time{}
		return n
	}
	if k.decreasedSince.IsZero() {
		k.decreasedSince = now
	}
	if now.Sub(k.decreasedSince) < decreaseDelay {
		return k.writtenMembers
	}
	return n
}

// put writes the entry under a lease.
func (k *Registrar) put(ctx context.Context, members int, lease Lease) error {
	r := k.Registration
	r.Members = members
	value, err := json.Marshal(r)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot encode the register entry")
	}
	// If the write fails, it is unknown whether the entry was written; the next update
	// takes a new lease.
	k.lease = Lease{}
	if err := k.Store.Put(ctx, r.Domain, value, lease); err != nil {
		return err
	}
	k.lease, k.writtenMembers, k.renewAt = lease, members, k.Now().Add(lease.renewInterval())
	return nil
}
