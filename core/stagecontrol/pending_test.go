package stagecontrol

import (
	"context"
	"fmt"
	"testing"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
)

// TestPendingOrdersAreForgotten guards against memory that grows with each engine that was
// ever ordered to change its stage: engines come back under new ids.
func TestPendingOrdersAreForgotten(t *testing.T) {
	f := newFleet(4, 8)
	c := f.controller("a")
	for n := range 200 {
		c.setPending(ident.EndpointID(fmt.Sprint("gone-", n)), pendingOrder{engines.Decode, f.boot.Add(c.cooldown())})
		f.boot = f.boot.Add(c.cooldown() / 2)
	}
	if n := len(c.pending); n > 3 {
		t.Errorf("%d orders are kept, want at most 3 that are pending", n)
	}
}

// TestPendingOrdersOutlastRun guards against a second order for an engine that may still carry
// out the first one, after Run was called again.
func TestPendingOrdersOutlastRun(t *testing.T) {
	f := newFleet(4, 8)
	c := f.controller("a")
	c.setPending("e", pendingOrder{engines.Decode, f.boot.Add(time.Minute)})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Run(ctx)
	if !c.inCooldown("e") {
		t.Error("the order of the engine is forgotten")
	}
}
