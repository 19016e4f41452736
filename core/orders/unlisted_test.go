package orders

import (
	"context"
	"testing"
	"time"

	"monsoonfork/core/config"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// TestUnlistedEngineKeepsWaitForItsOrder guards against two orders that overlap at an
// engine which leaves the configuration text for a moment while the outcome of its order
// is unknown.
func TestUnlistedEngineKeepsWaitForItsOrder(t *testing.T) {
	now := newClock()
	c := newTestController(newFakeStore(now), newTestText("e"))
	var sent []time.Time
	c.Send = func(_ context.Context, _ ident.Address, _ engineapi.Order, l engineapi.OrderLimits) error {
		if err := l.BeforeSend(); err != nil {
			return err
		}
		sent = append(sent, now.time())
		return fault.New(fault.EndpointTimeout, "no answer")
	}
	reconcileOnce(c, now)
	if len(sent) != 1 {
		t.Fatalf("got %d orders, want 1", len(sent))
	}
	listed := c.Snapshot()
	for revision, texts := range []*text.Text{newTestText(), listed.Text} {
		c.Snapshot = func() *config.Snapshot {
			return &config.Snapshot{Revision: listed.Revision + ident.Revision(revision) + 1, Text: texts}
		}
		reconcileAt(c, now, now.time().Add(200*time.Millisecond))
	}
	e := listed.Text.Engines[0]
	ends := latestOrderEnd(sent[0], c.tuning, e)
	for now.time().Before(ends.Add(2 * time.Second)) {
		reconcileAt(c, now, now.time().Add(200*time.Millisecond))
	}
	if len(sent) < 2 || sent[1].Before(ends) {
		t.Errorf("orders at %v, want the second at or after %v", sent, ends)
	}
}
