package membership

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"monsoonfork/core/config"
	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/core/settings"
	"monsoonfork/io/peer"
)

// testHeartbeat is the heartbeat interval of the tests' services.
const testHeartbeat = 50 * time.Millisecond

// testService is a service and the links that it uses.
type testService struct {
	*Service
	peerLinks *peer.Links
}

// stop ends the service and its links, as the end of its process does.
func (s *testService) stop() {
	_ = s.Close()
	_ = s.peerLinks.Close()
}

// startTestService starts a service that listens at address, or on a free port if address
// is empty.
func startTestService(t *testing.T, name string, domain ident.DomainID, address ident.Address, firstPeers ...ident.Address) *testService {
	t.Helper()
	n := kernel.NewNode(&settings.Settings{
		Name:        name,
		Domain:      domain,
		HeartbeatMS: testHeartbeat.Milliseconds(),
		FirstPeers:  firstPeers,
	}, log.NewNopLogger())
	if address == "" {
		address = "127.0.0.1:0"
	}
	return startNode(t, n, address)
}

// startNode starts the service of a node that listens at address.
func startNode(t *testing.T, n *kernel.Node, address ident.Address) *testService {
	t.Helper()
	domain := n.Settings.Domain
	links := peer.New(n.ID, domain, log.NewNopLogger())
	bound, err := links.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	self := Member{ID: n.ID, Domain: domain, PeerAddress: bound, Started: n.Started}
	s := newService(NewTable(self, log.NewNopLogger(), time.Now), links.RoleLinks(), config.NewHolder(), n)
	s.run()
	started := &testService{Service: s, peerLinks: links}
	t.Cleanup(started.stop)
	return started
}

// waitState waits until the view of s has member id in the state want.
func waitState(t *testing.T, s *testService, id ident.InstanceID, want State) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		m, ok := s.Table.View().Member(id)
		if ok && m.State == want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("view of %s: member %s is %v (known: %v), want %v", s.Table.Self().ID, id, m.State, ok, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestMembersDiscoverEachOtherThroughOneFirstPeer(t *testing.T) {
	a := startTestService(t, "a", "d1", "")
	first := a.Table.Self().PeerAddress
	all := []*testService{
		a,
		startTestService(t, "b", "d1", "", first),
		startTestService(t, "c", "d2", "", first),
		startTestService(t, "d", "d2", "", first),
	}
	for _, s := range all {
		for _, other := range all {
			waitState(t, s, other.Table.Self().ID, Live)
		}
	}
	for i := range 20 {
		key := fmt.Sprint("key/", i)
		want, _ := a.Table.View().GlobalOwner(key)
		for _, s := range all {
			if got, _ := s.Table.View().GlobalOwner(key); got.ID != want.ID {
				t.Errorf("owner of %s in the view of %s is %s, want %s", key, s.Table.Self().ID, got.ID, want.ID)
			}
		}
	}
}

func TestPartitionedDomainIsSilentUntilItHeals(t *testing.T) {
	a := startTestService(t, "a", "d1", "")
	b := startTestService(t, "b", "d2", "", a.Table.Self().PeerAddress)
	idA, idB := a.Table.Self().ID, b.Table.Self().ID
	waitState(t, a, idB, Live)
	waitState(t, b, idA, Live)
	a.peerLinks.Partition().Cut("d2")
	waitState(t, a, idB, Silent)
	waitState(t, b, idA, Silent)
	a.peerLinks.Partition().Cut()
	waitState(t, a, idB, Live)
	waitState(t, b, idA, Live)
}

func TestEndedProcessIsGone(t *testing.T) {
	a := startTestService(t, "a", "d1", "")
	b := startTestService(t, "b", "d1", "", a.Table.Self().PeerAddress)
	idB := b.Table.Self().ID
	waitState(t, a, idB, Live)
	b.stop()
	waitState(t, a, idB, Gone)
}

func TestReplacedProcessIsGoneAndItsSuccessorIsLive(t *testing.T) {
	a := startTestService(t, "a", "d1", "")
	b := startTestService(t, "b", "d1", "", a.Table.Self().PeerAddress)
	idB := b.Table.Self().ID
	waitState(t, a, idB, Live)
	address := b.Table.Self().PeerAddress
	b.stop()
	successor := startTestService(t, "b", "d1", address, a.Table.Self().PeerAddress)
	waitState(t, a, idB, Gone)
	waitState(t, a, successor.Table.Self().ID, Live)
}

func TestLeavingMemberOwnsNoKeys(t *testing.T) {
	a := startTestService(t, "a", "d1", "")
	b := startTestService(t, "b", "d1", "", a.Table.Self().PeerAddress)
	idB := b.Table.Self().ID
	waitState(t, a, idB, Live)
	b.Leave()
	waitState(t, a, idB, Leaving)
	for i := range 50 {
		if owner, _ := a.Table.View().Owner("d1", fmt.Sprint(i)); owner.ID == idB {
			t.Fatalf("leaving member owns key %d", i)
		}
	}
}

func TestPausedDaemonDoesNotMarkOthersSilent(t *testing.T) {
	now := time.Now()
	self := Member{ID: "a-1", Domain: "d1"}
	s := &Service{
		Table:    NewTable(self, log.NewNopLogger(), func() time.Time { return now }),
		now:      func() time.Time { return now },
		interval: testHeartbeat,
		lastRun:  now,
	}
	s.Table.RecordHeartbeat(Member{ID: "b-1", Domain: "d1", PeerAddress: "127.0.0.1:1"})
	now = now.Add(time.Minute) // Simulates a pause of this process.
	s.detectPause()
	s.expireMembers()
	if m, _ := s.Table.View().Member("b-1"); m.State != Live {
		t.Errorf("member is %v after this process was paused, want Live", m.State)
	}
}

// TestRemovingAMemberMovesOnlyItsKeys checks that only the keys which a removed member owned
// get another owner.
func TestRemovingAMemberMovesOnlyItsKeys(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("only keys of the removed member get another owner", prop.ForAll(
		func(count, removed int) bool {
			removed %= count
			members := make(map[ident.InstanceID]Member)
			for i := range count {
				id := ident.InstanceID(fmt.Sprint("m", i))
				members[id] = Member{ID: id, Domain: "d"}
			}
			before := newView(Member{}, members)
			removedID := ident.InstanceID(fmt.Sprint("m", removed))
			remaining := make(map[ident.InstanceID]Member)
			for id, m := range members {
				if id != removedID {
					remaining[id] = m
				}
			}
			after := newView(Member{}, remaining)
			for k := range 100 {
				key := fmt.Sprint("k", k)
				previous, _ := before.Owner("d", key)
				current, _ := after.Owner("d", key)
				if previous.ID != removedID && current.ID != previous.ID {
					return false
				}
			}
			return true
		},
		gen.IntRange(2, 43), gen.IntRange(0, 1000),
	))
	properties.TestingRun(t)
}

func BenchmarkOwner(b *testing.B) {
	members := make(map[ident.InstanceID]Member)
	for i := range 43 {
		id := ident.NewInstanceID(fmt.Sprint("m", i))
		members[id] = Member{ID: id, Domain: "d"}
	}
	v := newView(Member{}, members)
	for b.Loop() {
		v.Owner("d", "organisation-17")
	}
}

func TestMembersDiscoverEachOtherThroughTheInstanceList(t *testing.T) {
	a := startTestService(t, "a", "d1", "")
	b := startTestService(t, "b", "d2", "")
	listed := func(context.Context) ([]ident.Address, error) {
		return []ident.Address{a.Table.Self().PeerAddress, b.Table.Self().PeerAddress}, nil
	}
	a.fetchUnknownViews(a.readInstanceList(listed))
	waitState(t, a, b.Table.Self().ID, Live)
	waitState(t, b, a.Table.Self().ID, Live)
}

// TestMembersDiscoverEachOtherThroughRegisteredAddresses gives b a single first peer at which
// nothing listens, so that discovery must use the registered addresses.
func TestMembersDiscoverEachOtherThroughRegisteredAddresses(t *testing.T) {
	a := startTestService(t, "a", "d1", "")
	b := startTestService(t, "b", "d2", "", "127.0.0.1:1")
	b.AddDiscoverySource(func() []ident.Address { return []ident.Address{a.Table.Self().PeerAddress} })
	waitState(t, a, b.Table.Self().ID, Live)
	waitState(t, b, a.Table.Self().ID, Live)
}
