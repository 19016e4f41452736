package budget

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/budget/audit"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// Times of the cluster of tests.
const (
	oneWayDelay   = 500 * time.Microsecond
	storeDelay    = 2 * time.Millisecond
	beatEvery     = 500 * time.Millisecond
	silenceBound  = 3 * time.Second
	goneDetection = 200 * time.Millisecond
)

// cluster is a set of Budgets in one process, with a network and a store that
// fail on command. It runs inside a synctest bubble, on that bubble's time.
type cluster struct {
	t       *testing.T
	start   time.Time
	domains []ident.DomainID
	perSlot int
	orgs    map[ident.OrganisationID]Limit
	log     *audit.Log
	store   *memoryStore
	cancel  context.CancelFunc
	ctx     context.Context
	wg      sync.WaitGroup

	mu    sync.Mutex
	r     *rand.Rand
	nodes map[ident.InstanceID]*node
	cut   map[ident.DomainID]bool // Domains that hear from no other domain.
	names int
}

// node is one instance of a cluster.
type node struct {
	c        *cluster
	b        *Budget
	member   membership.Member
	table    *membership.Table
	handlers map[string]handler
	dead     bool
	paused   chan struct{} // Closed when the pause ends; nil when not paused.
}

// handler answers a call of a method.
type handler func(ctx context.Context, from ident.InstanceID, payload []byte) (proto.Message, error)

// handle returns the handler for a typed method.
func handle[Req any, ReqPtr interface {
	*Req
	proto.Message
}](h func(context.Context, ident.InstanceID, ReqPtr) (proto.Message, error)) handler {
	return func(ctx context.Context, from ident.InstanceID, payload []byte) (proto.Message, error) {
		req := ReqPtr(new(Req))
		if err := proto.Unmarshal(payload, req); err != nil {
			return nil, err
		}
		return h(ctx, from, req)
	}
}

// newCluster returns a cluster without nodes.
func newCluster(t *testing.T, seed uint64, domains, slots int, orgs map[ident.OrganisationID]Limit) *cluster {
	c := &cluster{
		t:       t,
		start:   time.Now(),
		perSlot: slots,
		orgs:    orgs,
		log:     audit.NewLog(),
		store:   newMemoryStore(),
		r:       rand.New(rand.NewPCG(seed, 3)),
		nodes:   make(map[ident.InstanceID]*node),
		cut:     make(map[ident.DomainID]bool),
	}
	for i := range domains {
		c.domains = append(c.domains, ident.DomainID(fmt.Sprintf("d%d", i)))
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.wg.Add(1)
	go c.beatLoop()
	return c
}

// add starts a new instance in a domain.
func (c *cluster) add(domain ident.DomainID) *node {
	c.mu.Lock()
	c.names++
	id := ident.InstanceID(fmt.Sprintf("%s-%d", domain, c.names))
	c.mu.Unlock()
	n := &node{c: c}
	n.member = membership.Member{ID: id, Domain: domain, PeerAddress: ident.Address(id), Started: time.Now()}
	n.table = membership.NewTable(n.member, log.NewNopLogger(), time.Now)
	s := seams{
		view: n.table.View,
		limits: func(org ident.OrganisationID) (Limit, bool) {
			l, ok := c.orgs[org]
			return l, ok
		},
		orgs: func() []ident.OrganisationID {
			var list []ident.OrganisationID
			for org := range c.orgs {
				list = append(list, org)
			}
			return list
		},
		layout: func() (int, int) { return len(c.domains), c.perSlot },
		peers:  n.callPeer,
		store:  c.store.of(n),
	}
	n.b = newBudget(id, domain, s, withNow(n.now))
	n.b.admissions = &admissionLog{instance: id, monotonic: int64(time.Since(c.start)), out: n}
	b := n.b
	n.handlers = map[string]handler{
		methodAdmit:    handle(b.serveAdmit),
		methodSettle:   handle(b.serveSettle),
		methodTake:     handle(b.serveTake),
		methodSpare:    handle(b.serveSpare),
		methodOffer:    handle(b.serveOffer),
		methodPull:     handle(b.servePull),
		methodAnnounce: handle(b.serveAnnounce),
		methodRenew:    handle(b.serveRenew),
		methodReleased: handle(b.serveReleased),
	}
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
	c.beat()
	b.run()
	return n
}

// Write implements io.Writer: it takes the lines of the admission log.
func (n *node) Write(p []byte) (int, error) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.dead {
		return len(p), nil
	}
	return len(p), n.c.log.Add(bytes.NewReader(p))
}

// Close implements io.Closer.
func (n *node) Close() error { return nil }

// now reads the time for the node. While the node is paused it blocks, so that
// a pause hits between any two readings.
func (n *node) now() time.Time {
	n.wait()
	return time.Now()
}

// wait blocks while the node is paused.
func (n *node) wait() {
	n.c.mu.Lock()
	paused := n.paused
	n.c.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// reachable reports whether messages pass between two nodes.
func (c *cluster) reachable(a, b *node) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.dead || b.dead {
		return false
	}
	if a.member.Domain == b.member.Domain {
		return true
	}
	return !c.cut[a.member.Domain] && !c.cut[b.member.Domain]
}

// callPeer is the node's way to others: a call goes once, and its caller may
// give up before it is served.
func (n *node) callPeer(ctx context.Context, to ident.InstanceID, method string, req, resp proto.Message) error {
	n.wait()
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	c := n.c
	c.mu.Lock()
	other := c.nodes[to]
	c.mu.Unlock()
	if other == nil {
		return fault.New(fault.PeerUnavailable, "no address of %s", to)
	}
	type result struct {
		payload []byte
		err     error
	}
	done := make(chan result, 1)
	go func() {
		time.Sleep(oneWayDelay)
		other.wait()
		if !c.reachable(n, other) {
			return
		}
		reply, err := other.handlers[method](ctx, n.member.ID, payload)
		other.wait()
		time.Sleep(oneWayDelay)
		if !c.reachable(n, other) {
			return
		}
		if err != nil {
			done <- result{err: err}
			return
		}
		raw, err := proto.Marshal(reply)
		done <- result{raw, err}
	}()
	select {
	case <-ctx.Done():
		n.wait()
		return fault.From(ctx.Err())
	case r := <-done:
		n.wait()
		if r.err != nil {
			return r.err
		}
		return proto.Unmarshal(r.payload, resp)
	}
}

// beatLoop keeps the tables of all nodes up to date.
func (c *cluster) beatLoop() {
	defer c.wg.Done()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(beatEvery):
			c.beat()
		}
	}
}

// beat does one round of heartbeats between all nodes.
func (c *cluster) beat() {
	list := c.all()
	for _, a := range list {
		if a.isPaused() {
			continue
		}
		for _, b := range list {
			if a != b && c.reachable(a, b) && !b.isPaused() {
				a.table.Heard(b.member)
			}
		}
		before := time.Now().Add(-silenceBound)
		a.table.Expire(a.member.Domain, before, before)
	}
}

// isPaused reports whether the node is paused.
func (n *node) isPaused() bool {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.paused != nil
}

// all returns the nodes that are not dead.
func (c *cluster) all() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*node
	for i := 1; i <= c.names; i++ {
		for _, d := range c.domains {
			if n := c.nodes[ident.InstanceID(fmt.Sprintf("%s-%d", d, i))]; n != nil && !n.dead {
				list = append(list, n)
			}
		}
	}
	return list
}

// kill ends a node without warning. What it still does has no effect.
func (n *node) kill() {
	n.resume()
	n.c.mu.Lock()
	n.dead = true
	n.c.mu.Unlock()
	n.b.cancel()
	n.c.wg.Add(1)
	go func() {
		defer n.c.wg.Done()
		time.Sleep(goneDetection)
		for _, other := range n.c.all() {
			other.table.Ended(n.member.ID)
		}
	}()
}

// pause stops a node until resume.
func (n *node) pause() {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.paused == nil {
		n.paused = make(chan struct{})
	}
}

// resume ends a pause.
func (n *node) resume() {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.paused != nil {
		close(n.paused)
		n.paused = nil
	}
}

// close ends all nodes and waits.
func (c *cluster) close() {
	c.cancel()
	c.mu.Lock()
	nodes := c.nodes
	c.mu.Unlock()
	for _, n := range nodes {
		n.resume()
		n.b.cancel()
	}
	for _, n := range nodes {
		if err := n.b.Close(); err != nil {
			c.t.Error(err)
		}
	}
	c.wg.Wait()
	time.Sleep(time.Second) // Messages under way end.
}
