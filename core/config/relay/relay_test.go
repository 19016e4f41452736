package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/config"
	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/kernel"
	"monsoonfork/core/settings"
	_ "monsoonfork/io/instancelist" // Role InstanceList.
	"monsoonfork/io/peer"
	"monsoonfork/io/standin/control"
	standin "monsoonfork/io/standin/store"
	"monsoonfork/io/store"
	"monsoonfork/lab/process"
)

// propagationLimit is the maximum time from the acceptance of a revision until it
// is in force at every instance.
const propagationLimit = 4 * time.Second

// testNode is a daemon with the roles that the distribution of the configuration
// needs.
type testNode struct {
	*kernel.Node
	holder  *config.Holder
	service *Service
	applier *config.Applier
	links   *peer.Links
	client  *store.Client
}

// fleet is a stand-in store and its nodes, all in this process.
type fleet struct {
	t     testing.TB
	store *standin.Store
	peers []ident.Address
	nodes []*testNode
}

// newFleet starts a store and one node for each element of domains.
func newFleet(t testing.TB, domains ...ident.DomainID) *fleet {
	t.Helper()
	f := &fleet{t: t, store: standin.New()}
	if err := f.store.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.store.Close() })
	for range domains {
		f.peers = append(f.peers, freeAddress(t))
	}
	for i, d := range domains {
		f.nodes = append(f.nodes, f.start(i, d))
	}
	before := invariant.Violations()
	t.Cleanup(func() {
		if got := invariant.Violations(); got != before {
			t.Errorf("%d invariants violated", got-before)
		}
	})
	return f
}

// start starts the node at position i.
func (f *fleet) start(i int, d ident.DomainID) *testNode {
	f.t.Helper()
	n := kernel.NewNode(&settings.Settings{
		Name: fmt.Sprintf("n%d", i), Domain: d, HeartbeatMS: 100,
		PeerAddress: f.peers[i], FirstPeers: f.peers,
		StoreAddresses: []ident.Address{ident.Address(f.store.Address())},
	}, log.NewNopLogger())
	n.Metrics = metrics.NewRegistry()
	if err := n.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(n.Close)
	node := &testNode{Node: n}
	if err := n.Require(&node.holder, &node.service, &node.applier, &node.links, &node.client); err != nil {
		f.t.Fatal(err)
	}
	return node
}

// apply applies an edit through a node and returns the new revision.
func (f *fleet) apply(n *testNode, domains string) ident.Revision {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	base := n.holder.Revision()
	accepted, err := n.applier.Apply(ctx, []byte("Domains: ["+domains+"]\n"), base, fmt.Sprintf("edit-%d", base+1))
	if err != nil {
		f.t.Fatal(err)
	}
	return accepted.Revision
}

// waitInForce waits until a revision is in force at the nodes, and fails the test
// after propagationLimit.
func (f *fleet) waitInForce(revision ident.Revision, nodes ...*testNode) {
	f.t.Helper()
	deadline := time.Now().Add(propagationLimit)
	for _, n := range nodes {
		for n.holder.Revision() < revision {
			if time.Now().After(deadline) {
				f.t.Fatalf("%s has revision %d, want %d within %v", n.ID, n.holder.Revision(), revision, propagationLimit)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// eventually waits for a condition, and fails the test after propagationLimit.
func eventually(t *testing.T, description string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(propagationLimit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", propagationLimit, description)
		}
	}
}

func freeAddress(t testing.TB) ident.Address {
	t.Helper()
	address, err := process.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return ident.Address(address)
}

func TestRevisionReachesAllInstances(t *testing.T) {
	f := newFleet(t, "a", "a", "a", "b", "b", "b")
	if err := f.nodes[0].Ready(); err == nil {
		t.Error("ready without a text")
	}
	for range 3 {
		revision := f.apply(f.nodes[2], "a, b")
		f.waitInForce(revision, f.nodes...)
	}
	for _, n := range f.nodes {
		if err := n.Ready(); err != nil {
			t.Errorf("%s is not ready: %v", n.ID, err)
		}
		eventually(t, "status reports the revision in force", func() bool {
			s := n.service.CollectStatus(context.Background())
			return s.InForce && s.Revision == 3 && len(s.Domains) == 2
		})
	}
}

// TestPropagationWithStalledWatches stalls all watches in the store, so that new
// revisions are found only by the relays' periodic reads.
func TestPropagationWithStalledWatches(t *testing.T) {
	f := newFleet(t, "a", "a", "b", "b")
	f.waitInForce(f.apply(f.nodes[0], "a, b"), f.nodes...)
	if err := f.store.Inject(control.Fault{Kind: control.StallWatches}); err != nil {
		t.Fatal(err)
	}
	// The edit is written to the store by an applier outside the fleet, so no
	// node gets it from a call of its own.
	outside := externalApplier(t, f)
	accepted, err := outside.Apply(context.Background(), []byte("Domains: [a, b, c]\n"), 1, "outside")
	if err != nil {
		t.Fatal(err)
	}
	f.waitInForce(accepted.Revision, f.nodes...)
}

// externalApplier returns an applier with its own store client and holder, outside
// the fleet.
func externalApplier(t testing.TB, f *fleet) *config.Applier {
	c, err := store.New([]ident.Address{ident.Address(f.store.Address())})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &config.Applier{Store: c.KeyValue(), Holder: config.NewHolder(), Now: time.Now}
}

// TestTextSurvivesReplacementOfAllInstancesWithoutStore replaces every node, one
// by one, while the store refuses connections. Each new node must get the newest
// text from the other nodes.
func TestTextSurvivesReplacementOfAllInstancesWithoutStore(t *testing.T) {
	f := newFleet(t, "a", "a", "b", "b")
	f.apply(f.nodes[0], "a")
	revision := f.apply(f.nodes[0], "a, b")
	f.waitInForce(revision, f.nodes...)
	if err := f.store.Inject(control.Fault{Kind: control.Refuse}); err != nil {
		t.Fatal(err)
	}
	for i, old := range f.nodes {
		domain := old.Settings.Domain
		old.Close()
		f.nodes[i] = f.start(i, domain)
		f.waitInForce(revision, f.nodes[i])
		if got := string(f.nodes[i].holder.Current().Raw); got != "Domains: [a, b]\n" {
			t.Fatalf("text after the replacement of %s: %q", old.ID, got)
		}
	}
}

// TestStaleHeadIsIgnored writes an older head into the store. No node may return
// to the older revision.
func TestStaleHeadIsIgnored(t *testing.T) {
	f := newFleet(t, "a", "a")
	f.apply(f.nodes[0], "a")
	old, err := config.ReadHead(context.Background(), f.nodes[0].applier.Store)
	if err != nil {
		t.Fatal(err)
	}
	revision := f.apply(f.nodes[0], "a, b")
	f.waitInForce(revision, f.nodes...)
	value, err := json.Marshal(old.Head)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.nodes[0].applier.Store.Put(context.Background(), config.HeadKey, value); err != nil {
		t.Fatal(err)
	}
	for _, n := range f.nodes {
		eventually(t, "the stale head was counted", func() bool { return n.service.staleAnswers.Count() > 0 })
		if got := n.holder.Revision(); got != revision {
			t.Errorf("%s returned to revision %d", n.ID, got)
		}
	}
}

// TestCutOffDomainCatchesUp cuts one domain off from the other and from the store.
// The status must list the domain as unreachable, and the domain must get the new
// revision once its links work again.
func TestCutOffDomainCatchesUp(t *testing.T) {
	f := newFleet(t, "a", "a", "b", "b")
	f.waitInForce(f.apply(f.nodes[0], "a, b"), f.nodes...)
	for _, n := range f.nodes[:2] {
		n.links.Partition().Cut("b")
	}
	for _, n := range f.nodes[2:] {
		n.links.Partition().Cut("a")
		_ = n.client.Close()
	}
	revision := f.apply(f.nodes[0], "a, b, c")
	f.waitInForce(revision, f.nodes[:2]...)
	eventually(t, "status lists the domain as unreachable", func() bool {
		s := f.nodes[0].service.CollectStatus(context.Background())
		return !s.InForce && slices.Contains(s.Unreachable, "domain b") && slices.Contains(s.Unreachable, "domain c")
	})
	if got := f.nodes[2].holder.Revision(); got >= revision {
		t.Errorf("a cut-off node has revision %d", got)
	}
	for _, n := range f.nodes {
		n.links.Partition().Cut()
	}
	for deadline := time.Now().Add(20 * time.Second); f.nodes[2].holder.Revision() < revision || f.nodes[3].holder.Revision() < revision; {
		if time.Now().After(deadline) {
			t.Fatal("the domain did not get the new revision after its links were restored")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestStoreCallRate counts the store calls of two domains without edits. Each
// domain has two relays, and each relay makes one read a second and one watch in
// ten seconds.
func TestStoreCallRate(t *testing.T) {
	f := newFleet(t, "a", "a", "a", "b", "b", "b")
	f.waitInForce(f.apply(f.nodes[0], "a, b"), f.nodes...)
	time.Sleep(time.Second)
	const seconds = 3
	before := f.store.Record()
	time.Sleep(seconds * time.Second)
	after := f.store.Record()
	var calls int64
	for kind, n := range after.Calls {
		calls += n - before.Calls[kind]
	}
	const relays = 2 * relaysPerDomain
	// Each relay may make one further read and one further watch at the bounds
	// of the measured time.
	if limit := int64(relays * (seconds + 2)); calls > limit {
		t.Errorf("%d calls in %d s, want at most %d", calls, seconds, limit)
	}
}

// TestInvalidPullRepliesAreRejected checks that replies with a wrong digest, an
// invalid text, malformed packing, revision or edit id do not change the holder.
func TestInvalidPullRepliesAreRejected(t *testing.T) {
	f := newFleet(t, "a")
	s := f.nodes[0].service
	good, err := config.Pack([]byte("Domains: [a]\n"))
	if err != nil {
		t.Fatal(err)
	}
	bad, err := config.Pack([]byte("Domains: []\n"))
	if err != nil {
		t.Fatal(err)
	}
	for _, reply := range []*PullReply{
		{Revision: 5, EditId: "e", Digest: "wrong", Packed: good},
		{Revision: 5, EditId: "e", Packed: bad},
		{Revision: 5, EditId: "e", Packed: []byte("not packed")},
		{Revision: -1, EditId: "e", Packed: good},
		{Revision: 5, Packed: good},
	} {
		s.acceptPullReply(reply, config.EarlierText{}, "test")
		if got := f.nodes[0].holder.Revision(); got != 0 {
			t.Errorf("invalid reply was accepted: %v", reply)
		}
	}
}

// TestPullReplyIsDeltaForRecentRevisions checks that the reply is a delta if the
// holder still keeps the text of the caller's revision, and the whole text
// otherwise.
func TestPullReplyIsDeltaForRecentRevisions(t *testing.T) {
	holder := config.NewHolder()
	var replies pullReplyCache
	for n := 1; n <= 8; n++ {
		raw := fmt.Appendf(nil, "Domains: [a, b, c%d]\n", n)
		s, err := config.NewSnapshot(ident.Revision(n), fmt.Sprintf("edit-%d", n), raw, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		holder.Update(s)
	}
	newest := holder.Current()
	for callerRevision, wantDelta := range map[ident.Revision]bool{0: false, 2: false, 4: true, 7: true} {
		reply, err := replies.get(newest, callerRevision, holder)
		if err != nil {
			t.Fatal(err)
		}
		base, _ := holder.EarlierText(callerRevision)
		raw, err := config.UnpackWithBase(reply.GetPacked(), base)
		if err != nil || !bytes.Equal(raw, newest.Raw) {
			t.Errorf("reply to revision %d: unpacked %d bytes, %v", callerRevision, len(raw), err)
		}
		if _, err := config.Unpack(reply.GetPacked()); (err != nil) != wantDelta {
			t.Errorf("reply to revision %d: is the whole text: %v", callerRevision, err == nil)
		}
	}
}
