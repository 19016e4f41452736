package staging

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/boottime"
	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// testApart is the least time between orders of two holders.
const testApart = 3 * time.Second

// fleet is engines that take orders.
type fleet struct {
	table   *engines.Table
	boot    boottime.Instant
	held    boottime.Instant // Until when somebody holds the right.
	fencing ident.Epoch
	orders  []Order

	noticed   Notice
	noticedAt boottime.Instant
	unnoticed int  // Orders of which the instances were not told in time.
	lost      bool // Orders get no answer.
	asOf      int64
}

// newFleet returns a fleet of engines over four domains.
func newFleet(prefill, decode int) *fleet {
	f := &fleet{table: engines.NewTable(), boot: 1}
	for i := range prefill + decode {
		stage := engines.Decode
		if i < prefill {
			stage = engines.Prefill
		}
		f.set(fmt.Sprintf("e%02d", i), ident.DomainID('a'+rune(i%4)), stage)
	}
	return f
}

// set gives news of an engine.
func (f *fleet) set(id string, domain ident.DomainID, stage engines.Stage) {
	f.asOf++
	f.table.Apply([]engines.Change{{Entry: engines.Entry{ID: ident.EndpointID(id), Service: "s", Domain: domain, Stage: stage, AsOf: f.asOf}}})
}

// controller returns a controller of the fleet.
func (f *fleet) controller(self string) *Controller {
	return &Controller{
		Services: func() []ident.ServiceID { return []ident.ServiceID{"s"} },
		Engines:  f.table.Of,
		IsOwner:  func() bool { return true },
		Acquire: func(_ context.Context, ttl time.Duration, n Notice) (ident.Epoch, error) {
			if f.boot.Before(f.held) {
				return 0, fault.New(fault.NotHolder, "held")
			}
			f.held = f.boot.Add(ttl)
			f.fencing++
			f.noticed, f.noticedAt = n, f.boot
			return f.fencing, nil
		},
		Status: func(_ context.Context, e engines.Entry) (Status, error) { return Status{Stage: e.Stage}, nil },
		Order: func(_ context.Context, e engines.Entry, o Order) error {
			if !f.boot.Before(o.Before) {
				return fault.New(fault.NotHolder, "lapsed")
			}
			f.orders = append(f.orders, o)
			f.checkNoticed(e, o)
			if f.lost {
				return fault.New(fault.EndpointTimeout, "no answer")
			}
			f.set(string(e.ID), e.Domain, o.To)
			return nil
		},
		Boot:  func() boottime.Instant { return f.boot },
		Pause: func(_ context.Context, d time.Duration) { f.boot = f.boot.Add(d) },
		Apart: testApart,
		Self:  ident.InstanceID(self), Log: log.NewNopLogger(),
		ordered: make(map[ident.EndpointID]ordered),
	}
}

// checkNoticed checks that the instances were told of a change before its order.
func (f *fleet) checkNoticed(e engines.Entry, o Order) {
	told := slices.Contains(f.noticed.Changes, Change{e.ID, o.To})
	if before := time.Duration(f.boot - f.noticedAt); !told || f.noticed.Holder != o.Holder || before < noticeTime {
		f.unnoticed++
	}
}

// pass lets time pass with looks at the split.
func (f *fleet) pass(d time.Duration, controllers ...*Controller) {
	for end := f.boot.Add(d); f.boot.Before(end); f.boot = f.boot.Add(lookEvery) {
		for _, c := range controllers {
			if c.restTo.Before(f.boot) && c.isDue() {
				c.change(context.Background())
			}
		}
	}
}

// count returns the engines at a stage.
func (f *fleet) count(stage engines.Stage) int {
	n := 0
	for _, e := range f.table.Of("s") {
		if e.StageNow() == stage {
			n++
		}
	}
	return n
}

// TestSplitIsReached begins with splits of several sizes.
func TestSplitIsReached(t *testing.T) {
	for _, c := range []struct{ prefill, decode, want int }{{5, 7, 3}, {7, 11, 5}, {0, 8, 2}, {1, 1, 1}, {30, 60, 23}} {
		f := newFleet(c.prefill, c.decode)
		f.pass(10*time.Minute, f.controller("a"))
		if got := f.count(engines.Prefill); got != c.want {
			t.Errorf("%d and %d: %d prefill, want %d", c.prefill, c.decode, got, c.want)
		}
		if f.unnoticed > 0 {
			t.Errorf("%d of %d orders were not announced in time", f.unnoticed, len(f.orders))
		}
	}
}

// TestHoldersAreApart has two instances that both think they are the owner.
func TestHoldersAreApart(t *testing.T) {
	f := newFleet(12, 4)
	f.lost = true
	a, b := f.controller("a"), f.controller("b")
	var last Order
	var lastAt boottime.Instant
	seen := 0
	for range 400 {
		f.pass(lookEvery, a, b)
		for _, o := range f.orders[seen:] {
			if last.Holder != "" && o.Holder != last.Holder {
				if o.Fencing <= last.Fencing {
					t.Errorf("fencing number %d after %d of another holder", o.Fencing, last.Fencing)
				}
				if apart := time.Duration(f.boot - lastAt); apart < testApart {
					t.Errorf("orders of two holders %v apart", apart)
				}
			}
			last, lastAt = o, f.boot
		}
		seen = len(f.orders)
	}
	if seen == 0 {
		t.Error("no orders")
	}
}

// TestSuspendedHolderSendsNothing suspends the holder between right and order.
func TestSuspendedHolderSendsNothing(t *testing.T) {
	f := newFleet(5, 7)
	c := f.controller("a")
	c.Status = func(_ context.Context, e engines.Entry) (Status, error) {
		f.boot = f.boot.Add(useTime)
		return Status{Stage: e.Stage}, nil
	}
	f.pass(3*time.Second, c)
	if len(f.orders) != 0 {
		t.Errorf("%d orders under a right that had lapsed", len(f.orders))
	}
}

// TestLostOrderIsNotRepeatedSoon has orders without an answer.
func TestLostOrderIsNotRepeatedSoon(t *testing.T) {
	f := newFleet(4, 8)
	f.lost = true
	f.pass(restTime-time.Second, f.controller("a"))
	if len(f.orders) != 1 {
		t.Errorf("%d orders to an engine that may still carry the first out", len(f.orders))
	}
}
