package membership

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/config"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// newFuzzedService returns the service of instance a1, which makes no calls, with a live member
// a2 of its domain a and one of domain b.
func newFuzzedService() *Service {
	table := NewTable(Member{ID: "a1", Domain: "a", PeerAddress: "a1"}, log.NewNopLogger(), time.Now)
	table.RecordHeartbeat(Member{ID: "a2", Domain: "a", PeerAddress: "a2", Counter: 5})
	table.RecordHeartbeat(Member{ID: "b1", Domain: "b", PeerAddress: "b1"})
	return &Service{Table: table, log: table.log, holder: config.NewHolder(), now: time.Now, interval: time.Second, ctx: context.Background(), closed: true}
}

// fuzzRecords are records of other instances.
func fuzzRecords() []*MemberRecord {
	return []*MemberRecord{
		nil, {}, {Instance: "a1", Domain: "a", PeerAddress: "x"}, {Instance: "a1", Domain: "b", PeerAddress: "a1", Leaving: true}, {Instance: "a2", Domain: "b", PeerAddress: "b1"},
		{Instance: "a9", Domain: "a", PeerAddress: "a1", StartedUnixUs: math.MaxInt64}, {Instance: "b9", Domain: "b", PeerAddress: "b1", StartedUnixUs: math.MinInt64}, {Instance: "c1", Domain: "c", PeerAddress: "c1"},
	}
}

// checkTable fails the test if this instance is not a live member of its domain, or a member is
// incomplete.
func checkTable(t *testing.T, s *Service, maxMembers int) {
	t.Helper()
	v := s.Table.View()
	if m, ok := v.Member("a1"); !ok || m.Domain != "a" || m.State != Live || m.PeerAddress != "a1" || v.Self.State != Live {
		t.Errorf("this instance is %+v in its table", m)
	}
	if n := len(v.Members()); n > maxMembers {
		t.Errorf("%d members, want at most %d", n, maxMembers)
	}
	for _, m := range v.Members() {
		if m.ID == "" || m.Domain == "" || m.PeerAddress == "" {
			t.Errorf("member %+v is incomplete", m)
		}
	}
}

// FuzzMessages guards against heartbeats and views of other instances that panic, take long, or
// make this instance leave its domain or list incomplete members, and checks that the next
// member is live.
func FuzzMessages(f *testing.F) {
	for _, r := range fuzzRecords() {
		for _, d := range fuzzDigests() {
			raw, _ := proto.Marshal(&Heartbeat{Self: r, Counter: math.MaxInt64, Revision: -1, Digest: d})
			f.Add(false, raw)
		}
	}
	raw, _ := proto.Marshal(&ViewReply{Members: fuzzRecords()})
	f.Add(true, raw)
	f.Fuzz(func(t *testing.T, isView bool, raw []byte) {
		s, started := newFuzzedService(), time.Now()
		heartbeat, view := &Heartbeat{}, &ViewReply{}
		switch {
		case isView && proto.Unmarshal(raw, view) == nil:
			s.Table.mergeView(link.Remote{Instance: "b1", Domain: "b"}, view)
		case !isView && proto.Unmarshal(raw, heartbeat) == nil:
			if _, err := s.serveHeartbeat(context.Background(), "b1", heartbeat); err != nil {
				t.Errorf("heartbeat %v: %v", heartbeat, err)
			}
		}
		checkTable(t, s, 4+len(view.GetMembers()))
		next := &Heartbeat{Self: &MemberRecord{Instance: "next", Domain: "a", PeerAddress: "next", StartedUnixUs: math.MaxInt64}, Counter: math.MaxInt64}
		s.applyHeartbeat("next", next)
		if m, ok := s.Table.View().Member(ident.InstanceID("next")); !ok || m.State == Silent {
			t.Errorf("the next member is %+v", m)
		}
		checkTable(t, s, 5+len(view.GetMembers()))
		if elapsed := time.Since(started); elapsed > 2*time.Second {
			t.Errorf("%d bytes took %v", len(raw), elapsed)
		}
	})
}
