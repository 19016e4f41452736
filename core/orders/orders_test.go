package orders

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
)

func TestDifferences(t *testing.T) {
	declared := textOf("e")
	e := declared.Engines[0]
	loaded := func(version string, adapters ...string) []engine.LoadedModel {
		return []engine.LoadedModel{{Name: "m", Version: version, Adapters: adapters}, {Name: "other"}}
	}
	for _, c := range []struct {
		state engine.State
		want  []string
	}{
		{engine.State{Role: "decode", Models: loaded("v2", "y", "x")}, nil},
		{engine.State{Role: "decode"}, []string{"load_model m v2", "load_adapter m x"}},
		{engine.State{Role: "prefill", Models: loaded("v1", "x")}, []string{"set_version m v2", "set_role decode"}},
		{engine.State{Role: "decode", Models: loaded("v2")}, []string{"load_adapter m x"}},
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
	if got := differences(declared, e, engine.State{Role: "decode", Models: loaded("v9", "x")}); len(got) > 0 {
		t.Errorf("a text without a version: %v", got)
	}
}

// runOnce takes the lease, passes the wait for earlier controllers and looks at
// all engines that are due.
func runOnce(c *Controller, now *clock) {
	c.tenure.keep(context.Background(), true)
	now.advance(5 * time.Second)
	c.tenure.keep(context.Background(), true)
	c.lookAtDue()
	c.wg.Wait()
}

// A controller is paused between its look and the send, past its lease.
func TestOrderIsHeldBackAfterTheLease(t *testing.T) {
	now := newClock()
	c := newTestController(newFakeStore(now), textOf("e"))
	left := 0
	c.Send = func(_ context.Context, _ ident.Address, _ engine.Order, s engine.Sending) error {
		now.advance(time.Minute)
		if err := s.Check(); err != nil {
			return err
		}
		left++
		return nil
	}
	runOnce(c, now)
	if left != 0 || c.metrics.heldBack.Count() != 1 {
		t.Errorf("%d orders left past the lease, %d held back", left, c.metrics.heldBack.Count())
	}
}

func TestSendIsBoundedByTheLease(t *testing.T) {
	now := newClock()
	c := newTestController(newFakeStore(now), textOf("e"))
	c.State = func(context.Context, ident.Address) (engine.State, error) {
		now.advance(9500 * time.Millisecond) // Of a lease of 10 s.
		return engine.State{Role: "decode"}, nil
	}
	sent := false
	c.Send = func(_ context.Context, _ ident.Address, _ engine.Order, s engine.Sending) error {
		sent = true
		g, _ := c.tenure.current()
		if s.SendBy.After(g.Deadline) || s.DeliverWithin != time.Second {
			t.Errorf("limits %+v under a lease until %v", s, g.Deadline)
		}
		return nil
	}
	runOnce(c, now)
	if !sent {
		t.Error("nothing was sent")
	}
}

// An engine that ignores fencing numbers gets no order while one of an earlier
// controller may be under way; one that checks them gets its order at once.
func TestSuccessorWaits(t *testing.T) {
	now := newClock()
	declared := textOf("checks", "ignores")
	declared.Engines[0].ChecksFencing = true
	c := newTestController(newFakeStore(now), declared)
	var got []ident.Address
	c.Send = func(_ context.Context, to ident.Address, _ engine.Order, _ engine.Sending) error {
		got = append(got, to)
		return nil
	}
	c.tenure.keep(t.Context(), true)
	for range 4 {
		c.lookAtDue()
		c.wg.Wait()
		now.advance(700 * time.Millisecond)
	}
	if slices.Contains(got, "ignores") || !slices.Contains(got, "checks") {
		t.Errorf("within 2.8 s orders went to %v", got)
	}
	now.advance(300 * time.Millisecond)
	c.lookAtDue()
	c.wg.Wait()
	if !slices.Contains(got, "ignores") {
		t.Errorf("after 3.1 s orders went to %v", got)
	}
}

// After an order whose outcome is unknown the next one waits until it is over.
func TestUnknownOrderIsWaitedOut(t *testing.T) {
	now := newClock()
	c := newTestController(newFakeStore(now), textOf("e"))
	sent := 0
	c.Send = func(_ context.Context, _ ident.Address, _ engine.Order, s engine.Sending) error {
		sent++
		if err := s.Check(); err != nil {
			return err
		}
		return fault.New(fault.EndpointTimeout, "no answer")
	}
	runOnce(c, now)
	for range 14 { // 2.8 s; the order is over after 3 s.
		now.advance(200 * time.Millisecond)
		c.tenure.keep(t.Context(), true)
		c.lookAtDue()
		c.wg.Wait()
	}
	if sent != 1 {
		t.Errorf("%d orders while the first may have been under way", sent)
	}
	now.advance(time.Second)
	c.lookAtDue()
	c.wg.Wait()
	if sent != 2 {
		t.Errorf("%d orders after the first was over", sent)
	}
}

// The engines of a pool change their version one after the other, and at most
// Loads engines read from the weight store at once.
func TestPace(t *testing.T) {
	now := newClock()
	var names []ident.EndpointID
	for i := range 6 {
		names = append(names, ident.EndpointID(fmt.Sprintf("e%d", i)))
	}
	for _, c := range []struct {
		state engine.State
		most  int
	}{
		{engine.State{Role: "decode", Models: []engine.LoadedModel{{Name: "m", Version: "v1", Adapters: []string{"x"}}}}, 1},
		{engine.State{Role: "decode", Models: []engine.LoadedModel{{Name: "m", Version: "v2"}}}, DefaultTuning().Loads},
	} {
		controller := newTestController(newFakeStore(now), textOf(names...))
		controller.State = func(context.Context, ident.Address) (engine.State, error) { return c.state, nil }
		release := make(chan struct{})
		entered := make(chan struct{}, len(names))
		controller.Send = func(context.Context, ident.Address, engine.Order, engine.Sending) error {
			entered <- struct{}{}
			<-release
			return nil
		}
		controller.tenure.keep(t.Context(), true)
		now.advance(5 * time.Second)
		controller.lookAtDue()
		for range c.most {
			<-entered
		}
		for waiting := 0; waiting != len(names)-c.most; {
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
			t.Errorf("%d orders at once, want %d", c.most+len(entered), c.most)
		}
	}
}

func TestRoleChangesOnlyWithoutWork(t *testing.T) {
	now := newClock()
	declared := textOf("e")
	c := newTestController(newFakeStore(now), declared)
	var held []engine.Held
	c.State = func(context.Context, ident.Address) (engine.State, error) {
		return engine.State{Role: "prefill", Models: []engine.LoadedModel{{Name: "m", Version: "v2", Adapters: []string{"x"}}}}, nil
	}
	c.Requests = func(context.Context, ident.Address) ([]engine.Held, error) { return held, nil }
	sent := 0
	c.Send = func(context.Context, ident.Address, engine.Order, engine.Sending) error { sent++; return nil }
	step := func(want int, what string) {
		t.Helper()
		now.advance(2 * time.Second)
		c.tenure.keep(t.Context(), true)
		c.lookAtDue()
		c.wg.Wait()
		if sent != want {
			t.Errorf("%s: %d orders, want %d", what, sent, want)
		}
	}
	for range 4 {
		step(0, "serving")
	}
	declared.Engines[0].State = text.Leaving
	held = []engine.Held{{Attempt: "r"}}
	step(0, "just marked")
	step(0, "just marked")
	step(0, "just marked")
	step(0, "holds a request")
	held = nil
	step(1, "empty")
}

func TestOlderTextGivesNoOrders(t *testing.T) {
	now := newClock()
	f := newFakeStore(now)
	f.revision = 2 // The test controller's text is of revision 1.
	c := newTestController(f, textOf("e"))
	c.Send = func(context.Context, ident.Address, engine.Order, engine.Sending) error {
		t.Error("an order from an older text")
		return nil
	}
	runOnce(c, now)
}

// An engine that has seen a higher number makes the holder draw one above it.
func TestHigherNumberAtAnEngine(t *testing.T) {
	now := newClock()
	c := newTestController(newFakeStore(now), textOf("e"))
	c.State = func(context.Context, ident.Address) (engine.State, error) { return engine.State{Fencing: 40}, nil }
	c.Send = func(context.Context, ident.Address, engine.Order, engine.Sending) error { return nil }
	runOnce(c, now)
	c.tenure.keep(t.Context(), true)
	c.tenure.keep(t.Context(), true)
	if g, ok := c.tenure.current(); !ok || g.Fencing != 41 {
		t.Errorf("grant %+v, %v", g, ok)
	}
}

func TestTenureHandsOver(t *testing.T) {
	now := newClock()
	f := newFakeStore(now)
	r := f.registry(10 * time.Second)
	a := &tenure{registry: r, self: "a", log: log.NewNopLogger(), now: now.time, tuning: DefaultTuning()}
	b := &tenure{registry: r, self: "b", log: log.NewNopLogger(), now: now.time, tuning: DefaultTuning()}
	a.keep(t.Context(), true)
	b.keep(t.Context(), true)
	if _, ok := b.current(); ok {
		t.Fatal("two controllers")
	}
	a.keep(t.Context(), false)
	b.keep(t.Context(), true)
	if g, ok := b.current(); !ok || g.Fencing != 2 {
		t.Errorf("after a hand-over: %+v, %v", g, ok)
	}
}
