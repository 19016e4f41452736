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

// Delays and timeouts of the test cluster.
const (
	oneWayDelay       = 500 * time.Microsecond
	storeDelay        = 2 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	memberTimeout     = 3 * time.Second        // A member without heartbeats for this long counts as unreachable.
	endDetectionDelay = 200 * time.Millisecond // Until the other nodes know that a killed node has ended.
)

// cluster is a set of Budgets in one process, with a simulated network and
// store into which faults can be injected. It runs in a testing/synctest
// bubble on virtual time.
type cluster struct {
	t              *testing.T
	startedAt      time.Time
	domains        []ident.DomainID
	slotsPerDomain int
	orgs           map[ident.OrganisationID]Limit
	admissionLog   *audit.Admissions // Admissions of all nodes.
	store          *memoryStore
	cancel         context.CancelFunc
	ctx            context.Context
	wg             sync.WaitGroup

	mu           sync.Mutex
	rng          *rand.Rand
	nodes        map[ident.InstanceID]*node
	partitioned  map[ident.DomainID]bool // Domains that cannot exchange messages with other domains.
	nodesStarted int                     // Also the suffix of the last node's ID.
}

// node is one instance of a cluster.
type node struct {
	c        *cluster
	b        *Budget
	member   membership.Member
	table    *membership.Table
	handlers map[string]handler
	dead     bool          // Whether the node was killed.
	paused   chan struct{} // Closed when the pause ends; nil if the node is not paused.
}

// handler handles calls of one method.
type handler func(ctx context.Context, from ident.InstanceID, payload []byte) (proto.Message, error)

// decodeRequest returns a handler that decodes the request and calls h.
func decodeRequest[Req any, ReqPtr interface {
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
		t:              t,
		startedAt:      time.Now(),
		slotsPerDomain: slots,
		orgs:           orgs,
		admissionLog:   audit.NewAdmissions(),
		store:          newMemoryStore(),
		rng:            rand.New(rand.NewPCG(seed, 3)),
		nodes:          make(map[ident.InstanceID]*node),
		partitioned:    make(map[ident.DomainID]bool),
	}
	for i := range domains {
		c.domains = append(c.domains, ident.DomainID(fmt.Sprintf("d%d", i)))
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.wg.Add(1)
	go c.heartbeatLoop()
	return c
}

// add starts a new node in a domain.
func (c *cluster) add(domain ident.DomainID) *node {
	c.mu.Lock()
	c.nodesStarted++
	id := ident.InstanceID(fmt.Sprintf("%s-%d", domain, c.nodesStarted))
	c.mu.Unlock()
	n := &node{c: c}
	n.member = membership.Member{ID: id, Domain: domain, PeerAddress: ident.Address(id), Started: time.Now()}
	n.table = membership.NewTable(n.member, log.NewNopLogger(), time.Now)
	s := dependencies{
		view: n.table.View,
		limits: func(org ident.OrganisationID) (Limit, bool) {
			l, ok := c.orgs[org]
			return l, ok
		},
		organisations: func() []ident.OrganisationID {
			var list []ident.OrganisationID
			for org := range c.orgs {
				list = append(list, org)
			}
			return list
		},
		layout: func() (int, int) { return len(c.domains), c.slotsPerDomain },
		peers:  n.callPeer,
		store:  c.store.storeFor(n),
	}
	n.b = newBudget(id, domain, s, withTimeSource(n.now))
	n.b.admissions = &admissionLog{instance: id, clockStartNs: int64(time.Since(c.startedAt)), out: n}
	b := n.b
	n.handlers = map[string]handler{
		methodAdmit:    decodeRequest(b.serveAdmit),
		methodSettle:   decodeRequest(b.serveSettle),
		methodTake:     decodeRequest(b.serveTake),
		methodSpare:    decodeRequest(b.serveSpare),
		methodOffer:    decodeRequest(b.serveOffer),
		methodPull:     decodeRequest(b.servePull),
		methodAnnounce: decodeRequest(b.serveAnnounce),
		methodRenew:    decodeRequest(b.serveRenew),
		methodReleased: decodeRequest(b.serveReleased),
	}
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
	c.heartbeat()
	b.run()
	return n
}

// Write implements io.Writer. It adds lines of the admission log to the
// cluster's log, unless the node has been killed.
func (n *node) Write(p []byte) (int, error) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.dead {
		return len(p), nil
	}
	return len(p), n.c.admissionLog.Add(bytes.NewReader(p))
}

// Close implements io.Closer.
func (n *node) Close() error { return nil }

// now is the node's time source. It blocks while the node is paused, so that
// a pause can occur between any two clock readings.
func (n *node) now() time.Time {
	n.waitWhilePaused()
	return time.Now()
}

// waitWhilePaused blocks while the node is paused.
func (n *node) waitWhilePaused() {
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
	return !c.partitioned[a.member.Domain] && !c.partitioned[b.member.Domain]
}

// callPeer calls a method of another node. The call is sent once, and its
// context may end before it is handled.
func (n *node) callPeer(ctx context.Context, to ident.InstanceID, method string, req, resp proto.Message) error {
	n.waitWhilePaused()
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
		other.waitWhilePaused()
		if !c.reachable(n, other) {
			return
		}
		reply, err := other.handlers[method](ctx, n.member.ID, payload)
		other.waitWhilePaused()
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
		n.waitWhilePaused()
		return fault.From(ctx.Err())
	case r := <-done:
		n.waitWhilePaused()
		if r.err != nil {
			return r.err
		}
		return proto.Unmarshal(r.payload, resp)
	}
}

// heartbeatLoop keeps the membership tables of all nodes up to date.
func (c *cluster) heartbeatLoop() {
	defer c.wg.Done()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(heartbeatInterval):
			c.heartbeat()
		}
	}
}

// heartbeat runs one round of heartbeats between all nodes.
func (c *cluster) heartbeat() {
	list := c.liveNodes()
	for _, a := range list {
		if a.isPaused() {
			continue
		}
		for _, b := range list {
			if a != b && c.reachable(a, b) && !b.isPaused() {
				a.table.RecordHeartbeat(b.member)
			}
		}
		before := time.Now().Add(-memberTimeout)
		a.table.Expire(a.member.Domain, before, before)
	}
}

// isPaused reports whether the node is paused.
func (n *node) isPaused() bool {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.paused != nil
}

// liveNodes returns the nodes that have not been killed, paused ones
// included.
func (c *cluster) liveNodes() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*node
	for i := 1; i <= c.nodesStarted; i++ {
		for _, d := range c.domains {
			if n := c.nodes[ident.InstanceID(fmt.Sprintf("%s-%d", d, i))]; n != nil && !n.dead {
				list = append(list, n)
			}
		}
	}
	return list
}

// kill ends a node without warning. Its remaining goroutines have no effect
// any more.
func (n *node) kill() {
	n.resume()
	n.c.mu.Lock()
	n.dead = true
	n.c.mu.Unlock()
	n.b.cancel()
	n.c.wg.Add(1)
	go func() {
		defer n.c.wg.Done()
		time.Sleep(endDetectionDelay)
		for _, other := range n.c.liveNodes() {
			other.table.MarkGone(n.member.ID)
		}
	}()
}

// pause suspends a node until resume is called.
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

// close stops all nodes and waits for them.
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
	time.Sleep(time.Second) // Lets messages in transit finish.
}
