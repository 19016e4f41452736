package share

import (
	"context"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// fuzzInputTime bounds the time for one message.
const fuzzInputTime = 2 * time.Second

// newFuzzedShares returns the Shares of one of four instances, with other answers to its calls.
func newFuzzedShares(now func() time.Time, answer proto.Message) *Shares {
	table := membership.NewTable(membership.Member{ID: "a1", Domain: "a", PeerAddress: "a1"}, nopLogger, now)
	for _, id := range []string{"a2", "b1", "b2"} {
		table.RecordHeartbeat(membership.Member{ID: ident.InstanceID(id), Domain: ident.DomainID(id[:1]), PeerAddress: ident.Address(id)})
	}
	call := func(_ context.Context, _ ident.InstanceID, _ string, _, resp proto.Message) error {
		if proto.MessageName(resp) == proto.MessageName(answer) {
			proto.Merge(resp, answer)
		}
		return nil
	}
	s := New(table.View, func() int { return 4 }, call, nopLogger, now, bootTimeOf(now))
	s.random = func() float64 { return 0 }
	return s
}

// fuzzUsages are usages in messages of other instances.
func fuzzUsages() []*Usage {
	return []*Usage{
		nil, {}, {Organisation: "loud", Tokens: 5, Asked: 9}, {Organisation: "loud", Tokens: -5, Asked: -9}, {Organisation: "loud", Tokens: 1 << 40, Asked: 1 << 40},
		{Organisation: "loud", Tokens: math.MaxInt64, Asked: math.MaxInt64}, {Organisation: "loud", Tokens: math.MinInt64, Asked: math.MinInt64}, {Organisation: "none", Tokens: 7},
	}
}

// fuzzedMessages are the kinds of messages that an instance gets.
var fuzzedMessages = []struct {
	empty  func() proto.Message
	handle func(ctx context.Context, s *Shares, m proto.Message) proto.Message
}{
	{func() proto.Message { return &Report{} }, func(ctx context.Context, s *Shares, m proto.Message) proto.Message {
		reply, _ := s.ServeReport(ctx, "a2", m.(*Report))
		return reply
	}},
	{func() proto.Message { return &Exchange{} }, func(ctx context.Context, s *Shares, m proto.Message) proto.Message {
		reply, _ := s.ServeExchange(ctx, "b1", m.(*Exchange))
		return reply
	}},
	{func() proto.Message { return &ReportReply{} }, func(ctx context.Context, s *Shares, _ proto.Message) proto.Message {
		_ = s.reportTo(ctx, "a2") // An invalid share is refused.
		return nil
	}},
	{func() proto.Message { return &ExchangeReply{} }, func(ctx context.Context, s *Shares, _ proto.Message) proto.Message {
		_ = s.exchangeWith(ctx, "b", "b1")
		return nil
	}},
}

// fuzzSeeds are messages by their kind's position in fuzzedMessages.
func fuzzSeeds() map[int][]proto.Message {
	all := fuzzUsages()
	return map[int][]proto.Message{
		0: {&Report{Admitted: all}, &Report{Admitted: all[5:6]}, &Report{}},
		1: {&Exchange{Domain: "b", Admitted: all, Members: 2}, &Exchange{Domain: "a", Members: -1}, &Exchange{Domain: "b", Members: 1 << 40}, &Exchange{Domain: "b", Members: math.MaxInt64}, &Exchange{Members: math.MinInt64, Admitted: all[4:5]}},
		2: {
			&ReportReply{Part: 1, Others: all}, &ReportReply{Part: 0.5, Others: all[5:6]}, &ReportReply{Part: 1, Others: all[6:7]}, &ReportReply{Part: math.NaN()},
			&ReportReply{Part: -1}, &ReportReply{Part: math.Inf(1), Others: all}, &ReportReply{Part: 5e-324, Others: all}, &ReportReply{Part: 1, Others: all[3:4]},
		},
		3: {&ExchangeReply{}, &ExchangeReply{Exchange: &Exchange{Domain: "b", Members: 1 << 40, Admitted: all}}},
	}
}

// checkShares fails the test if a level is above what the bucket may hold or not a number, or the
// fraction of the rates is not one.
func checkShares(t *testing.T, s *Shares, reply proto.Message) {
	t.Helper()
	for name, b := range s.buckets {
		if !(b.level <= b.burst) || math.IsInf(b.level, 0) {
			t.Errorf("bucket of %s has level %v of %v", name, b.level, b.burst)
		}
	}
	if f := s.currentFraction(); !(f > 0 && f <= 1) {
		t.Errorf("the fraction of the rates is %v", f)
	}
	if r, ok := reply.(*ReportReply); ok && !(r.GetPart() > 0 && r.GetPart() <= 1) {
		t.Errorf("a member is told a fraction of %v", r.GetPart())
	}
}

// TestExchangedMembersDoNotOverflow guards against a number of members of another domain whose
// sum with the own ones overflows, so that the members receive a share that is no fraction, which
// they refuse: they then use only what an instance may alone.
func TestExchangedMembersDoNotOverflow(t *testing.T) {
	s := newFuzzedShares(time.Now, nil)
	if _, err := s.ServeExchange(t.Context(), "b1", &Exchange{Domain: "b", Members: math.MaxInt64}); err != nil {
		t.Fatal(err)
	}
	reply, err := s.ServeReport(t.Context(), "a2", &Report{})
	if err != nil {
		t.Fatal(err)
	}
	checkShares(t, s, reply)
}

// FuzzMessages guards against messages of other instances that panic, take long, let a bucket
// hold more than its burst or something else than a number, or tell a member a share that is no
// fraction, and checks that an organisation's next request is decided.
func FuzzMessages(f *testing.F) {
	for kind, list := range fuzzSeeds() {
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
		started, now := time.Now(), time.Now()
		s := newFuzzedShares(func() time.Time { return now }, m)
		o := organisation(10_000, 10_000)
		s.Admit(o, 1, 0)
		for range 3 { // The first report of a collector or a source is only compared with.
			reply := k.handle(context.Background(), s, m)
			now = now.Add(reportInterval)
			s.Admit(o, 1, 0)
			checkShares(t, s, reply)
		}
		reply, err := s.ServeReport(context.Background(), "b2", &Report{})
		if err != nil {
			t.Error(err)
		}
		checkShares(t, s, reply)
		now = now.Add(time.Minute)
		if a := s.Admit(o, 1, 0); !a.Granted && kind < 2 {
			t.Errorf("a minute later a request is refused until %v", a.RetryAt.Sub(now))
		}
		if elapsed := time.Since(started); elapsed > fuzzInputTime {
			t.Errorf("%d bytes took %v", len(raw), elapsed)
		}
	})
}
