// Package presence registers this instance at the platform and knows which others
// are registered.
package presence

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// ErrLapsed says that a lease has ended.
var ErrLapsed = errors.New("the lease has ended")

// Record is what an instance registers.
type Record struct {
	Name        string // Of the machine; a restart keeps it.
	Instance    ident.InstanceID
	Domain      ident.DomainID
	PeerAddress ident.Address
}

// Store is the seam to the platform's store.
type Store struct {
	Lease func(ctx context.Context, ttl time.Duration) (id int64, err error)
	Renew func(ctx context.Context, id int64) error // ErrLapsed if it has ended.
	Put   func(ctx context.Context, name string, value []byte, lease int64) error
	End   func(ctx context.Context, id int64) error
}

const (
	// leaseTTL bounds how long an ended instance is listed.
	leaseTTL = 15 * time.Second
	// renewEvery is the time between renewals.
	renewEvery = 5 * time.Second
	// registerAgain is the pause after a failure.
	registerAgain = time.Second
)

// Keep registers the instance until ctx ends, and takes the entry away then.
func Keep(ctx context.Context, s Store, r Record, logger log.Logger) {
	value, err := json.Marshal(r)
	if err != nil {
		_ = level.Error(logger).Log("msg", "not registered", "err", fault.Wrap(err, fault.Internal, "cannot encode the record"))
		return
	}
	lease := int64(0)
	for ctx.Err() == nil {
		pause := renewEvery
		if err := keepOnce(ctx, s, r.Name, value, &lease); err != nil {
			_ = level.Debug(logger).Log("msg", "registration", "err", err)
			pause = registerAgain
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	if lease != 0 {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), registerAgain)
		defer cancel()
		// An entry that is not taken away lapses.
		_ = s.End(end, lease)
	}
}

// keepOnce renews the lease, or registers anew.
func keepOnce(ctx context.Context, s Store, name string, value []byte, lease *int64) error {
	if *lease != 0 {
		err := s.Renew(ctx, *lease)
		if !errors.Is(err, ErrLapsed) {
			return err
		}
		*lease = 0
	}
	id, err := s.Lease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	if err := s.Put(ctx, name, value, id); err != nil {
		return err
	}
	*lease = id
	return nil
}
