package orders

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
	"monsoonfork/core/text"
)

func TestDifferences(t *testing.T) {
	declared := newTestText("e")
	e := declared.Engines[0]
	loaded := func(version string, adapters ...string) []engineapi.LoadedModel {
		return []engineapi.LoadedModel{{Name: "m", Version: version, Adapters: adapters}, {Name: "other"}}
	}
	for _, c := range []struct {
		state engineapi.State
		want  []string
	}{
		{engineapi.State{Role: "decode", Models: loaded("v2", "y", "x")}, nil},
		{engineapi.State{Role: "decode"}, []string{"load_model m v2", "load_adapter m x"}},
		{engineapi.State{Role: "prefill", Models: loaded("v1", "x")}, []string{"set_version m v2", "set_role decode"}},
		{engineapi.State{Role: "decode", Models: loaded("v2")}, []string{"load_adapter m x"}},
	} {
		var got []string
		for _, d := range differences(declared, e, c.state) {
			got = append(got, d.String())
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%+v: got %q, want %q", c.state, got, c.want)
		}
	}
	declared.Models[0].Version = ""
	if got := differences(declared, e, engineapi.State{Role: "decode", Models: loaded("v9", "x")}); len(got) > 0 {
		t.Errorf("a text without a version: got differences %v", got)
	}
}

// reconcileOnce acquires the lease, waits until orders of earlier controllers have
// ended and compares all engines that are due.
func reconcileOnce(c *Controller, now *clock) {
	c.leases.maintain(context.Background(), true)
	now.advance(5 * time.Second)
	c.leases.maintain(context.Background(), true)
	c.reconcileDue()
	c.wg.Wait()
}

// reconcileAt sets the clock and compares all engines that are due.
func reconcileAt(c *Controller, now *clock, at time.Time) {
	now.now = at
	c.reconcileDue()
	c.wg.Wait()
}

// The controller is paused between the comparison and the send until its lease has
// expired.
func TestOrderNotSentAfterLeaseExpiry(t *testing.T) {
	now := newClock()
	c := newTestController(newFakeStore(now), newTestText("e"))
	sent := 0
	c.Send = func(_ context.Context, _ ident.Address, _ engineapi.Order, s engineapi.OrderLimits) error {
		now.advance(time.Minute)
		if err := s.BeforeSend(); err != nil {
			return err
		}
		sent++
		return nil
	}
	reconcileOnce(c, now)
	if sent != 0 || c.metrics.notSent.Count() != 1 {
		t.Errorf("%d orders sent after the lease expired, %d not sent", sent, c.metrics.notSent.Count())
	}
}

// The engine is compared shortly before the lease expires, so that its send limit is
// the grant's deadline.
func TestSendLimitsEndWithLease(t *testing.T) {
	now := newClock()
	c := newTestController(newFakeStore(now), newTestText("e"))
	c.State = func(context.Context, ident.Address) (engineapi.State, error) {
		now.advance(9500 * time.Millisecond) // The lease lasts 10 s.
		return engineapi.State{Role: "decode"}, nil
	}
	sent := false
	c.Send = func(_ context.Context, _ ident.Address, _ engineapi.Order, s engineapi.OrderLimits) error {
		sent = true
		g, _ := c.leases.currentGrant()
		if s.SendBy.After(g.Deadline) || s.DeliveryTimeout != time.Second {
			t.Errorf("send limits %+v with a grant until %v", s, g.Deadline)
		}
		return nil
	}
	reconcileOnce(c, now)
	if !sent {
		t.Error("no order was sent")
	}
}

// sendRecorder records the time of each order that a controller sends, by address.
// The controller sends orders to several engines concurrently.
type sendRecorder struct {
	clock *clock
	mu    sync.Mutex
	times map[ident.Address][]time.Time
}

// send records an order and confirms it.
func (r *sendRecorder) send(_ context.Context, to ident.Address, _ engineapi.Order, s engineapi.OrderLimits) error {
	if err := s.BeforeSend(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times[to] = append(r.times[to], r.clock.time())
	return nil
}

// sendTimes returns the times since start of the orders that were sent to an address.
func (r *sendRecorder) sendTimes(to ident.Address, start time.Time) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []time.Duration
	for _, at := range r.times[to] {
		list = append(list, at.Sub(start))
	}
	return list
}

// An engine that ignores fencing numbers gets no order while an order of an earlier
// controller may still be running. An engine that checks them gets its order at
// once.
func TestNewControllerWaitsForEarlierOrders(t *testing.T) {
	now := newClock()
	declared := newTestText("checks", "ignores")
	declared.Engines[0].ChecksFencing = true
	c := newTestController(newFakeStore(now), declared)
	sent := &sendRecorder{clock: now, times: map[ident.Address][]time.Time{}}
	c.Send = sent.send
	c.leases.maintain(t.Context(), true)
	acquired := now.time()
	// Orders of earlier controllers may run until 3 s: DeliveryTimeout and OrderTimeoutMS.
	const earlierOrdersEnd = 3 * time.Second
	for _, at := range []time.Duration{
		0, 700 * time.Millisecond, 1400 * time.Millisecond, 2100 * time.Millisecond, 2800 * time.Millisecond,
		earlierOrdersEnd - 1,
	} {
		c.Snapshot().Revision++ // A new configuration text makes all engines due.
		reconcileAt(c, now, acquired.Add(at))
	}
	reconcileAt(c, now, acquired.Add(earlierOrdersEnd))
	if got := sent.sendTimes("checks", acquired); len(got) == 0 || got[0] != 0 {
		t.Errorf("orders were sent to the engine that checks fencing numbers after %v, want the first at once", got)
	}
	if got := sent.sendTimes("ignores", acquired); !slices.Equal(got, []time.Duration{earlierOrdersEnd}) {
		t.Errorf("orders were sent to the engine that ignores fencing numbers after %v, want only after %v", got, earlierOrdersEnd)
	}
}

// Another instance acquires the lock, sends an order and releases the lock after
// this instance has read that the lock is free, and before it acquires the lock.
func TestNewControllerWaitsForOrdersDuringAcquisition(t *testing.T) {
	now := newClock()
	f := newFakeStore(now)
	earlier := newTestController(f, newTestText("ignores"))
	c := newTestController(f, newTestText("ignores"))
	acquire := c.leases.store.acquire
	var sentAt time.Time
	c.leases.store.acquire = func(ctx context.Context, id keyvalue.LeaseID) keyvalue.Outcome {
		earlier.leases.maintain(ctx, true)
		now.advance(500 * time.Millisecond)
		g, _ := earlier.leases.currentGrant()
		sentAt = now.time()
		if err := earlier.leases.checkGrant(g.Fencing, sentAt); err != nil {
			t.Errorf("the earlier controller may not send orders: %v", err)
		}
		earlier.leases.release(ctx, "test")
		return acquire(ctx, id)
	}
	c.leases.maintain(t.Context(), true)
	g, ok := c.leases.currentGrant()
	e := c.Snapshot().Text.Engines[0]
	if got, want := c.earlierOrdersEnd(g, e), latestOrderEnd(sentAt, c.tuning, e); !ok || got.Before(want) {
		t.Errorf("grant held: %v; orders may be sent %v before the order of the earlier controller has ended", ok, want.Sub(got))
	}
}

// An order is sent at the last moment before the deadline of a lease that then
// expires, while another instance tries to acquire the lock all the time.
func TestNewControllerWaitsForOrderSentAtDeadline(t *testing.T) {
	now := newClock()
	f := newFakeStore(now)
	earlier := newTestController(f, newTestText("ignores"))
	c := newTestController(f, newTestText("ignores"))
	earlier.leases.maintain(t.Context(), true)
	g, _ := earlier.leases.currentGrant()
	now.now = g.Deadline.Add(-1)
	sentAt := now.time()
	if err := earlier.leases.checkGrant(g.Fencing, sentAt); err != nil {
		t.Fatal(err)
	}
	now.advance(1)
	if err := earlier.leases.checkGrant(g.Fencing, now.time()); err == nil {
		t.Error("an order may be sent at the deadline")
	}
	next, ok := Grant{}, false
	for limit := sentAt.Add(2 * DefaultTuning().LeaseTTL); !ok && now.time().Before(limit); now.advance(time.Millisecond) {
		c.leases.maintain(t.Context(), true)
		next, ok = c.leases.currentGrant()
	}
	e := c.Snapshot().Text.Engines[0]
	got, want := c.earlierOrdersEnd(next, e), latestOrderEnd(sentAt, c.tuning, e).Add(c.tuning.LeaseMargin)
	if !ok || got.Before(want) {
		t.Errorf("grant held: %v; the wait ends at %v, want not before %v", ok, got, want)
	}
}

// After an order whose outcome is unknown, the next order waits until the first
// has ended.
func TestNextOrderWaitsAfterUnconfirmedOrder(t *testing.T) {
	now := newClock()
	c := newTestController(newFakeStore(now), newTestText("e"))
	sent := 0
	c.Send = func(_ context.Context, _ ident.Address, _ engineapi.Order, s engineapi.OrderLimits) error {
		sent++
		if err := s.BeforeSend(); err != nil {
			return err
		}
		return fault.New(fault.EndpointTimeout, "no response")
	}
	reconcileOnce(c, now)
	for range 14 { // 2.8 s; the order has ended after 3 s.
		now.advance(200 * time.Millisecond)
		c.leases.maintain(t.Context(), true)
		c.reconcileDue()
		c.wg.Wait()
	}
	if sent != 1 {
		t.Errorf("%d orders sent while the first may have been running, want 1", sent)
	}
	now.advance(time.Second)
	c.reconcileDue()
	c.wg.Wait()
	if sent != 2 {
		t.Errorf("%d orders sent after the first had ended, want 2", sent)
	}
}

// The engines of a pool change their version one after the other, and at most
// MaxLoads engines read from the weight store at once.
func TestConcurrencyLimits(t *testing.T) {
	now := newClock()
	var names []ident.EndpointID
	for i := range 6 {
		names = append(names, ident.EndpointID(fmt.Sprintf("e%d", i)))
	}
	for _, c := range []struct {
		state engineapi.State
		limit int
	}{
		{engineapi.State{Role: "decode", Models: []engineapi.LoadedModel{{Name: "m", Version: "v1", Adapters: []string{"x"}}}}, 1},
		{engineapi.State{Role: "decode", Models: []engineapi.LoadedModel{{Name: "m", Version: "v2"}}}, DefaultTuning().MaxLoads},
	} {
		controller := newTestController(newFakeStore(now), newTestText(names...))
		controller.State = func(context.Context, ident.Address) (engineapi.State, error) { return c.state, nil }
		release := make(chan struct{})
		entered := make(chan struct{}, len(names))
		controller.Send = func(context.Context, ident.Address, engineapi.Order, engineapi.OrderLimits) error {
			entered <- struct{}{}
			<-release
			return nil
		}
		controller.leases.maintain(t.Context(), true)
		now.advance(5 * time.Second)
		controller.reconcileDue()
		for range c.limit {
			<-entered
		}
		for waiting := 0; waiting != len(names)-c.limit; {
			waiting = 0
			time.Sleep(time.Millisecond)
			for _, e := range controller.Status().Engines {
				if e.Phase == Waiting {
					waiting++
				}
			}
		}
		close(release)
		controller.wg.Wait()
		if len(entered) != 0 {
			t.Errorf("%d concurrent orders, want %d", c.limit+len(entered), c.limit)
		}
	}
}

// The role of an engine is changed only after it has been marked as Leaving for
// RoleChangeDelay and when it holds no requests.
func TestRoleChangesOnlyWithoutRequests(t *testing.T) {
	now := newClock()
	declared := newTestText("e")
	c := newTestController(newFakeStore(now), declared)
	var held []engineapi.HeldRequest
	c.State = func(context.Context, ident.Address) (engineapi.State, error) {
		return engineapi.State{Role: "prefill", Models: []engineapi.LoadedModel{{Name: "m", Version: "v2", Adapters: []string{"x"}}}}, nil
	}
	c.Requests = func(context.Context, ident.Address) ([]engineapi.HeldRequest, error) { return held, nil }
	sent := 0
	c.Send = func(context.Context, ident.Address, engineapi.Order, engineapi.OrderLimits) error { sent++; return nil }
	step := func(want int, what string) {
		t.Helper()
		now.advance(2 * time.Second)
		c.leases.maintain(t.Context(), true)
		c.reconcileDue()
		c.wg.Wait()
		if sent != want {
			t.Errorf("%s: %d orders, want %d", what, sent, want)
		}
	}
	for range 4 {
		step(0, "not marked as Leaving")
	}
	declared.Engines[0].State = text.Leaving
	held = []engineapi.HeldRequest{{Attempt: "r"}}
	step(0, "marked as Leaving recently")
	step(0, "marked as Leaving recently")
	step(0, "marked as Leaving recently")
	step(0, "still holds a request")
	held = nil
	step(1, "holds no requests")
}

// An earlier controller may already have sent orders for a newer configuration text
// than this instance has, so that this instance must not send orders yet.
func TestOlderTextSendsNoOrders(t *testing.T) {
	now := newClock()
	f := newFakeStore(now)
	f.revision = 2 // The test controller's configuration text has revision 1.
	c := newTestController(f, newTestText("e"))
	c.Send = func(context.Context, ident.Address, engineapi.Order, engineapi.OrderLimits) error {
		t.Error("an order was sent for an older configuration text")
		return nil
	}
	reconcileOnce(c, now)
}

// If an engine has seen a higher fencing number, the holder releases its grant and
// acquires one with a number above it.
func TestHigherFencingNumberAtEngine(t *testing.T) {
	now := newClock()
	c := newTestController(newFakeStore(now), newTestText("e"))
	c.State = func(context.Context, ident.Address) (engineapi.State, error) {
		return engineapi.State{Fencing: 40}, nil
	}
	c.Send = func(context.Context, ident.Address, engineapi.Order, engineapi.OrderLimits) error { return nil }
	reconcileOnce(c, now)
	c.leases.maintain(t.Context(), true)
	c.leases.maintain(t.Context(), true)
	if g, ok := c.leases.currentGrant(); !ok || g.Fencing != 41 {
		t.Errorf("grant %+v, %v, want fencing number 41", g, ok)
	}
}

func TestLeaseHandover(t *testing.T) {
	now := newClock()
	f := newFakeStore(now)
	store := f.leaseStore(10 * time.Second)
	a := &leaseManager{store: store, self: "a", log: log.NewNopLogger(), now: now.time, tuning: DefaultTuning()}
	b := &leaseManager{store: store, self: "b", log: log.NewNopLogger(), now: now.time, tuning: DefaultTuning()}
	a.maintain(t.Context(), true)
	b.maintain(t.Context(), true)
	if _, ok := b.currentGrant(); ok {
		t.Fatal("two instances hold the lease")
	}
	a.maintain(t.Context(), false)
	b.maintain(t.Context(), true)
	if g, ok := b.currentGrant(); !ok || g.Fencing != 2 {
		t.Errorf("grant after the handover: %+v, %v, want fencing number 2", g, ok)
	}
}
