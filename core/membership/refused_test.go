package membership

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/config"
	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/core/settings"
	"monsoonfork/io/peer"
	"monsoonfork/lab/relay"
)

// startRelayedService starts a service that others reach through a relay.
func startRelayedService(t *testing.T, name string, domain ident.DomainID, firstPeer ident.Address) (*testService, *relay.Relay) {
	t.Helper()
	n := kernel.NewNode(&settings.Settings{
		Name: name, Domain: domain, HeartbeatMS: testHeartbeat.Milliseconds(), FirstPeers: []ident.Address{firstPeer},
	}, log.NewNopLogger())
	links := peer.New(n.ID, domain, log.NewNopLogger())
	bound, err := links.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r, err := relay.New(string(bound))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	self := Member{ID: n.ID, Domain: domain, PeerAddress: ident.Address(r.Address()), Started: n.Started}
	s := newService(NewTable(self, log.NewNopLogger(), time.Now), links.RoleLinks(), config.NewHolder(), n)
	s.run()
	started := &testService{Service: s, peerLinks: links}
	t.Cleanup(started.stop)
	return started, r
}

// TestRefusedMemberIsLiveAgain guards against a live instance that others count as ended
// for minutes because connections to it were refused for a moment.
func TestRefusedMemberIsLiveAgain(t *testing.T) {
	for _, domain := range []ident.DomainID{"d1", "d2"} {
		a := startTestService(t, "a", "d1", "")
		b := startTestService(t, "b", "d1", "", a.Table.Self().PeerAddress)
		other := startTestService(t, "c", "d2", "", a.Table.Self().PeerAddress)
		x, r := startRelayedService(t, "x", domain, a.Table.Self().PeerAddress)
		id := x.Table.Self().ID
		waitState(t, a, id, Live)
		waitState(t, b, id, Live)
		waitState(t, other, id, Live)
		r.Refuse()
		a.Table.MarkGone(id)
		b.Table.MarkGone(id)
		other.Table.MarkGone(id)
		if err := r.Accept(); err != nil {
			t.Fatal(err)
		}
		for _, s := range []*testService{a, b, other} {
			waitState(t, s, id, Live)
		}
	}
}
