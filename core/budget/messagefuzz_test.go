package budget

import (
	"context"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/keyvalue"
)

// fuzzInputTime bounds the time for one message.
const fuzzInputTime = 2 * time.Second

// newFuzzedBudget returns a Budget that holds slot 0 of domain d0, with an instance b in domain
// d1 that answers its calls with reply.
func newFuzzedBudget(reply proto.Message) *Budget {
	b := newAnsweredBudget(reply)
	b.view = viewWithLender
	b.store = slotStore{
		get: func(context.Context, int) (storedSlot, error) {
			return storedSlot{record: slotRecord{Holder: "b", Epoch: 1}, version: 1}, nil
		},
		list: func(context.Context) (map[int]storedSlot, error) { return map[int]storedSlot{}, nil },
		swap: func(context.Context, int, slotRecord, uint64) keyvalue.Outcome { return keyvalue.Written },
	}
	return b
}

// fuzzedMessage is a kind of message of other instances, and what handles it.
type fuzzedMessage struct {
	empty  func() proto.Message
	handle func(ctx context.Context, b *Budget, m proto.Message)
}

// served returns the kind of a message that a handler serves.
func served[Req any, ReqPtr interface {
	*Req
	proto.Message
}](serve func(b *Budget, ctx context.Context, from ident.InstanceID, m ReqPtr) (proto.Message, error)) fuzzedMessage {
	return fuzzedMessage{
		func() proto.Message { return ReqPtr(new(Req)) },
		func(ctx context.Context, b *Budget, m proto.Message) { _, _ = serve(b, ctx, "b", m.(ReqPtr)) }, // Most are refused.
	}
}

// fuzzedMessages are the kinds of messages that an instance gets, replies to its own calls last.
var fuzzedMessages = []fuzzedMessage{
	served((*Budget).serveAdmit), served((*Budget).serveSettle), served((*Budget).serveTake), served((*Budget).serveSpare),
	served((*Budget).serveOffer), served((*Budget).servePull), served((*Budget).serveAnnounce), served((*Budget).serveRenew), served((*Budget).serveReleased),
	{func() proto.Message { return &TakeReply{} }, func(ctx context.Context, b *Budget, _ proto.Message) {
		_ = b.pullTokens(ctx, "b", &OfferRequest{Organisations: []string{"loud"}})
		b.collector.send("b", map[ident.OrganisationID]*pendingCollect{"even": {done: make(chan struct{})}})
	}},
	{func() proto.Message { return &SpareReply{} }, func(ctx context.Context, b *Budget, _ proto.Message) {
		s := b.accounts.shardFor("loud")
		b.accounts.borrowFromDomain(ctx, s, s.account("loud"), "loud", borrowRequest{"d1", 10})
	}},
	{func() proto.Message { return &AnnounceReply{} }, func(ctx context.Context, b *Budget, _ proto.Message) {
		b.slots.announceTo(ctx, "b", b.slots.startRound())
	}},
}

// fuzzBudgetSeeds are messages by their kind's position in fuzzedMessages.
func fuzzBudgetSeeds() map[int][]proto.Message {
	odd := []*AgedInterval{
		nil, {OldestNs: -1, TokensPerSecond: 1}, {OldestNs: 1, NewestNs: 2, TokensPerSecond: 1}, {OldestNs: math.MaxInt64, TokensPerSecond: 1}, {OldestNs: int64(maxIntervalLength), TokensPerSecond: maxIntervalRate},
		{OldestNs: 1e9, TokensPerSecond: math.NaN()}, {OldestNs: 1e9, TokensPerSecond: math.Inf(1)}, {OldestNs: 1e9, TokensPerSecond: 100}, {OldestNs: 2e9, NewestNs: 5e8, TokensPerSecond: 5e-324},
	}
	return map[int][]proto.Message{
		0:  {&AdmitRequest{Organisation: "loud", Tokens: 5}, &AdmitRequest{Organisation: "loud", Tokens: -5}, &AdmitRequest{Organisation: "loud", Tokens: math.MaxInt64}, &AdmitRequest{Organisation: "none"}},
		1:  {&SettleRequest{Organisation: "loud", Reservation: math.MaxUint64, UsedTokens: math.MinInt64}, &SettleRequest{}},
		2:  {&TakeRequest{Organisations: []string{"loud", "loud", "none", ""}}},
		3:  {&SpareRequest{Organisation: "loud", Tokens: 100}, &SpareRequest{Organisation: "loud", Tokens: math.NaN()}, &SpareRequest{Organisation: "loud", Tokens: math.Inf(1)}, &SpareRequest{Organisation: "loud", Tokens: 5e-324}},
		4:  {&OfferRequest{Organisations: []string{"loud", ""}}},
		5:  {&TakeRequest{Organisations: []string{"loud", "loud", "none"}}},
		6:  {&AnnounceRequest{Held: []*SlotClaim{nil, {Slot: -1, Epoch: -1}, {Slot: math.MaxInt32, Epoch: 1}, {Epoch: math.MaxInt64}, {Slot: 1, Epoch: 1}}}, &AnnounceRequest{Held: []*SlotClaim{{Epoch: 1}}}},
		7:  {&RenewRequest{}, &RenewRequest{Slot: &SlotClaim{Slot: -1, Epoch: 1}}},
		8:  {&ReleasedRequest{}, &ReleasedRequest{Slot: math.MinInt32}},
		9:  {&TakeReply{Stocks: []*Stock{nil, {Organisation: "loud", Intervals: odd}, {Organisation: "even", Intervals: odd}, {Organisation: "none", Intervals: odd}}}},
		10: {&SpareReply{Left: math.NaN(), Stock: &Stock{Organisation: "even", Intervals: odd}}, &SpareReply{Left: math.Inf(1)}},
		11: {&AnnounceReply{Refused: []*SlotClaim{nil, {Slot: -1}, {Epoch: math.MaxInt64}}}},
	}
}

// checkTokens fails the test if an organisation's tokens are not a number from 0 on.
func checkTokens(t *testing.T, b *Budget) {
	t.Helper()
	for _, org := range []ident.OrganisationID{"loud", "even"} {
		if n := pooled(b, org); !(n >= 0 && n <= math.MaxFloat64) {
			t.Errorf("organisation %s has %v tokens", org, n)
		}
	}
}

// FuzzMessages guards against messages of other instances that panic, take long, take memory
// for ever, or make the tokens of an organisation something else than a number, and checks that
// the next tokens are received.
func FuzzMessages(f *testing.F) {
	for kind, list := range fuzzBudgetSeeds() {
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
		b := newFuzzedBudget(m)
		defer b.collector.close()
		k.handle(t.Context(), b, m)
		checkTokens(t, b)
		before := pooled(b, "even")
		b.accounts.addTokens("even", b.decodeStock("b", &Stock{Intervals: []*AgedInterval{{OldestNs: 1e9, TokensPerSecond: 100}}}, b.clock.Now().ExpiryTime))
		if added := pooled(b, "even") - before; before < 1e6 && math.Abs(added-100) > 1 {
			t.Errorf("%v of 100 tokens were added", added)
		}
		if _, err := b.serveAdmit(t.Context(), "b", &AdmitRequest{Organisation: "even", Tokens: 50}); err != nil {
			t.Errorf("the next request: %v", err)
		}
		checkTokens(t, b)
		if len(b.slots.slotViews) > maxSlots || invariant.Violations() != violations {
			t.Errorf("%d slots are recorded, %d invariants violated", len(b.slots.slotViews), invariant.Violations()-violations)
		}
		if elapsed := time.Since(started); elapsed > fuzzInputTime {
			t.Errorf("%d bytes took %v", len(raw), elapsed)
		}
	})
}
