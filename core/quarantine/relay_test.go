package quarantine

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// sentRecords counts the crashes and cleared parts that an instance sends to others.
type sentRecords struct {
	mu      sync.Mutex
	crashes map[ident.InstanceID]int
	cleared map[ident.InstanceID]int
}

// call counts the records of a call.
func (s *sentRecords) call(_ context.Context, to ident.InstanceID, _ string, req, _ proto.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := req.(*Exchange); ok {
		s.crashes[to] += len(m.GetCrashes())
		s.cleared[to] += len(m.GetCleared())
	}
	return nil
}

// TestRelaySendsOnWhatItKnew guards against a domain that learns of a crash a second late, since
// the member that is asked to send it on has just learned of it by a comparison.
func TestRelaySendsOnWhatItKnew(t *testing.T) {
	sent := &sentRecords{crashes: make(map[ident.InstanceID]int), cleared: make(map[ident.InstanceID]int)}
	table := membership.NewTable(membership.Member{ID: "a1", Domain: "a"}, log.NewNopLogger(), time.Now)
	fellows := []ident.InstanceID{"a2", "a3"}
	for _, id := range fellows {
		table.RecordHeartbeat(membership.Member{ID: id, Domain: "a", PeerAddress: ident.Address(id)})
	}
	relay := New("a1", log.NewNopLogger(), metrics.NewRegistry(), time.Now, WithPeers(table.View, sent.call))
	now := time.Now()
	crash := Crash{Scope: deadlyPrompt.Scope, Run: Run{Engine: "e1"}, Reporter: "b1", Parts: []ident.PartID{first, deadly}, At: now}
	for _, isRelayed := range []bool{false, true} {
		m := &Exchange{Relay: isRelayed, Crashes: []*CrashRecord{crashMessage(crash, now)}, Cleared: []*ClearedPart{clearedMessage(clearedPart{crash.Scope, first, now}, now)}}
		if _, err := relay.ServeExchange(t.Context(), "b1", m); err != nil {
			t.Fatal(err)
		}
		relay.sendPending(t.Context())
	}
	if slices.ContainsFunc(fellows, func(id ident.InstanceID) bool { return sent.crashes[id] != 1 || sent.cleared[id] != 1 }) {
		t.Errorf("crashes sent %v, cleared parts sent %v; want one of each to each of %v", sent.crashes, sent.cleared, fellows)
	}
}
