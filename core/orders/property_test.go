package orders

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"monsoonfork/core/ident"
)

// step is one step of a history: an action of an instance, a change of the store's
// availability, or an advance of the clock.
type step int

const (
	maintainA step = iota
	maintainB
	maintainC
	loseOwnershipA // Instance A is no longer the owner.
	orderA
	orderB
	orderC
	storeDown
	storeUp
	responsesLost
	advanceShort
	advanceLong
	stepCount
)

// history runs steps on three instances and one engine that ignores fencing
// numbers, and checks the invariants.
type history struct {
	clock          *clock
	store          *fakeStore
	managers       [3]*leaseManager
	tuning         Tuning
	highestFencing ident.Epoch
	lastFencing    ident.Epoch // Fencing number of the last order.
	lastEnd        time.Time   // Latest possible end of the last order.
}

func newHistory() *history {
	h := &history{clock: newClock(), tuning: DefaultTuning()}
	h.store = newFakeStore(h.clock)
	for i, name := range []ident.InstanceID{"a", "b", "c"} {
		h.managers[i] = &leaseManager{
			store: h.store.leaseStore(h.tuning.LeaseTTL), self: name,
			log: log.NewNopLogger(), now: h.clock.time, tuning: h.tuning,
		}
	}
	return h
}

// runStep runs a step and reports whether the invariants hold after it.
func (h *history) runStep(s step) bool {
	switch s {
	case maintainA, maintainB, maintainC:
		return h.maintainLease(int(s - maintainA))
	case loseOwnershipA:
		h.managers[0].maintain(context.Background(), false)
	case orderA, orderB, orderC:
		return h.sendOrder(int(s - orderA))
	case storeDown, storeUp, responsesLost:
		h.store.unreachable, h.store.loseResponses = s == storeDown, s == responsesLost
	case advanceShort:
		h.clock.advance(700 * time.Millisecond)
	case advanceLong:
		h.clock.advance(6 * time.Second)
	case stepCount:
	}
	return true
}

// maintainLease lets an instance renew or acquire the lease. At most one instance
// may hold it, and fencing numbers must increase.
func (h *history) maintainLease(i int) bool {
	before, _ := h.managers[i].currentGrant()
	h.managers[i].maintain(context.Background(), true)
	holders := 0
	for _, m := range h.managers {
		if _, ok := m.currentGrant(); ok {
			holders++
		}
	}
	g, ok := h.managers[i].currentGrant()
	if ok && g.Fencing != before.Fencing {
		if g.Fencing <= h.highestFencing {
			return false
		}
		h.highestFencing = g.Fencing
	}
	return holders <= 1
}

// sendOrder sends an order from an instance if its grant allows it. No order with
// another fencing number may be running at that time.
func (h *history) sendOrder(i int) bool {
	m := h.managers[i]
	m.mu.Lock()
	g := m.grant
	m.mu.Unlock()
	now := h.clock.time()
	e := newTestText("e").Engines[0]
	c := &Controller{tuning: h.tuning}
	if g == nil || now.Before(c.earlierOrdersEnd(*g, e)) || m.checkGrant(g.Fencing, now) != nil {
		return true
	}
	if h.lastFencing != g.Fencing && now.Before(h.lastEnd) {
		return false
	}
	h.lastFencing, h.lastEnd = g.Fencing, latestOrderEnd(now, h.tuning, e)
	return true
}

// In random histories with store outages, lost responses and clock advances, at most
// one instance holds the lease, fencing numbers increase, and orders of two
// controllers never overlap.
func TestAtMostOneControllerInRandomHistories(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 2000
	parameters.MaxSize = 120
	properties := gopter.NewProperties(parameters)
	grants, sent := 0, 0
	properties.Property("at most one holder, increasing fencing numbers, no overlapping orders", prop.ForAll(
		func(steps []int) bool {
			h := newHistory()
			for _, s := range steps {
				if !h.runStep(step(s)) {
					return false
				}
			}
			grants += int(h.highestFencing)
			sent += int(h.lastFencing)
			return true
		},
		gen.SliceOf(gen.IntRange(0, int(stepCount)-1)),
	))
	properties.TestingRun(t)
	if grants < 1000 || sent < 100 {
		t.Errorf("the histories have too few events: the highest fencing numbers add up to %d, those of the last orders to %d", grants, sent)
	}
}
