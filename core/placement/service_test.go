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

// cluster is a set of instances in one process, connected over loopback.
type cluster struct {
	t         *testing.T
	text      *text.Text
	instances []*instance
	engines   *fakeEngines
}

// instance is one instance of a cluster with its Placement and what that needs.
type instance struct {
	*Placement
	links  *peer.Links
	table  *membership.Table
	holder *config.Holder
	member membership.Member
}

// fakeEngines returns the request lists of engines that the test has set.
type fakeEngines struct {
	mu     sync.Mutex
	listed map[ident.EndpointID][]EngineRequest
}

// requests implements EngineQueries.Requests.
func (f *fakeEngines) requests(_ context.Context, e text.Engine) ([]EngineRequest, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]EngineRequest(nil), f.listed[e.Name]...), nil
}

// set sets the request list of an engine.
func (f *fakeEngines) set(id ident.EndpointID, list ...EngineRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed[id] = list
}

// newCluster starts instances in the given domains. Each domain has one
// prefill and one decode engine with two slots.
func newCluster(t *testing.T, domains []ident.DomainID, opts ...ServiceOption) *cluster {
	c := &cluster{t: t, engines: &fakeEngines{listed: make(map[ident.EndpointID][]EngineRequest)}}
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
	c.addMembers()
	for _, n := range c.instances {
		n.holder.Update(&config.Snapshot{Revision: 1, Text: c.text})
		n.Start()
	}
	return c
}

// addInstance creates an instance that listens on a loopback port.
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
	opts = append([]ServiceOption{WithEngines(EngineQueries{Requests: c.engines.requests})}, opts...)
	n.Placement = New(links.RoleLinks(), n.table, n.holder, log.NewNopLogger(), opts...)
	c.instances = append(c.instances, n)
	c.t.Cleanup(func() {
		_ = n.Close()
		_ = links.Close()
	})
}

// addMembers adds all instances to the member table of each.
func (c *cluster) addMembers() {
	for _, a := range c.instances {
		for _, b := range c.instances {
			a.table.RecordHeartbeat(b.member)
		}
	}
}

// owner returns the instance that owns the dispatcher of a domain, and another
// instance of the domain, or nil if there is none.
func (c *cluster) owner(domain ident.DomainID) (owner, other *instance) {
	m, _ := c.instances[0].table.View().Owner(domain, dispatcherKey{domain, "m"}.ownerKey())
	for _, n := range c.instances {
		if n.member.ID == m.ID {
			owner = n
		} else if n.member.Domain == domain {
			other = n
		}
	}
	return owner, other
}

// kill stops an instance and marks it as gone in all member tables.
func (c *cluster) kill(n *instance) {
	_ = n.Close()
	_ = n.links.Close()
	for _, m := range c.instances {
		m.table.MarkGone(n.member.ID)
	}
}

var requestNumber int

// serviceRequest returns a request with a first-token deadline in one second.
func serviceRequest() Request {
	requestNumber++
	return Request{
		ID: ident.RequestID(fmt.Sprintf("q%d", requestNumber)), Attempt: 1, Organisation: "a", Model: "m",
		PromptTokens: 100, MaxTokens: 100,
		FirstTokenDeadline: time.Now().Add(time.Second), Deadline: time.Now().Add(20 * time.Second),
	}
}

// mustPlace places a request through an instance, and fails the test on an error.
func mustPlace(t *testing.T, n *instance, r Request) *Lease {
	t.Helper()
	l, err := n.Place(context.Background(), r)
	if err != nil {
		t.Fatalf("place: %v", err)
	}
	return l
}

// eventually waits up to 5 seconds until f returns true.
func eventually(t *testing.T, description string, f func() bool) {
	t.Helper()
	for range 500 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("condition not met within 5 seconds: %s", description)
}

func TestInstancesOfDomainShareOneDispatcher(t *testing.T) {
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

func TestCancelledCallRemovesRequestFromQueue(t *testing.T) {
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
	dispatcher, _ := owner.dispatcher(dispatcherKey{"d1", "m"})
	eventually(t, "queue empty", func() bool { return !dispatcher.HasWaiting() })
}

func TestRequestIsRedirectedToDomainWithFreeSlots(t *testing.T) {
	c := newCluster(t, []ident.DomainID{"d1", "d2"})
	owner, _ := c.owner("d1")
	for range 2 {
		l := mustPlace(t, owner, serviceRequest())
		if l.Domain != "d1" {
			t.Fatalf("placed in %s, want d1 while it has free slots", l.Domain)
		}
		l.PrefillDone()
	}
	if l := mustPlace(t, owner, serviceRequest()); l.Domain != "d2" {
		t.Fatalf("placed in %s, want d2", l.Domain)
	}
}

// TestRequestReturnsToOwnDomainWhenOtherDispatcherMoves moves the dispatcher of the
// other domain to another instance. The instance that sends a request there does not
// have the change in its member table yet. The request must return to its own domain.
func TestRequestReturnsToOwnDomainWhenOtherDispatcherMoves(t *testing.T) {
	c := newCluster(t, []ident.DomainID{"d1", "d2"})
	owner1, _ := c.owner("d1")
	owner2, _ := c.owner("d2")
	var leases []*Lease
	for range 2 {
		l := mustPlace(t, owner1, serviceRequest())
		l.PrefillDone()
		leases = append(leases, l)
	}
	if l := mustPlace(t, owner1, serviceRequest()); l.Domain != "d2" {
		t.Fatalf("placed in %s, want d2", l.Domain)
	}
	owner2.table.SetLeaving()
	time.AfterFunc(200*time.Millisecond, func() { leases[0].Close(Outcome{Result: Completed, OutputTokens: 100}) })
	if l := mustPlace(t, owner1, serviceRequest()); l.Domain != "d1" {
		t.Fatalf("placed in %s, want d1", l.Domain)
	}
}

func TestDomainWithoutEnginesUsesOtherDomain(t *testing.T) {
	c := newCluster(t, []ident.DomainID{"d1", "d2"})
	changed := *c.text
	changed.Engines = nil
	for _, e := range c.text.Engines {
		if e.Domain == "d2" {
			changed.Engines = append(changed.Engines, e)
		}
	}
	for _, n := range c.instances {
		n.holder.Update(&config.Snapshot{Revision: 2, Text: &changed})
	}
	owner1, _ := c.owner("d1")
	if l := mustPlace(t, owner1, serviceRequest()); l.Domain != "d2" {
		t.Fatalf("placed in %s, want d2", l.Domain)
	}
}

// placeAfterFailover fills the slots of a domain through the instance that does not
// own the dispatcher, kills the owner, and returns the remaining instance, the
// open leases and the error of the next placement.
func placeAfterFailover(t *testing.T, opts ...ServiceOption) (*instance, []*Lease, error) {
	c := newCluster(t, []ident.DomainID{"d1", "d1"}, opts...)
	owner, other := c.owner("d1")
	var leases []*Lease
	for range 2 {
		l := mustPlace(t, other, serviceRequest())
		l.PrefillDone()
		leases = append(leases, l)
	}
	eventually(t, "events acknowledged", func() bool { return other.pendingEvents() == 0 })
	c.kill(owner)
	r := serviceRequest()
	_, err := other.Place(context.Background(), r)
	return other, leases, err
}

func TestNewDispatcherRestoresOpenLeases(t *testing.T) {
	other, leases, err := placeAfterFailover(t)
	if !fault.Is(err, fault.Overloaded) {
		t.Fatalf("placement while all slots are reserved: %v, want Overloaded", err)
	}
	leases[0].Close(Outcome{Result: Completed, OutputTokens: 100})
	mustPlace(t, other, serviceRequest())
}

func TestDispatcherWithoutRecoveryOvercommits(t *testing.T) {
	_, _, err := placeAfterFailover(t, WithoutRecovery())
	if err != nil {
		t.Fatalf("placement without recovery: %v; want it to succeed on reserved slots, which shows what the recovery prevents", err)
	}
}

func TestLeaseOfDeadHolderIsDroppedWhenNoEngineListsIt(t *testing.T) {
	c := newCluster(t, []ident.DomainID{"d1", "d1"})
	owner, other := c.owner("d1")
	for range 2 {
		l := mustPlace(t, other, serviceRequest())
		l.PrefillDone()
		c.engines.set("d0.d1", EngineRequest{Lease: l.ID, Holder: other.member.ID})
	}
	eventually(t, "events acknowledged", func() bool { return other.pendingEvents() == 0 })
	c.kill(other)
	dispatcher, err := owner.dispatcher(dispatcherKey{"d1", "m"})
	if err != nil {
		t.Fatal(err)
	}
	reserved := func() int { return dispatcher.Dump().Engines[1].ReservedSlots }
	eventually(t, "the lease that no engine lists is dropped", func() bool { return reserved() == 1 })
	time.Sleep(2 * staleLeaseInterval)
	if reserved() != 1 {
		t.Fatal("a lease was dropped while its engine still listed the request")
	}
	c.engines.set("d0.d1")
	eventually(t, "the last lease is dropped", func() bool { return reserved() == 0 })
}

func TestBaselinePoliciesPlaceAtOnce(t *testing.T) {
	c := newCluster(t, []ident.DomainID{"d1"})
	for i, policy := range []text.PlacementPolicy{text.RoundRobin, text.LeastLoad, text.TwoChoices} {
		changed := *c.text
		changed.Policy.Placement = policy
		n := c.instances[0]
		n.holder.Update(&config.Snapshot{Revision: ident.Revision(i + 2), Text: &changed})
		for range 5 {
			l := mustPlace(t, n, serviceRequest())
			l.PrefillDone()
			l.Close(Outcome{Result: Completed})
		}
	}
}
