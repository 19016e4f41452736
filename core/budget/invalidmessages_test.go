package budget

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// newAnsweredBudget returns a Budget that holds slot 0 of domain d0. Other instances answer its
// calls with reply; "loud" and "even" are the only organisations.
func newAnsweredBudget(reply proto.Message) *Budget {
	b := newSingleBudget(0)
	b.view = membership.NewTable(membership.Member{ID: "a", Domain: "d0"}, b.log, time.Now).View
	b.layout = func() (int, int) { return 2, 4 }
	b.limits = func(org ident.OrganisationID) (Limit, bool) {
		return Limit{Rate: 1000, Burst: 5000}, org == "loud" || org == "even"
	}
	b.peers = func(_ context.Context, _ ident.InstanceID, _ string, _, resp proto.Message) error {
		proto.Reset(resp)
		if proto.MessageName(resp) == proto.MessageName(reply) {
			proto.Merge(resp, reply)
		}
		return nil
	}
	return b
}

// viewWithLender returns the view of instance a with another one in domain d1.
func viewWithLender() *membership.View {
	table := membership.NewTable(membership.Member{ID: "a", Domain: "d0"}, log.NewNopLogger(), time.Now)
	table.RecordHeartbeat(membership.Member{ID: "b", Domain: "d1", PeerAddress: "b"})
	return table.View()
}

// pooled returns the tokens in the pool of an organisation.
func pooled(b *Budget, org ident.OrganisationID) float64 {
	s := b.accounts.shardFor(org)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.account(org).pool.Amount()
}

// TestUnlimitedRateIsInvalid guards against tokens of another instance whose rate is so large
// that an organisation is admitted without a limit.
func TestUnlimitedRateIsInvalid(t *testing.T) {
	for _, rate := range []float64{math.Inf(1), math.MaxFloat64, math.NaN(), math.Inf(-1), -1, 0} {
		m := &AgedInterval{OldestNs: int64(time.Second), TokensPerSecond: rate}
		if a, err := decodeAges(m); err == nil {
			t.Errorf("a rate of %v was decoded as %+v", rate, a)
		}
	}
}

// TestInvalidIntervalCostsOnlyItself guards against an interval of another instance that is out
// of range and with which all other tokens of the message are lost.
func TestInvalidIntervalCostsOnlyItself(t *testing.T) {
	valid := &AgedInterval{OldestNs: int64(time.Second), TokensPerSecond: 100}
	reply := &TakeReply{Stocks: []*Stock{
		{Organisation: "loud", Intervals: []*AgedInterval{{OldestNs: -1, TokensPerSecond: 1}, valid}}, nil,
		{Organisation: "even", Intervals: []*AgedInterval{valid}},
	}}
	b := newAnsweredBudget(reply)
	if err := b.pullTokens(t.Context(), "b", &OfferRequest{Organisations: []string{"loud", "even"}}); err != nil {
		t.Error(err)
	}
	if loud, even := pooled(b, "loud"), pooled(b, "even"); loud != 100 || even != 100 {
		t.Errorf("%v and %v tokens were added, want 100 and 100", loud, even)
	}
}

// TestInvalidTokensLeftAreNone guards against a lender's report that is not a number, after
// which its domain is never asked again, or is infinite, after which it is asked first always.
func TestInvalidTokensLeftAreNone(t *testing.T) {
	for _, left := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64} {
		b := newAnsweredBudget(&SpareReply{Left: left})
		b.view = viewWithLender
		s := b.accounts.shardFor("loud")
		a := s.account("loud")
		b.accounts.borrowFromDomain(t.Context(), s, a, "loud", borrowRequest{"d1", 10})
		later := b.clock.Now().ExpiryTime.Add(time.Second)
		if got := a.borrowing.estimate("d1", later, Limit{Rate: 1000, Burst: 5000}, 2); !(got > 0 && got <= 600) {
			t.Errorf("%v tokens left: a second later %v are expected, want about 500", left, got)
		}
	}
}

// TestInvalidRequestForTokensIsRefused guards against a request for a number of tokens that is
// not a number, for which the age of the tokens that are left is undefined.
func TestInvalidRequestForTokensIsRefused(t *testing.T) {
	b := newAnsweredBudget(&TakeReply{})
	for _, tokens := range []float64{math.NaN(), math.Inf(1), -1} {
		if reply, err := b.serveSpare(t.Context(), "b", &SpareRequest{Organisation: "loud", Tokens: tokens}); !fault.Is(err, fault.BadRequest) {
			t.Errorf("%v tokens: %v, %v, want BadRequest", tokens, reply, err)
		}
	}
}

// TestSlotsOutOfRangeAreNotRecorded guards against announcements of slots that can't exist, each
// of which takes memory for ever.
func TestSlotsOutOfRangeAreNotRecorded(t *testing.T) {
	b := newAnsweredBudget(&TakeReply{})
	known := len(b.slots.slotViews)
	for _, slot := range []int32{-1, math.MinInt32, maxSlots, math.MaxInt32} {
		reply := b.slots.serveAnnounce("b", &AnnounceRequest{Held: []*SlotClaim{{Slot: slot, Epoch: 1}, {Slot: 1, Epoch: 1}}})
		if len(reply.GetRefused()) != 1 || reply.GetRefused()[0].GetSlot() != slot {
			t.Errorf("slot %d: %v", slot, reply)
		}
		b.slots.serveReleased("b", &ReleasedRequest{Slot: slot})
	}
	if got := len(b.slots.slotViews); got != known+1 {
		t.Errorf("%d slots are recorded, want %d", got, known+1)
	}
}

// TestInvalidUseIsLimited guards against a settlement with a number of tokens that the
// reservation doesn't hold, after which the check of the limit is wrong for later admissions.
func TestInvalidUseIsLimited(t *testing.T) {
	for used, want := range map[ident.Tokens]float64{math.MinInt64: 0, -1: 0, 30: 30, 101: 100, math.MaxInt64: 100} {
		b := newAnsweredBudget(&TakeReply{})
		limit, _ := b.limits("loud")
		now := b.clock.Now().ExpiryTime
		b.accounts.addTokens("loud", []Interval{{Start: now.Add(-time.Second), End: now, Rate: 500}})
		c, ok := b.accounts.charge(b.accounts.shardFor("loud"), "loud", limit, 100)
		if !ok {
			t.Fatal("not charged")
		}
		b.accounts.settle("loud", c.reservationID, used)
		if got := b.accounts.shardFor("loud").account("loud").limitCheck.level; got != want {
			t.Errorf("%d of 100 tokens used: the check counts %v, want %v", used, got, want)
		}
	}
}
