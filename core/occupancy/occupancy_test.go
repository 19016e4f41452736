package occupancy

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// fleet is instances that call each other without a network, each with a table of
// its own of the same engines.
type fleet struct {
	now   time.Time
	parts map[ident.InstanceID]*Occupancy
	cut   map[ident.InstanceID]bool // Cut off from all others.
}

// newFleet returns instances and engines, two of each in both domains.
func newFleet() *fleet {
	f := &fleet{now: time.Now(), parts: make(map[ident.InstanceID]*Occupancy), cut: make(map[ident.InstanceID]bool)}
	members := []membership.Member{{ID: "a0", Domain: "a"}, {ID: "a1", Domain: "a"}, {ID: "b0", Domain: "b"}, {ID: "b1", Domain: "b"}}
	for i := range members {
		members[i].PeerAddress = ident.Address(members[i].ID)
	}
	for _, self := range members {
		view := membership.NewTable(self, log.NewNopLogger(), func() time.Time { return f.now })
		for _, m := range members {
			if m.ID != self.ID {
				view.Heard(m)
			}
		}
		f.parts[self.ID] = New(testTable(), view.View, f.caller(self.ID), log.NewNopLogger(), func() time.Time { return f.now })
	}
	return f
}

// testTable returns a table of a decode and a prefill engine in each domain.
func testTable() *engines.Table {
	table := engines.NewTable()
	for _, e := range []engines.Entry{
		{ID: "ad", Domain: "a", Stage: engines.Decode}, {ID: "ap", Domain: "a", Stage: engines.Prefill},
		{ID: "bd", Domain: "b", Stage: engines.Decode}, {ID: "bp", Domain: "b", Stage: engines.Prefill},
		{ID: "be", Domain: "b", Stage: engines.Decode},
	} {
		e.Service, e.AsOf = "s", 1
		table.Apply([]engines.Change{{Entry: e}})
	}
	return table
}

// caller returns the calls of an instance.
func (f *fleet) caller(from ident.InstanceID) Caller {
	return func(ctx context.Context, to ident.InstanceID, method string, req, resp proto.Message) error {
		if to != from && (f.cut[from] || f.cut[to]) {
			return fault.New(fault.PeerUnavailable, "cut off")
		}
		var answer proto.Message
		var err error
		if method == MethodReport {
			answer, err = f.parts[to].ServeReport(ctx, from, req.(*Report))
		} else {
			answer, err = f.parts[to].ServeExchange(ctx, from, req.(*Exchange))
		}
		if err == nil {
			proto.Merge(resp, answer)
		}
		return err
	}
}

// rounds has each instance report some times.
func (f *fleet) rounds(n int) {
	for range n {
		f.now = f.now.Add(reportEvery)
		for _, o := range f.parts {
			// Those that are cut off reach nobody.
			_, _ = o.rounds().Once(context.Background())
		}
	}
}

// engine returns an engine as an instance knows it.
func (f *fleet) engine(of ident.InstanceID, id ident.EndpointID) *engines.Engine {
	for _, e := range f.parts[of].table.All() {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// TestOthersAreKnown has streams and prompts of several instances at one engine.
func TestOthersAreKnown(t *testing.T) {
	f := newFleet()
	f.engine("a0", "ad").Begin(1000)
	f.engine("a1", "ad").Begin(200)
	f.engine("b0", "ad").Begin(30)
	endRead := f.engine("b1", "bp").BeginPrefill(400)
	f.rounds(3)
	for of, want := range map[ident.InstanceID]ident.Tokens{"a0": 230, "a1": 1030} {
		if got := f.engine(of, "ad").Others(f.now).Memory; got != want {
			t.Errorf("%s knows of %d tokens of others, want %d", of, got, want)
		}
	}
	if got := f.engine("b0", "bp").Others(f.now).Prefill; got != 400 {
		t.Errorf("b0 knows of %d prompt tokens of others, want 400", got)
	}
	// Other domains know the mean of the pool.
	f.engine("b0", "be").Begin(3000)
	f.rounds(3)
	if got := f.engine("a0", "bd").Others(f.now).Memory; got != 1500 {
		t.Errorf("a0 knows of %d tokens at engines of b, want 1500 on the mean", got)
	}
	endRead()
	f.rounds(3)
	if got := f.engine("b0", "bp").Others(f.now).Prefill; got != 0 {
		t.Errorf("b0 knows of %d prompt tokens that were read, want 0", got)
	}
}

// TestSilenceIsForgotten cuts an instance off.
func TestSilenceIsForgotten(t *testing.T) {
	f := newFleet()
	f.engine("a0", "ad").Begin(1000)
	f.rounds(3)
	f.cut["a0"] = true
	f.rounds(int(unheardAfter/reportEvery) + 3)
	if got := f.engine("a1", "ad").Others(f.now).Memory; got != 0 {
		t.Errorf("a1 still knows of %d tokens of an instance that is silent", got)
	}
	if got := f.engine("a0", "ad").Others(f.now).Memory; got != 0 {
		t.Errorf("a0 knows of %d tokens while it is cut off", got)
	}
}
