// Package reporting runs periodic reports in two levels: each member of a failure domain
// reports to one of them, the domain's collector, and the collectors of all domains
// exchange their sums.
package reporting

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/contain"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// Reporter makes the periodic calls of one instance. All fields must be set before Run.
type Reporter struct {
	View         func() *membership.View
	CollectorKey string        // The owner of this key by rendezvous hashing is the collector.
	Interval     time.Duration // Time between two rounds.
	CallTimeout  time.Duration // Timeout of one call.

	// Report sends a report to the collector of this instance's domain, which may be this
	// instance itself.
	Report func(ctx context.Context, collector ident.InstanceID) error
	// Exchange sends the sums of this domain to the collector of another domain.
	Exchange func(ctx context.Context, domain ident.DomainID, collector ident.InstanceID) error
	Log      log.Logger
}

// Run makes a round at each interval until ctx ends, and logs when the collector of the
// own domain becomes unreachable or reachable.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(r.Interval)
	defer ticker.Stop()
	reachable := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		collector, err := r.RunOnce(ctx)
		if reachableNow := err == nil; reachableNow != reachable {
			reachable = reachableNow
			_ = level.Info(r.Log).Log("msg", event.CollectorReachability, "collects", r.CollectorKey, "collector", collector, "heard", reachable, "err", err)
		}
	}
}

// RunOnce makes one round and returns the collector of the own domain. If this instance is
// the collector, it also exchanges with the collectors of the other domains.
func (r *Reporter) RunOnce(ctx context.Context) (ident.InstanceID, error) {
	v := r.View()
	owner, ok := v.Owner(v.Self.Domain, r.CollectorKey)
	if !ok {
		return "", fault.New(fault.PeerUnavailable, "domain %s has no collector, since none of its members is live", v.Self.Domain)
	}
	if owner.ID == v.Self.ID {
		r.exchangeAll(ctx, v)
	}
	callCtx, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	return owner.ID, r.Report(callCtx, owner.ID)
}

// exchangeAll calls Exchange for the collectors of all other domains, in parallel. It panics
// if one of the calls has, after all of them have ended.
func (r *Reporter) exchangeAll(ctx context.Context, v *membership.View) {
	ctx, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var panicked atomic.Pointer[contain.Panic]
	for _, domain := range v.Domains() {
		other, ok := v.Owner(domain, r.CollectorKey)
		if !ok || domain == v.Self.Domain {
			continue
		}
		wg.Go(func() {
			if p := contain.Call(func() { r.exchange(ctx, domain, other.ID) }); p != nil {
				panicked.Store(p)
			}
		})
	}
	wg.Wait()
	if p := panicked.Load(); p != nil {
		panic(p)
	}
}

// exchange calls Exchange for the collector of one domain.
func (r *Reporter) exchange(ctx context.Context, domain ident.DomainID, collector ident.InstanceID) {
	if err := r.Exchange(ctx, domain, collector); err != nil {
		_ = level.Debug(r.Log).Log("msg", event.ExchangeFailed, "collects", r.CollectorKey, "domain", domain, "err", err)
	}
}
