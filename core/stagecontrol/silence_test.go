package stagecontrol

import (
	"context"
	"testing"
	"time"

	"monsoonfork/core/boottime"
	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
)

// TestPausingEngineIsOrderedAfterItsPause has an engine pause while it is asked for its stage
// before an order. The notice has excluded it from requests already, so that an order which is
// given up would leave it out for much longer than it pauses.
func TestPausingEngineIsOrderedAfterItsPause(t *testing.T) {
	for _, pause := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second} {
		f := newFleet(4, 8)
		c := f.controller("a")
		var pauseEnds boottime.Instant
		c.Status = func(ctx context.Context, e engines.Entry) (Status, error) {
			if pauseEnds == 0 {
				pauseEnds = f.boot.Add(pause)
			}
			deadline, _ := ctx.Deadline()
			if timeout := f.boot.Add(time.Until(deadline)); timeout.Before(pauseEnds) {
				f.boot = timeout
				return Status{}, fault.New(fault.EndpointTimeout, "no answer")
			}
			f.boot = max(f.boot, pauseEnds)
			return Status{Stage: e.Stage}, nil
		}
		f.advance(orderCooldown-time.Second, c)
		if len(f.orders) != 1 {
			t.Errorf("pause of %v: %d orders, want 1", pause, len(f.orders))
		}
	}
}

// TestDeadEngineDelaysNoOtherOrder has one of several engines that are to change their stages
// never answer. The others must get their orders all the same.
func TestDeadEngineDelaysNoOtherOrder(t *testing.T) {
	f := newFleet(12, 4)
	c := f.controller("a")
	var dead engines.Entry
	c.Status = func(ctx context.Context, e engines.Entry) (Status, error) {
		if dead.ID == "" {
			dead = e
		}
		if e.ID != dead.ID {
			return Status{Stage: e.Stage}, nil
		}
		deadline, _ := ctx.Deadline()
		f.boot = f.boot.Add(time.Until(deadline))
		return Status{}, fault.New(fault.EndpointTimeout, "no answer")
	}
	f.advance(orderWindow+minDueTime, c)
	if want := len(f.lastNotice.Changes) - 1; len(f.orders) != want || want < 2 {
		t.Errorf("%d orders, want %d", len(f.orders), want)
	}
}
