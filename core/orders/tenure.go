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

// Grant is the right to give orders in the domain until a deadline.
type Grant struct {
	Fencing  ident.Epoch
	Acquired time.Time      // Orders of earlier holders left before this time.
	Deadline time.Time      // No order leaves from this time on.
	Revision ident.Revision // Earlier holders may have ordered what texts up to this revision say.
}

// tenure takes, renews and gives up the right to give orders. Only one
// goroutine calls its methods that change it.
type tenure struct {
	registry registry
	self     ident.InstanceID
	log      log.Logger
	now      func() time.Time
	tuning   Tuning

	mu      sync.Mutex
	grant   *Grant // Nil when this instance is not the controller.
	lease   keyvalue.Lease
	renewAt time.Time
	last    ident.Epoch // Highest fencing number that this process was given.
	floor   ident.Epoch // Highest fencing number that an engine has reported.
}

// current returns the grant while its deadline has not passed.
func (t *tenure) current() (Grant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.grant == nil || !earlier(t.now(), t.grant.Deadline) {
		return Grant{}, false
	}
	return *t.grant, true
}

// check returns an error of kind NotHolder unless orders with a fencing number
// may leave now.
func (t *tenure) check(fencing ident.Epoch, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.grant != nil && t.grant.Fencing == fencing && earlier(now, t.grant.Deadline) {
		return nil
	}
	return fault.New(fault.NotHolder, "the right to give orders has lapsed").WithRan(fault.NotRun)
}

// assertHeld asserts that an order that leaves now does so before the deadline
// of its lease, which may have moved since the grant was looked up.
func (t *tenure) assertHeld(g Grant, now time.Time) {
	deadline := g.Deadline
	t.mu.Lock()
	if t.grant != nil && t.grant.Fencing == g.Fencing {
		deadline = t.grant.Deadline
	}
	t.mu.Unlock()
	invariant.Check(t.log, "OrdersLeaveUnderLease", earlier(now, deadline),
		"fencing", g.Fencing, "late_ms", now.Sub(deadline).Milliseconds())
}

// earlier reports whether a is before b by the monotonic clock and by the wall
// clock. The first may stand still while a machine is suspended.
func earlier(a, b time.Time) bool {
	return a.Before(b) && a.Round(0).Before(b.Round(0))
}

// outranked records a fencing number that an engine has seen. A holder with a
// lower one gives up; the next grant gets a higher one.
func (t *tenure) outranked(seen ident.Epoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.floor = max(t.floor, seen)
}

// keep renews the grant of the domain's owner, or tries to get it, and gives it
// up when this instance is no longer the owner.
func (t *tenure) keep(ctx context.Context, owner bool) {
	t.mu.Lock()
	g, lease, renewAt, floor := t.grant, t.lease, t.renewAt, t.floor
	t.mu.Unlock()
	switch {
	case g == nil && owner:
		t.take(ctx)
	case g == nil:
	case !earlier(t.now(), g.Deadline):
		t.release(ctx, "the lease has lapsed")
	case !owner:
		t.release(ctx, "another instance is the owner")
	case g.Fencing < floor:
		t.release(ctx, "an engine has seen a higher fencing number")
	case !t.now().Before(renewAt):
		t.renew(ctx, lease)
	}
}

// renew moves the deadline of the grant.
func (t *tenure) renew(ctx context.Context, lease keyvalue.Lease) {
	renewed, err := t.registry.renew(ctx, lease)
	if fault.Is(err, fault.NotHolder) {
		t.drop("the store says that the lease has lapsed")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.renewAt = t.now().Add(t.tuning.TakeEvery)
		return
	}
	// The call may have outlasted the old deadline. The store has kept the lease
	// all the same, so that nobody else was given the domain.
	t.lease = renewed
	t.grant.Deadline = renewed.Deadline.Add(-t.tuning.LeaseMargin)
	t.renewAt = t.now().Add(t.tuning.RenewEvery)
}

// take tries to get the grant. What it leaves behind when it fails lapses by
// itself, so that errors only mean another try later.
func (t *tenure) take(ctx context.Context) {
	held, err := t.registry.held(ctx)
	if err != nil || held {
		return
	}
	lease, err := t.registry.create(ctx, t.tuning.LeaseTTL)
	if err != nil {
		return
	}
	g, err := t.takeUnder(ctx, lease)
	if err != nil {
		_ = level.Debug(t.log).Log("msg", event.NotController, "err", err)
		_ = t.registry.destroy(ctx, lease.ID)
		return
	}
	t.mu.Lock()
	grows := g.Fencing > t.last
	t.last = max(t.last, g.Fencing)
	t.grant, t.lease = g, lease
	t.renewAt = t.now().Add(t.tuning.RenewEvery)
	t.mu.Unlock()
	invariant.Check(t.log, "FencingNumbersGrow", grows, "fencing", g.Fencing)
	_ = level.Info(t.log).Log("msg", event.BecameController, "fencing", g.Fencing)
}

// takeUnder locks the domain under a lease and draws a fencing number.
func (t *tenure) takeUnder(ctx context.Context, lease keyvalue.Lease) (*Grant, error) {
	if outcome := t.registry.acquire(ctx, lease.ID); outcome != keyvalue.Written {
		return nil, fault.New(fault.NotHolder, "the lock was not taken: %v", outcome)
	}
	acquired := t.now()
	stored, err := t.registry.number(ctx)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	floor := t.floor
	t.mu.Unlock()
	next := storedNumber{
		record:  numberRecord{Fencing: max(stored.record.Fencing, floor) + 1, Holder: t.self},
		version: stored.version,
	}
	// A lost answer may have used the number up: it is not given to anybody then.
	if outcome := t.registry.swap(ctx, next); outcome != keyvalue.Written {
		return nil, fault.New(fault.NotHolder, "the fencing number was not written: %v", outcome)
	}
	revision, err := t.registry.revision(ctx)
	if err != nil {
		return nil, err
	}
	return &Grant{
		Fencing:  next.record.Fencing,
		Acquired: acquired,
		Deadline: lease.Deadline.Add(-t.tuning.LeaseMargin),
		Revision: revision,
	}, nil
}

// release gives the grant up and ends its lease, so that the next controller
// need not wait until it lapses.
func (t *tenure) release(ctx context.Context, why string) {
	t.mu.Lock()
	lease, held := t.lease, t.grant != nil
	t.mu.Unlock()
	if !held {
		return
	}
	t.drop(why)
	_ = t.registry.destroy(ctx, lease.ID)
}

// drop forgets the grant.
func (t *tenure) drop(why string) {
	t.mu.Lock()
	g := t.grant
	t.grant = nil
	t.mu.Unlock()
	if g != nil {
		_ = level.Info(t.log).Log("msg", event.ControllerLost, "fencing", g.Fencing, "why", why)
	}
}
