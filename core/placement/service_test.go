package placement

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/config"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
	"monsoonfork/core/text"
	"monsoonfork/io/peer"
)

// cluster is a few instances in one process, linked over loopback.
type cluster struct {
	t         *testing.T
	text      *text.Text
	instances []*instance
	engines   *fakeEngines
}

// instance is one instance of a cluster.
type instance struct {
	*Placement
	links  *peer.Links
	table  *membership.Table
	holder *config.Holder
	member membership.Member
}

// fakeEngines lists what the test says that engines hold.
type fakeEngines struct {
	mu   sync.Mutex
	held map[ident.EndpointID][]Listed
}

// requests is the Engines.Requests of the fake.
func (f *fakeEngines) requests(_ context.Context, e text.Engine) ([]Listed, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Listed(nil), f.held[e.Name]...), nil
}

// set says what an engine holds.
func (f *fakeEngines) set(id ident.EndpointID, list ...Listed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held[id] = list
}

// newCluster starts instances in the given domains. Each domain has one
// prefill and one decode engine with two slots.
func newCluster(t *testing.T, domains []ident.DomainID, opts ...ServiceOption) *cluster {
	c := &cluster{t: t, engines: &fakeEngines{held: make(map[ident.EndpointID][]Listed)}}
	c.text = &text.Text{Models: []text.Model{testModel}}
	seen := make(map[ident.DomainID]bool)
	for i, d := range domains {
		c.addInstance(fmt.Sprintf("i%d", i), d, opts)
		if seen[d] {
			continue
		}
		seen[d] = true
		c.text.Domains = append(c.text.Domains, d)
		for _, e := range testEngines(1, 1) {
			e.Name = e.Name + "." + ident.EndpointID(d)
			e.Domain, e.Models = d, []ident.ModelID{"m"}
			c.text.Engines = append(c.text.Engines, e)
		}
	}
	c.meet()
	for _, n := range c.instances {
		n.holder.Offer(&config.Snapshot{Revision: 1, Text: c.text})
		n.Start()
	}
	return c
}

// addInstance makes one instance with a listener.
func (c *cluster) addInstance(name string, domain ident.DomainID, opts []ServiceOption) {
	id := ident.NewInstanceID(name)
	links := peer.New(id, domain, log.NewNopLogger())
	address, err := links.Listen("127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	m := membership.Member{ID: id, Domain: domain, PeerAddress: address, Started: time.Now()}
	n := &instance{links: links, member: m, holder: config.NewHolder()}
	n.table = membership.NewTable(m, log.NewNopLogger(), time.Now)
	links.AddressOf = n.table.AddressOf
	opts = append([]ServiceOption{WithEngines(Engines{Requests: c.engines.requests})}, opts...)
	n.Placement = New(links.Seam(), n.table, n.holder, log.NewNopLogger(), opts...)
	c.instances = append(c.instances, n)
	c.t.Cleanup(func() {
		_ = n.Close()
		_ = links.Close()
	})
}

// meet makes all instances know each other.
func (c *cluster) meet() {
	for _, a := range c.instances {
		for _, b := range c.instances {
			a.table.Heard(b.member)
		}
	}
}

// owner returns the instance that dispatches for a domain, and one that does
// not.
func (c *cluster) owner(domain ident.DomainID) (owner, other *instance) {
	m, _ := c.instances[0].table.View().Owner(domain, shardKey{domain, "m"}.owner())
	for _, n := range c.instances {
		if n.member.ID == m.ID {
			owner = n
		} else if n.member.Domain == domain {
			other = n
		}
	}
	return owner, other
}

// kill ends an instance and tells the others that it is gone.
func (c *cluster) kill(n *instance) {
	_ = n.Close()
	_ = n.links.Close()
	for _, m := range c.instances {
		m.table.Ended(n.member.ID)
	}
}

var requestNumber int

// serviceRequest returns a request with a second to its first token.
func serviceRequest() Request {
	requestNumber++
	return Request{
		ID: ident.RequestID(fmt.Sprintf("q%d", requestNumber)), Attempt: 1, Organisation: "a", Model: "m",
		PromptTokens: 100, MaxTokens: 100,
		FirstTokenDeadline: time.Now().Add(time.Second), Deadline: time.Now().Add(20 * time.Second),
	}
}

// mustPlace places a request through an instance.
func mustPlace(t *testing.T, n *instance, r Request) *Lease {
	t.Helper()
	l, err := n.Place(context.Background(), r)
	if err != nil {
		t.Fatalf("place: %v", err)
	}
	return l
}

// eventually waits until f holds.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 500 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}

func TestBothInstancesOfADomainShareOneDispatcher(t *testing.T) {
	c := newCluster(t, []ident.DomainID{"d1", "d1"})
	owner, other := c.owner("d1")
	first := mustPlace(t, other, serviceRequest())
	first.PrefillDone()
	second := mustPlace(t, owner, serviceRequest())
	second.PrefillDone()
	_, err := other.Place(context.Background(), serviceRequest())
	if !fault.Is(err, fault.Overloaded) || fault.From(err).Ran != fault.NotRun {
		t.Fatalf("third placement: %v, want Overloaded and not run", err)
	}
	first.Close(Outcome{Result: Completed, OutputTokens: 100})
	mustPlace(t, owner, serviceRequest())
}

func TestCancelledCallerLeavesTheQueue(t *testing.T) {
	c := newCluster(t, []ident.DomainID{"d1", "d1"})
	owner, other := c.owner("d1")
	for range 2 {
		mustPlace(t, owner, serviceRequest()).PrefillDone()
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := other.Place(ctx, serviceRequest())
	if !fault.Is(err, fault.CallerGone) {
		t.Fatalf("error = %v, want CallerGone", err)
	}
	run, _ := owner.dispatcher(shardKey{"d1", "m"})
	eventually(t, "queue empty", func() bool { return !run.Pressed() })
}

func TestRequestGoesToADomainWithRoom(t *testing.T) {
	c := newCluster(t, []ident.DomainID{"d1", "d2"})
	home, _ := c.owner("d1")
	for range 2 {
		l := mustPlace(t, home, serviceRequest())
		if l.Domain != "d1" {
			t.Fatalf("placed in %s, want d1 while it has room", l.Domain)
		}
		l.PrefillDone()
	}
	if l := mustPlace(t, home, serviceRequest()); l.Domain != "d2" {
		t.Fatalf("placed in %s, want d2", l.Domain)
	}
}

// The instance that dispatches in another domain stops, and this one has not
// heard of it: its requests come back to their own domain.
func TestRequestComesHomeFromADomainWhoseDispatcherMoved(t *testing.T) {
	c := newCluster(t, []ident.DomainID{"d1", "d2"})
	home, _ := c.owner("d1")
	abroad, _ := c.owner("d2")
	var held []*Lease
	for range 2 {
		l := mustPlace(t, home, serviceRequest())
		l.PrefillDone()
		held = append(held, l)
	}
	if l := mustPlace(t, home, serviceRequest()); l.Domain != "d2" {
		t.Fatalf("placed in %s, want d2", l.Domain)
	}
	abroad.table.SetLeaving()
	time.AfterFunc(200*time.Millisecond, func() { held[0].Close(Outcome{Result: Completed, OutputTokens: 100}) })
	if l := mustPlace(t, home, serviceRequest()); l.Domain != "d1" {
		t.Fatalf("placed in %s, want d1", l.Domain)
	}
}

func TestDomainWithoutEnginesUsesAnother(t *testing.T) {
	c := newCluster(t, []ident.DomainID{"d1", "d2"})
	changed := *c.text
	changed.Engines = nil
	for _, e := range c.text.Engines {
		if e.Domain == "d2" {
			changed.Engines = append(changed.Engines, e)
		}
	}
	for _, n := range c.instances {
		n.holder.Offer(&config.Snapshot{Revision: 2, Text: &changed})
	}
	home, _ := c.owner("d1")
	if l := mustPlace(t, home, serviceRequest()); l.Domain != "d2" {
		t.Fatalf("placed in %s, want d2", l.Domain)
	}
}

// handOver fills the slots of a domain through the instance that does not
// dispatch, kills the dispatcher's instance, and returns what the next
// placement gives.
func handOver(t *testing.T, opts ...ServiceOption) (*instance, []*Lease, error) {
	c := newCluster(t, []ident.DomainID{"d1", "d1"}, opts...)
	owner, other := c.owner("d1")
	var held []*Lease
	for range 2 {
		l := mustPlace(t, other, serviceRequest())
		l.PrefillDone()
		held = append(held, l)
	}
	eventually(t, "events acknowledged", func() bool { return other.pendingEvents() == 0 })
	c.kill(owner)
	r := serviceRequest()
	_, err := other.Place(context.Background(), r)
	return other, held, err
}

func TestNewDispatcherLearnsWhatIsHeld(t *testing.T) {
	other, held, err := handOver(t)
	if !fault.Is(err, fault.Overloaded) {
		t.Fatalf("placement over held slots: %v, want Overloaded", err)
	}
	held[0].Close(Outcome{Result: Completed, OutputTokens: 100})
	mustPlace(t, other, serviceRequest())
}

func TestDispatcherThatDoesNotLearnOvercommits(t *testing.T) {
	_, _, err := handOver(t, WithoutLearning())
	if err != nil {
		t.Fatalf("placement without learning: %v; the switch shows what learning prevents", err)
	}
}

func TestLeaseOfADeadHolderIsDroppedWhenTheEngineHasFreedIt(t *testing.T) {
	c := newCluster(t, []ident.DomainID{"d1", "d1"})
	owner, other := c.owner("d1")
	for range 2 {
		l := mustPlace(t, other, serviceRequest())
		l.PrefillDone()
		c.engines.set("d0.d1", Listed{Lease: l.ID, Holder: other.member.ID})
	}
	eventually(t, "events acknowledged", func() bool { return other.pendingEvents() == 0 })
	c.kill(other)
	run, err := owner.dispatcher(shardKey{"d1", "m"})
	if err != nil {
		t.Fatal(err)
	}
	reserved := func() int { return run.Dump().Engines[1].ReservedSlots }
	eventually(t, "the lease that no engine lists is dropped", func() bool { return reserved() == 1 })
	time.Sleep(2 * sweepInterval)
	if reserved() != 1 {
		t.Fatal("a lease was dropped while its engine still held the memory")
	}
	c.engines.set("d0.d1")
	eventually(t, "the last lease is dropped", func() bool { return reserved() == 0 })
}

func TestBaselinesPlaceWithoutAQueue(t *testing.T) {
	c := newCluster(t, []ident.DomainID{"d1"})
	for i, policy := range []text.PlacementPolicy{text.RoundRobin, text.LeastLoad, text.TwoChoices} {
		changed := *c.text
		changed.Policy.Placement = policy
		n := c.instances[0]
		n.holder.Offer(&config.Snapshot{Revision: ident.Revision(i + 2), Text: &changed})
		for range 5 {
			l := mustPlace(t, n, serviceRequest())
			l.PrefillDone()
			l.Close(Outcome{Result: Completed})
		}
	}
}
