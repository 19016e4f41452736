package claims

import (
	"context"
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
	"monsoonfork/core/membership"
)

// fuzzInputTime bounds the time for one input.
const fuzzInputTime = 2 * time.Second

// unreadableTime is how long a claim waits for a log that can't be read.
const unreadableTime = 3 * time.Millisecond

// newFuzzedService returns a service that owns all logs, over a store with value as the head of
// the log of key "k", and a function that stops it.
func newFuzzedService(value []byte) (s *Service, stop func()) {
	m := newMemoryStore(1, 0, 0)
	shardNumber := shardOf(newClaimEntry("k", 1).Call)
	s = &Service{self: "a-1", log: log.NewNopLogger(), now: time.Now, view: func() *membership.View { return &membership.View{} }}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for i := range s.shards {
		l := &shardLog{
			shard: i, store: m.asStore(), now: time.Now, retention: func() time.Duration { return time.Hour },
			holderEnded: func(ident.InstanceID) bool { return false },
		}
		s.shards[i] = newShard(l)
		if i == shardNumber && value != nil {
			m.index++
			m.values[l.headKey()] = keyvalue.Entry{Key: l.headKey(), Value: value, ModifyIndex: m.index}
		}
		s.wg.Go(func() { runWithoutWaits(s.ctx, s.shards[i]) })
	}
	return s, func() { _ = s.Close() }
}

// runWithoutWaits runs a shard without the time between two writes.
func runWithoutWaits(ctx context.Context, s *shard) {
	for {
		s.nextWriteAt = time.Time{}
		batch, ok := s.nextBatch(ctx)
		if !ok {
			return
		}
		s.processBatch(ctx, batch)
	}
}

// appendTo asks a service to append an entry within a time. It reports whether the entry was
// accepted without the answer of an earlier run.
func appendTo(s *Service, e *EntryMessage, within time.Duration) (accepted bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	reply, err := s.serveAppend(ctx, "b-1", &AppendRequest{Entry: e})
	return err == nil && reply.(*AppendReply).GetReplay() == nil, err
}

// claimMessage returns the message that claims the call with the given key.
func claimMessage(key string, attempt int) *EntryMessage {
	e := newClaimEntry(key, attempt)
	return e.message()
}

// fuzzEntries are entries of other instances.
func fuzzEntries() []*EntryMessage {
	valid := newClaimEntry("k", 1)
	entry := func(change func(*EntryMessage)) *EntryMessage {
		m := valid.message()
		change(m)
		return m
	}
	return []*EntryMessage{
		nil, {}, valid.message(), entry(func(m *EntryMessage) { m.Op = -1 }), entry(func(m *EntryMessage) { m.Op = math.MaxInt32 }),
		entry(func(m *EntryMessage) { m.Op = int32(Done) }), entry(func(m *EntryMessage) { m.Op, m.Answer = int32(Done), &AnswerMessage{Status: -1} }),
		entry(func(m *EntryMessage) { m.Op = int32(Release) }), entry(func(m *EntryMessage) { m.AtUnixMs, m.DeadlineUnixMs = math.MaxInt64, math.MaxInt64 }),
		entry(func(m *EntryMessage) { m.AtUnixMs, m.DeadlineUnixMs = math.MinInt64, math.MinInt64 }), entry(func(m *EntryMessage) { m.Call = "short" }),
		entry(func(m *EntryMessage) { m.Claim = "" }), entry(func(m *EntryMessage) { m.Holder, m.Request = "", "" }),
	}
}

// FuzzAppend guards against entries of other instances that panic the owner of a log, take long,
// let a call run that another claim holds, or keep other calls from being claimed.
func FuzzAppend(f *testing.F) {
	for _, e := range fuzzEntries() {
		raw, _ := proto.Marshal(&AppendRequest{Entry: e})
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		req := &AppendRequest{}
		if proto.Unmarshal(raw, req) != nil {
			return
		}
		s, stop := newFuzzedService(nil)
		defer stop()
		held := newClaimEntry("k", 1)
		if ok, err := appendTo(s, held.message(), fuzzInputTime); !ok {
			t.Fatalf("the first claim: %v", err)
		}
		e := req.GetEntry()
		started := time.Now()
		accepted, _ := appendTo(s, e, fuzzInputTime)
		if elapsed := time.Since(started); elapsed > fuzzInputTime {
			t.Errorf("%d bytes took %v", len(raw), elapsed)
		}
		if accepted && Op(e.GetOp()) == Claim && CallHash(e.GetCall()) == held.Call && ClaimID(e.GetClaim()) != held.Claim {
			t.Errorf("a second claim of the call was granted: %v", e)
		}
		if ended := CallHash(e.GetCall()) == held.Call && ClaimID(e.GetClaim()) == held.Claim && Op(e.GetOp()) != Claim; !ended {
			if ok, _ := appendTo(s, claimMessage("k", 2), fuzzInputTime); ok {
				t.Errorf("a second claim of the call was granted after %v", e)
			}
		}
		if ok, err := appendTo(s, claimMessage("next", 1), fuzzInputTime); !ok {
			t.Errorf("the next call: %v", err)
		}
	})
}

// FuzzStoredHead guards against a head in the store that panics, takes long, lets a call run
// again that it says was claimed, or is not the same after it is written.
func FuzzStoredHead(f *testing.F) {
	e := newClaimEntry("k", 1)
	done := e
	done.Op, done.Answer = Done, &Answer{Status: 201, Body: []byte("x")}
	for _, head := range []Head{{}, {Entries: []Entry{e}}, {Seq: math.MaxInt64, Entries: []Entry{e, done}}, {Seq: -1, Entries: []Entry{done, e}}} {
		raw, _ := json.Marshal(head)
		f.Add(raw)
	}
	for _, raw := range []string{"", "null", "[]", `{"Entries":[null]}`, `{"Entries":[{}]}`, `{"Entries":[{"Op":3}]}`, `{"Seq":1e400}`, "\xff"} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		started := time.Now()
		s, stop := newFuzzedService(raw)
		defer stop()
		var head Head
		if json.Unmarshal(raw, &head) == nil {
			granted, err := appendTo(s, claimMessage("k", 2), fuzzInputTime)
			checkHead(t, head, granted, err)
		} else if granted, _ := appendTo(s, claimMessage("k", 2), unreadableTime); granted {
			t.Errorf("a claim was granted although the log can't be read: %q", raw)
		}
		if elapsed := time.Since(started); elapsed > fuzzInputTime {
			t.Errorf("%d bytes took %v", len(raw), elapsed)
		}
	})
}

// checkHead fails the test if a claim was granted against the log, or refused without a claim in
// it, or if the log is another one after it is written.
func checkHead(t *testing.T, head Head, granted bool, err error) {
	t.Helper()
	calls := make(callIndex)
	for i := range head.Entries {
		calls.apply(&head.Entries[i], func(at time.Time) bool { return time.Since(at) > time.Hour })
	}
	r, claimed := calls[newClaimEntry("k", 1).Call]
	if claimed = claimed && time.Since(r.claimedAt) <= time.Hour; granted == claimed {
		t.Errorf("granted %v, %v, for the log %+v", granted, err, head)
	}
	written, err := json.Marshal(head)
	if err != nil {
		t.Fatal(err)
	}
	var again Head
	if err := json.Unmarshal(written, &again); err != nil {
		t.Fatalf("%s: %v", written, err)
	}
	if second, err := json.Marshal(again); err != nil || string(second) != string(written) {
		t.Errorf("%s is written as %s, %v", written, second, err)
	}
}
