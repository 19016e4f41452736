package placement

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/config"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
	"monsoonfork/core/text"
)

const (
	// fuzzInputTime bounds the time for one message.
	fuzzInputTime = 2 * time.Second
	// fuzzPlaceTime is how long the caller of a placement waits.
	fuzzPlaceTime = 2 * time.Millisecond
)

// newFuzzedPlacement returns the Placement of an instance that is alone and owns the dispatcher
// of model m in domain d1.
func newFuzzedPlacement(t *testing.T) (*Placement, *runner) {
	t.Helper()
	table := membership.NewTable(membership.Member{ID: "a1", Domain: "d1"}, log.NewNopLogger(), time.Now)
	holder := config.NewHolder()
	engines := testEngines(1, 2)
	for i := range engines {
		engines[i].Domain, engines[i].Models = "d1", []ident.ModelID{"m"}
	}
	holder.Update(&config.Snapshot{Revision: 1, Text: &text.Text{Domains: []ident.DomainID{"d1"}, Models: []text.Model{testModel}, Engines: engines}})
	links := &link.Links{
		Serve: func(string, link.Handler) {},
		Call: func(context.Context, ident.InstanceID, string, proto.Message, proto.Message) error {
			return fault.New(fault.PeerUnavailable, "alone")
		},
	}
	p := New(links, table, holder, log.NewNopLogger(), WithoutRecovery())
	r, err := p.dispatcher(dispatcherKey{"d1", "m"})
	if err != nil {
		t.Fatal(err)
	}
	return p, r
}

// fuzzedMessage is a kind of message of other instances, and what handles it.
type fuzzedMessage struct {
	empty  func() proto.Message
	handle func(ctx context.Context, p *Placement, r *runner, m proto.Message) error
}

// fuzzedMessages are the kinds of messages that a dispatcher gets.
var fuzzedMessages = []fuzzedMessage{
	{func() proto.Message { return &PlaceRequest{} }, func(ctx context.Context, p *Placement, _ *runner, m proto.Message) error {
		_, err := p.handlePlace(ctx, "a2", m.(*PlaceRequest))
		return err
	}},
	{func() proto.Message { return &EventsRequest{} }, func(ctx context.Context, p *Placement, _ *runner, m proto.Message) error {
		_, err := p.handleEvents(ctx, "a2", m.(*EventsRequest))
		return err
	}},
	{func() proto.Message { return &HeldReply{} }, func(_ context.Context, p *Placement, r *runner, m proto.Message) error {
		r.RestoreLeases(p.validLeases("a2", m.(*HeldReply)))
		return nil
	}},
	{func() proto.Message { return &HeldRequest{} }, func(ctx context.Context, p *Placement, _ *runner, m proto.Message) error {
		_, err := p.handleOpenLeases(ctx, "a2", m.(*HeldRequest))
		return err
	}},
	{func() proto.Message { return &RoomReply{} }, func(_ context.Context, _ *Placement, r *runner, m proto.Message) error {
		r.SetCapacity(Capacity{Domain: "d2", FreeSlots: int(m.(*RoomReply).GetFreeSlots())})
		return nil
	}},
	{func() proto.Message { return &RoomRequest{} }, func(ctx context.Context, p *Placement, _ *runner, m proto.Message) error {
		_, err := p.handleCapacity(ctx, "a2", m.(*RoomRequest))
		return err
	}},
}

// fuzzPlacementSeeds are messages by their kind's position in fuzzedMessages.
func fuzzPlacementSeeds() map[int][]proto.Message {
	place := func(prompt, output, firstTokenUs, deadlineUs int64) *PlaceRequest {
		return &PlaceRequest{Domain: "d1", Model: "m", Id: "r", Attempt: 1, Organisation: "o", PromptTokens: prompt, MaxTokens: output, FirstTokenUs: firstTokenUs, DeadlineUs: deadlineUs}
	}
	return map[int][]proto.Message{
		0: {
			place(100, 100, 400_000, 30_000_000), place(math.MaxInt64, 1, 0, 1), place(1, math.MaxInt64, 0, 1), place(-1, -1, 0, 1),
			place(1, 1, math.MaxInt64, math.MaxInt64), place(1, 1, math.MinInt64, math.MinInt64), place(1_000_000_000, 1_000_000_000, 1, 1_000_000), &PlaceRequest{},
			&PlaceRequest{Domain: "d1", Model: "m", Id: "r", Attempt: -1, PromptTokens: 1, DeadlineUs: 1}, &PlaceRequest{Domain: "d2", Model: "m", Id: "r", Attempt: 1, PromptTokens: 1, DeadlineUs: 1},
			&PlaceRequest{Domain: "d1", Model: "m", Id: "held", Attempt: 1, PromptTokens: 1, DeadlineUs: 1, Priority: -9, Avoid: []string{"", "d0", "d1", "p0"}, PrefixHashes: []string{"", ""}},
		},
		1: {
			&EventsRequest{Domain: "d1", Model: "m", Events: []*Event{nil, {}, {Lease: "held.1", PrefillDone: true}, {Lease: "held.1", Result: 99, OutputTokens: math.MinInt64}, {Lease: "held.1"}}},
			&EventsRequest{Domain: "d1", Model: "m", Events: []*Event{{Lease: "held.1", Result: -1, OutputTokens: math.MaxInt64}}}, &EventsRequest{Domain: "d1", Model: "none"},
		},
		2: {
			&HeldReply{Leases: []*HeldLease{nil, {Lease: "x", Decode: "d0", Prefill: "p0", PromptTokens: -1}, {Lease: "x", Decode: "d0", Prefill: "p0", PromptTokens: 1_000_000_000, MaxTokens: 1_000_000_000, Phase: 7}}},
			&HeldReply{Leases: []*HeldLease{{Lease: "x", Decode: "p0", Prefill: "d0", PromptTokens: 5, DeadlineUs: math.MinInt64}, {Lease: "x", Decode: "d1"}, {Lease: "y", Prefill: "p0"}}},
		},
		3: {&HeldRequest{Domain: "d1", Model: "m"}, &HeldRequest{}},
		4: {&RoomReply{FreeSlots: math.MinInt32}, &RoomReply{FreeSlots: math.MaxInt32}},
		5: {&RoomRequest{Domain: "d1", Model: "m"}, &RoomRequest{}},
	}
}

// checkReservations fails the test if an engine's reservations are negative or differ from the
// sums over its leases.
func checkReservations(t *testing.T, d *Dispatcher) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.audit()
	for id, e := range d.engines {
		if e.reservedSlots < 0 || e.reservedPieces < 0 {
			t.Errorf("engine %s has %d slots and %d pieces reserved", id, e.reservedSlots, e.reservedPieces)
		}
	}
}

// FuzzMessages guards against messages of other instances that panic the dispatcher, take
// long, break its reservations, or keep the requests behind them from being served.
func FuzzMessages(f *testing.F) {
	for kind, list := range fuzzPlacementSeeds() {
		for _, m := range list {
			raw, _ := proto.Marshal(m)
			f.Add(uint8(kind), raw)
		}
	}
	f.Fuzz(func(t *testing.T, kind uint8, raw []byte) {
		k := fuzzedMessages[int(kind)%len(fuzzedMessages)]
		m := k.empty()
		if proto.Unmarshal(raw, m) != nil {
			return
		}
		started, violations := time.Now(), invariant.Violations()
		p, r := newFuzzedPlacement(t)
		defer func() { _ = p.Close() }()
		ctx, cancel := context.WithTimeout(context.Background(), fuzzPlaceTime)
		defer cancel()
		deadline := time.Now().Add(time.Minute)
		held := granted(r.Submit(Request{ID: "held", Attempt: 1, Organisation: "o", Model: "m", PromptTokens: 10, MaxTokens: 10, Deadline: deadline}, "a2"))
		_ = k.handle(ctx, p, r, m) // Most messages are refused.
		checkReservations(t, r.Dispatcher)
		if held != nil {
			r.Release(held.Lease, Outcome{})
		}
		next := r.Submit(Request{ID: "next", Attempt: 1, Organisation: "next", Model: "m", PromptTokens: 1, MaxTokens: 1, Deadline: deadline}, "a2")
		r.Cancel("next.1")
		if len(next) != 1 {
			t.Errorf("the next request got %d decisions", len(next))
		}
		checkReservations(t, r.Dispatcher)
		if elapsed := time.Since(started); elapsed > fuzzInputTime || invariant.Violations() != violations {
			t.Errorf("%d bytes took %v and violated %d invariants", len(raw), elapsed, invariant.Violations()-violations)
		}
	})
}
