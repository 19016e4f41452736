package replication

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
	"monsoonfork/core/sleep"
	"monsoonfork/core/stagecontrol"
)

// fakeStore is a store that instances follow. It also counts the list entries that they
// send each other.
type fakeStore struct {
	mu           sync.Mutex
	version      ident.Revision
	refuses      map[ident.InstanceID]bool // Instances whose calls it refuses.
	followers    map[ident.InstanceID]bool
	listed       map[ident.InstanceID]bool // Instances that have ever followed the store.
	partitioned  bool                      // Whether the domains can't reach each other.
	engineCount  int                       // Number of engines in the list; 0 counts as 1.
	sentEntries  int                       // List entries that instances have sent each other.
	largestReply int                       // Number of entries in the largest reply.
	sentBy       map[ident.InstanceID]int
}

// list returns the list of engines at a version.
func (s *fakeStore) list(v ident.Revision) []engines.Entry {
	all := make([]engines.Entry, 0, max(1, s.engineCount))
	for n := range max(1, s.engineCount) {
		all = append(all, engines.Entry{ID: ident.EndpointID(fmt.Sprintf("e%d", n)), Service: "s", ListRevision: int64(v)})
	}
	return all
}

// countSent counts the entries of a reply.
func (s *fakeStore) countSent(by ident.InstanceID, reply proto.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sentBy == nil {
		s.sentBy = make(map[ident.InstanceID]int)
	}
	n := len(reply.(*PullReply).GetEngines())
	s.sentEntries += n
	s.sentBy[by] += n
	s.largestReply = max(s.largestReply, n)
}

// resetSentEntries returns how many entries were sent since its last call, and restarts
// the count.
func (s *fakeStore) resetSentEntries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.sentEntries
	s.sentEntries = 0
	return n
}

// instance is one instance of a fleet.
type instance struct {
	*Replicator
	id ident.InstanceID

	mu      sync.Mutex
	version ident.Revision
	healthy bool
	notices stagecontrol.NoticeBoard
}

// applyConfig stores the version of a configuration, unless it is older.
func (i *instance) applyConfig(v ident.Revision) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.version = max(i.version, v)
}

func (i *instance) configVersion() ident.Revision {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.version
}

// newFleet starts instances in two domains, a and b, with the given number of members each.
func newFleet(t *testing.T, st *fakeStore, members int) map[ident.InstanceID]*instance {
	t.Helper()
	return newFleetWith(t, st, members, func(*instance) {})
}

// newFleetWith is newFleet with a change of each instance before it starts.
func newFleetWith(t *testing.T, st *fakeStore, members int, change func(*instance)) map[ident.InstanceID]*instance {
	t.Helper()
	fleet := make(map[ident.InstanceID]*instance)
	var all []membership.Member
	for _, domain := range []string{"a", "b"} {
		for m := range members {
			id := ident.InstanceID(fmt.Sprintf("%s%d", domain, m))
			all = append(all, membership.Member{ID: id, Domain: ident.DomainID(domain), PeerAddress: ident.Address(id)})
			fleet[id] = &instance{id: id, notices: stagecontrol.NoticeBoard{Now: time.Now, ChangeTime: func() time.Duration { return 0 }}}
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, self := range all {
		table := membership.NewTable(self, log.NewNopLogger(), time.Now)
		for _, m := range all {
			if m.ID != self.ID {
				table.RecordHeartbeat(m)
			}
		}
		fleet[self.ID].Replicator = newReplicator(fleet, st, fleet[self.ID], table)
		change(fleet[self.ID])
	}
	for _, i := range fleet {
		wg.Go(func() { i.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	return fleet
}

// newReplicator returns the Replicator of one instance, whose calls go through fleet.
func newReplicator(fleet map[ident.InstanceID]*instance, st *fakeStore, i *instance, table *membership.Table) *Replicator {
	return &Replicator{
		View: table.View,
		Call: func(ctx context.Context, to ident.InstanceID, _ string, req, resp proto.Message) error {
			if st.isPartitioned(i.id, to) || fleet[to] == nil {
				return fault.New(fault.PeerUnavailable, "partitioned")
			}
			reply, err := fleet[to].Serve(ctx, i.id, req.(*PullRequest))
			if err == nil {
				st.countSent(to, reply)
				proto.Merge(resp, reply)
			}
			return err
		},
		Table:   engines.NewTable(),
		Version: i.configVersion,
		Config:  func() []byte { return fmt.Append(nil, i.configVersion()) },
		ApplyConfig: func(raw []byte) {
			var v ident.Revision
			_, _ = fmt.Sscan(string(raw), &v)
			i.applyConfig(v)
		},
		Follow:   func(ctx context.Context) { st.follow(ctx, i) },
		Healthy:  func() (bool, time.Time) { i.mu.Lock(); defer i.mu.Unlock(); return i.healthy, time.Time{} },
		Settling: func() bool { return false },
		Notice:   func() ([]byte, int64) { return i.notices.Newest() },
		ApplyNotice: func(raw []byte, revision int64) {
			// The error is ignored: the notices of these tests are valid.
			_ = i.notices.Put(raw, revision)
			i.NotifyChange()
		},
		RegisteredInstances: func() int { return len(fleet) },
		FirstPeers:          func() []ident.Address { return []ident.Address{table.Self().PeerAddress} },
		SetRegistered:       func(int) {},
		Now:                 time.Now,
		Log:                 log.NewNopLogger(),
	}
}

// follow applies the store's contents to an instance until ctx ends.
func (s *fakeStore) follow(ctx context.Context, i *instance) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.followers[i.id] = true
		if s.listed == nil {
			s.listed = make(map[ident.InstanceID]bool)
		}
		s.listed[i.id] = true
		refused, v := s.refuses[i.id], s.version
		s.mu.Unlock()
		i.mu.Lock()
		changed := i.healthy == refused || i.version < v && !refused
		i.healthy = !refused
		i.mu.Unlock()
		if !refused {
			i.applyConfig(v)
			i.Table.Replace(s.list(v), int64(v))
		}
		if changed {
			i.NotifyChange()
		}
		sleep.For(ctx, 5*time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.followers, i.id)
}

// setState sets the version and the instances whose calls the store refuses.
func (s *fakeStore) setState(v ident.Revision, refused ...ident.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = v
	s.refuses = make(map[ident.InstanceID]bool)
	for _, id := range refused {
		s.refuses[id] = true
	}
}

// isPartitioned reports whether two instances can't reach each other.
func (s *fakeStore) isPartitioned(x, y ident.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitioned && x[0] != y[0]
}

func (s *fakeStore) followerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.followers)
}

// awaitVersion waits until all instances have a version of the configuration, and returns
// how long that took.
func awaitVersion(t *testing.T, fleet map[ident.InstanceID]*instance, v ident.Revision) time.Duration {
	t.Helper()
	started := time.Now()
	for _, i := range fleet {
		for i.configVersion() < v {
			if time.Since(started) > 5*time.Second {
				t.Fatalf("%s has version %d, want %d", i.id, i.configVersion(), v)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	return time.Since(started)
}
