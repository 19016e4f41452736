package orders

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/keyvalue"
)

// Grant is the lease for sending orders in the failure domain until a deadline.
type Grant struct {
	Fencing  ident.Epoch
	Acquired time.Time      // Earlier holders sent all their orders before this time.
	Deadline time.Time      // No order is sent at or after this time.
	Revision ident.Revision // Earlier holders may have sent orders for configuration texts up to this revision.
}

// leaseManager acquires, renews and releases the lease for sending orders. maintain and
// release must not be called concurrently.
type leaseManager struct {
	store  leaseStore
	self   ident.InstanceID
	log    log.Logger
	now    func() time.Time
	tuning Tuning

	mu            sync.Mutex
	grant         *Grant // Nil when this instance is not the controller.
	lease         keyvalue.Lease
	renewAt       time.Time
	highestIssued ident.Epoch // Highest fencing number that this process received.
	highestSeen   ident.Epoch // Highest fencing number that an engine has reported.
}

// currentGrant returns the grant, unless there is none or its deadline has passed.
func (m *leaseManager) currentGrant() (Grant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.grant == nil || !beforeOnBothClocks(m.now(), m.grant.Deadline) {
		return Grant{}, false
	}
	return *m.grant, true
}

// checkGrant returns an error of kind NotHolder unless orders with a fencing
// number may be sent now.
func (m *leaseManager) checkGrant(fencing ident.Epoch, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.grant != nil && m.grant.Fencing == fencing && beforeOnBothClocks(now, m.grant.Deadline) {
		return nil
	}
	return fault.New(fault.NotHolder, "the lease for sending orders has expired").WithRan(fault.NotRun)
}

// assertHeld asserts that an order that is sent now is sent before the deadline of
// its lease. The lease may have been renewed since g was read.
func (m *leaseManager) assertHeld(g Grant, now time.Time) {
	deadline := g.Deadline
	m.mu.Lock()
	if m.grant != nil && m.grant.Fencing == g.Fencing {
		deadline = m.grant.Deadline
	}
	m.mu.Unlock()
	invariant.Check(m.log, "OrdersLeaveUnderLease", beforeOnBothClocks(now, deadline),
		"fencing", g.Fencing, "late_ms", now.Sub(deadline).Milliseconds())
}

// beforeOnBothClocks reports whether a is before b by the monotonic clock and by
// the wall clock. The monotonic clock may stop while a machine is suspended.
func beforeOnBothClocks(a, b time.Time) bool {
	return a.Before(b) && a.Round(0).Before(b.Round(0))
}

// recordFencingSeen records a fencing number that an engine has reported. A holder
// with a lower number releases its lease, and the next grant gets a higher number.
func (m *leaseManager) recordFencingSeen(seen ident.Epoch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highestSeen = max(m.highestSeen, seen)
}

// maintain renews the grant, or tries to acquire one if this instance is the
// domain's owner. It releases a grant that has expired, that has a lower fencing
// number than an engine has seen, or whose holder is no longer the owner.
func (m *leaseManager) maintain(ctx context.Context, owner bool) {
	m.mu.Lock()
	g, lease, renewAt, highestSeen := m.grant, m.lease, m.renewAt, m.highestSeen
	m.mu.Unlock()
	switch {
	case g == nil && owner:
		m.tryAcquire(ctx)
	case g == nil:
	case !beforeOnBothClocks(m.now(), g.Deadline):
		m.release(ctx, "the lease has expired")
	case !owner:
		m.release(ctx, "another instance is the owner")
	case g.Fencing < highestSeen:
		m.release(ctx, "an engine has seen a higher fencing number")
	case !m.now().Before(renewAt):
		m.renew(ctx, lease)
	}
}

// renew renews the lease and extends the deadline of the grant.
func (m *leaseManager) renew(ctx context.Context, lease keyvalue.Lease) {
	renewed, err := m.store.renew(ctx, lease)
	if fault.Is(err, fault.NotHolder) {
		m.dropGrant("the store reports that the lease has expired")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.renewAt = m.now().Add(m.tuning.AcquireInterval)
		return
	}
	// The call may have taken longer than the old deadline allowed. The store kept
	// the lease nevertheless, so that no other instance can have acquired it.
	m.lease = renewed
	m.grant.Deadline = renewed.Deadline.Add(-m.tuning.LeaseMargin)
	m.renewAt = m.now().Add(m.tuning.RenewInterval)
}

// tryAcquire tries to acquire the grant. A lease left behind by a failed attempt
// expires by itself, so that errors only lead to another attempt later.
func (m *leaseManager) tryAcquire(ctx context.Context) {
	held, err := m.store.isHeld(ctx)
	if err != nil || held {
		return
	}
	lease, err := m.store.create(ctx, m.tuning.LeaseTTL)
	if err != nil {
		return
	}
	g, err := m.acquireGrant(ctx, lease)
	if err != nil {
		_ = level.Debug(m.log).Log("msg", event.NotController, "err", err)
		_ = m.store.destroy(ctx, lease.ID)
		return
	}
	m.mu.Lock()
	grows := g.Fencing > m.highestIssued
	m.highestIssued = max(m.highestIssued, g.Fencing)
	m.grant, m.lease = g, lease
	m.renewAt = m.now().Add(m.tuning.RenewInterval)
	m.mu.Unlock()
	invariant.Check(m.log, "FencingNumbersGrow", grows, "fencing", g.Fencing)
	_ = level.Info(m.log).Log("msg", event.BecameController, "fencing", g.Fencing)
}

// acquireGrant acquires the domain's lock under a lease and allocates a fencing
// number.
func (m *leaseManager) acquireGrant(ctx context.Context, lease keyvalue.Lease) (*Grant, error) {
	if outcome := m.store.acquire(ctx, lease.ID); outcome != keyvalue.Written {
		return nil, fault.New(fault.NotHolder, "the lock was not acquired: %v", outcome)
	}
	acquired := m.now()
	stored, err := m.store.readFencing(ctx)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	highestSeen := m.highestSeen
	m.mu.Unlock()
	next := storedFencing{
		record:  fencingRecord{Fencing: max(stored.record.Fencing, highestSeen) + 1, Holder: m.self},
		version: stored.version,
	}
	// If the store's response is lost, the number may have been written. No instance
	// uses it then, since the next grant gets a higher one.
	if outcome := m.store.swapFencing(ctx, next); outcome != keyvalue.Written {
		return nil, fault.New(fault.NotHolder, "the fencing number was not written: %v", outcome)
	}
	revision, err := m.store.newestRevision(ctx)
	if err != nil {
		return nil, err
	}
	return &Grant{
		Fencing:  next.record.Fencing,
		Acquired: acquired,
		Deadline: lease.Deadline.Add(-m.tuning.LeaseMargin),
		Revision: revision,
	}, nil
}

// release drops the grant and ends its lease, so that the next controller does not
// have to wait until the lease expires.
func (m *leaseManager) release(ctx context.Context, why string) {
	m.mu.Lock()
	lease, held := m.lease, m.grant != nil
	m.mu.Unlock()
	if !held {
		return
	}
	m.dropGrant(why)
	_ = m.store.destroy(ctx, lease.ID)
}

// dropGrant discards the grant and logs why.
func (m *leaseManager) dropGrant(why string) {
	m.mu.Lock()
	g := m.grant
	m.grant = nil
	m.mu.Unlock()
	if g != nil {
		_ = level.Info(m.log).Log("msg", event.ControllerLost, "fencing", g.Fencing, "why", why)
	}
}
