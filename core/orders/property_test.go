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

// step is one step of a history: an instance does something, the store changes,
// or time passes.
type step int

const (
	keepA step = iota
	keepB
	keepC
	leaveA // A finds that it is not the owner.
	orderA
	orderB
	orderC
	storeDown
	storeUp
	answersLost
	advanceShort
	advanceLong
	stepCount
)

// history runs steps on three instances and one engine that ignores fencing
// numbers.
type history struct {
	clock   *clock
	store   *fakeStore
	tenures [3]*tenure
	tuning  Tuning
	highest ident.Epoch
	lastBy  ident.Epoch // Number of the last order.
	lastEnd time.Time   // When the last order is over at the latest.
}

func newHistory() *history {
	h := &history{clock: newClock(), tuning: DefaultTuning()}
	h.store = newFakeStore(h.clock)
	for i, name := range []ident.InstanceID{"a", "b", "c"} {
		h.tenures[i] = &tenure{
			registry: h.store.registry(h.tuning.LeaseTTL), self: name,
			log: log.NewNopLogger(), now: h.clock.time, tuning: h.tuning,
		}
	}
	return h
}

// holds reports whether what must always hold does so after a step.
func (h *history) holds(s step) bool {
	switch s {
	case keepA, keepB, keepC:
		return h.keep(int(s - keepA))
	case leaveA:
		h.tenures[0].keep(context.Background(), false)
	case orderA, orderB, orderC:
		return h.order(int(s - orderA))
	case storeDown, storeUp, answersLost:
		h.store.down, h.store.lost = s == storeDown, s == answersLost
	case advanceShort:
		h.clock.advance(700 * time.Millisecond)
	case advanceLong:
		h.clock.advance(6 * time.Second)
	case stepCount:
	}
	return true
}

// keep lets an instance renew or take. At most one instance may hold the lease,
// and new numbers only grow.
func (h *history) keep(i int) bool {
	before, _ := h.tenures[i].current()
	h.tenures[i].keep(context.Background(), true)
	holders := 0
	for _, t := range h.tenures {
		if _, ok := t.current(); ok {
			holders++
		}
	}
	g, ok := h.tenures[i].current()
	if ok && g.Fencing != before.Fencing {
		if g.Fencing <= h.highest {
			return false
		}
		h.highest = g.Fencing
	}
	return holders <= 1
}

// order lets an instance send an order if it may. No order of another number
// may be under way then.
func (h *history) order(i int) bool {
	t := h.tenures[i]
	t.mu.Lock()
	g := t.grant
	t.mu.Unlock()
	now := h.clock.time()
	e := textOf("e").Engines[0]
	c := &Controller{tuning: h.tuning}
	if g == nil || now.Before(c.clearOfOthers(*g, e)) || t.check(g.Fencing, now) != nil {
		return true
	}
	if h.lastBy != g.Fencing && now.Before(h.lastEnd) {
		return false
	}
	h.lastBy, h.lastEnd = g.Fencing, orderEnd(now, h.tuning, e)
	return true
}

func TestOneControllerWhateverHappens(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 2000
	parameters.MaxSize = 120
	properties := gopter.NewProperties(parameters)
	grants, sent := 0, 0
	properties.Property("one holder, growing numbers, no overlapping orders", prop.ForAll(
		func(steps []int) bool {
			h := newHistory()
			for _, s := range steps {
				if !h.holds(step(s)) {
					return false
				}
			}
			grants += int(h.highest)
			sent += int(h.lastBy)
			return true
		},
		gen.SliceOf(gen.IntRange(0, int(stepCount)-1)),
	))
	properties.TestingRun(t)
	if grants < 1000 || sent < 100 {
		t.Errorf("the histories were idle: %d grants, %d with orders", grants, sent)
	}
}
