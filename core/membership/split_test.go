package membership

import (
	"testing"

	"github.com/go-kit/log"

	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/core/settings"
)

// startServiceWith starts a service of domain d2 that sends its heartbeats to the given one
// of the members of domain d1.
func startServiceWith(t *testing.T, name string, target *testService, members []Member) *testService {
	t.Helper()
	for {
		n := kernel.NewNode(&settings.Settings{
			Name: name, Domain: "d2", HeartbeatMS: testHeartbeat.Milliseconds(),
			FirstPeers: []ident.Address{target.Table.Self().PeerAddress},
		}, log.NewNopLogger())
		if highestWeighted(members, string(n.ID))[0].ID == target.Table.Self().ID {
			return startNode(t, n, "127.0.0.1:0")
		}
	}
}

// TestMembersThatJoinAtOnceDiscoverEachOther guards against a domain that stays split: two of
// its members join at the same time, and each is known to another member of the other domain.
func TestMembersThatJoinAtOnceDiscoverEachOther(t *testing.T) {
	a := startTestService(t, "a", "d1", "")
	b := startTestService(t, "b", "d1", "", a.Table.Self().PeerAddress)
	waitState(t, a, b.Table.Self().ID, Live)
	waitState(t, b, a.Table.Self().ID, Live)
	members := a.Table.View().Members()
	c := startServiceWith(t, "c", a, members)
	x := startServiceWith(t, "x", b, members)
	waitState(t, c, x.Table.Self().ID, Live)
	waitState(t, x, c.Table.Self().ID, Live)
	waitState(t, a, x.Table.Self().ID, Live)
	waitState(t, b, c.Table.Self().ID, Live)
}
