// Package collect has the members of a failure domain tell one of them, the
// collector, what they know, and the collectors of domains tell each other.
package collect

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// Rounds is the calls of one instance. All fields are set before Run.
type Rounds struct {
	View     func() *membership.View
	Key      string        // The owner of the key, by rendezvous hashing, collects.
	Every    time.Duration // Time between two rounds.
	CallTime time.Duration // Bounds one call.

	// Report tells the collector of the own domain, which may be this instance.
	Report func(ctx context.Context, collector ident.InstanceID) error
	// Exchange tells the collector of another domain.
	Exchange func(ctx context.Context, domain ident.DomainID, collector ident.InstanceID) error
	Log      log.Logger
}

// Run makes rounds until ctx ends.
func (r *Rounds) Run(ctx context.Context) {
	ticker := time.NewTicker(r.Every)
	defer ticker.Stop()
	heard := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		collector, err := r.Once(ctx)
		if now := err == nil; now != heard {
			heard = now
			_ = level.Info(r.Log).Log("msg", event.Collector, "collects", r.Key, "collector", collector, "heard", heard, "err", err)
		}
	}
}

// Once makes one round and returns the collector of the own domain.
func (r *Rounds) Once(ctx context.Context) (ident.InstanceID, error) {
	v := r.View()
	owner, ok := v.Owner(v.Self.Domain, r.Key)
	if !ok {
		return "", fault.New(fault.PeerUnavailable, "no member collects for domain %s", v.Self.Domain)
	}
	if owner.ID == v.Self.ID {
		r.exchangeAll(ctx, v)
	}
	callCtx, cancel := context.WithTimeout(ctx, r.CallTime)
	defer cancel()
	return owner.ID, r.Report(callCtx, owner.ID)
}

// exchangeAll tells the collectors of the other domains.
func (r *Rounds) exchangeAll(ctx context.Context, v *membership.View) {
	ctx, cancel := context.WithTimeout(ctx, r.CallTime)
	defer cancel()
	var wg sync.WaitGroup
	for _, domain := range v.Domains() {
		other, ok := v.Owner(domain, r.Key)
		if !ok || domain == v.Self.Domain {
			continue
		}
		wg.Go(func() {
			if err := r.Exchange(ctx, domain, other.ID); err != nil {
				_ = level.Debug(r.Log).Log("msg", event.NoExchange, "collects", r.Key, "domain", domain, "err", err)
			}
		})
	}
	wg.Wait()
}
