package share

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
)

// fleet is instances that call each other without a network.
type fleet struct {
	now    time.Time
	shares map[ident.InstanceID]*Shares
	tables map[ident.InstanceID]*membership.Table
	cut    map[ident.InstanceID]bool // Cut off from all others.
}

// newFleet returns a fleet with members in each of some domains.
func newFleet(domains, members int) *fleet {
	f := &fleet{now: time.Now(), shares: make(map[ident.InstanceID]*Shares), tables: make(map[ident.InstanceID]*membership.Table), cut: make(map[ident.InstanceID]bool)}
	var all []membership.Member
	for d := range domains {
		for m := range members {
			id := fmt.Sprintf("%c%d", 'a'+d, m)
			all = append(all, membership.Member{ID: ident.InstanceID(id), Domain: ident.DomainID(id[:1]), PeerAddress: ident.Address(id)})
		}
	}
	for _, self := range all {
		table := membership.NewTable(self, nopLogger, func() time.Time { return f.now })
		for _, m := range all {
			if m.ID != self.ID {
				table.Heard(m)
			}
		}
		f.tables[self.ID] = table
		f.shares[self.ID] = New(table.View, func() int { return len(all) }, f.caller(self.ID), nopLogger, func() time.Time { return f.now })
	}
	return f
}

// caller returns the calls of an instance.
func (f *fleet) caller(from ident.InstanceID) link.Caller {
	return func(ctx context.Context, to ident.InstanceID, method string, req, resp proto.Message) error {
		if to != from && (f.cut[from] || f.cut[to]) {
			return fault.New(fault.PeerUnavailable, "cut off")
		}
		var answer proto.Message
		var err error
		if method == MethodReport {
			answer, err = f.shares[to].ServeReport(ctx, from, req.(*Report))
		} else {
			answer, err = f.shares[to].ServeExchange(ctx, from, req.(*Exchange))
		}
		if err == nil {
			proto.Merge(resp, answer)
		}
		return err
	}
}

// round lets each instance report once.
func (f *fleet) round() {
	for _, s := range f.shares {
		// Those that are cut off reach nobody.
		_, _ = s.rounds().Once(context.Background())
	}
}

// admitted asks each instance for tokens for some seconds and returns what was
// admitted.
func (f *fleet) admitted(seconds int) ident.Tokens {
	o := organisation(10_000, 10_000)
	total := ident.Tokens(0)
	const step = 50 * time.Millisecond
	for i := range seconds * int(time.Second/step) {
		f.now = f.now.Add(step)
		for _, s := range f.shares {
			if s.Admit(o, 300).Granted {
				total += 300
			}
		}
		if i%3 == 0 {
			f.round()
		}
	}
	return total
}

// TestFleetHoldsTheRate asks for several times the rate at all instances.
func TestFleetHoldsTheRate(t *testing.T) {
	for _, cut := range [][]ident.InstanceID{nil, {"a0"}, {"a0", "b1", "c2"}} {
		f := newFleet(4, 3)
		for _, id := range cut {
			f.cut[id] = true
		}
		f.admitted(3)
		got := f.admitted(8)
		// Each instance may admit for one report more than there is.
		const rate, slack = 10_000, 12 * 3 * 300
		if want := ident.Tokens(9 * rate); got > want+slack || got < want*6/10 {
			t.Errorf("cut %v: admitted %d in 8 s, want up to %d", cut, got, want)
		}
	}
}

// TestNewCollectorStartsNoDebt ends the collector of a domain after another member
// collected for a moment at the start: an organisation that keeps to its rate is not
// refused when that member collects again.
func TestNewCollectorStartsNoDebt(t *testing.T) {
	f := newFleet(3, 4)
	ranked := f.shares["a0"].view().Ranked("a", ownerKey)
	collector, next := ranked[0].ID, ranked[1].ID
	for id, s := range f.shares {
		if s.view().Self.Domain != "a" {
			_ = f.shares[id].exchangeWith(t.Context(), "a", next)
		}
	}
	f.admitted(5)
	f.cut[collector] = true
	for id, table := range f.tables {
		if id != collector {
			table.Ended(collector)
		}
	}
	// The member calls the new collector before those of other domains do.
	if err := f.shares[ranked[2].ID].reportTo(t.Context(), next); err != nil {
		t.Fatal(err)
	}
	refused := 0
	o := organisation(10_000, 10_000)
	for i := range 100 {
		f.now = f.now.Add(50 * time.Millisecond)
		if i%3 == 0 {
			f.round()
		}
		// A third of the rate, after a second in which the burst came up again.
		if i >= 20 && i%4 == 0 && !f.shares[next].Admit(o, 600).Granted {
			refused++
		}
		if i >= 20 && i%4 == 2 && !f.shares[ranked[2].ID].Admit(o, 100).Granted {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d refusals of an organisation that keeps to its rate", refused)
	}
}
