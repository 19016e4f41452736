package bench

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/config"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
	"monsoonfork/core/placement"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
	"monsoonfork/io/httpcall"
	"monsoonfork/io/peer"
)

// instance is a router instance that runs only membership and placement, so that
// measurements show placement without budgets, API keys or the client protocol.
type instance struct {
	id           ident.InstanceID
	domain       ident.DomainID
	placement    *placement.Placement
	engineClient *engine.Client
	peerLinks    *peer.Links
	members      *membership.Table
	configHolder *config.Holder
	self         membership.Member
	closed       atomic.Bool
}

// newInstance creates an instance that listens for peers and has no configuration
// yet. The caller offers one to configHolder and then starts placement.
func newInstance(name string, domain ident.DomainID, httpClient *httpcall.Client, options ...placement.ServiceOption) (*instance, error) {
	id := ident.NewInstanceID(name)
	links := peer.New(id, domain, log.NewNopLogger())
	address, err := links.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	self := membership.Member{ID: id, Domain: domain, PeerAddress: address, Started: time.Now()}
	inst := &instance{id: id, domain: domain, peerLinks: links, self: self, configHolder: config.NewHolder(), engineClient: engine.New(httpClient, id)}
	inst.members = membership.NewTable(self, log.NewNopLogger(), time.Now)
	links.AddressOf = inst.members.AddressOf
	options = append([]placement.ServiceOption{placement.WithEngines(placement.NewEngineQueries(inst.engineClient.Calls()))}, options...)
	inst.placement = placement.New(links.RoleLinks(), inst.members, inst.configHolder, log.NewNopLogger(), options...)
	return inst, nil
}

// close stops the instance abruptly, as a crash does.
func (inst *instance) close() {
	if inst.closed.Swap(true) {
		return
	}
	_ = inst.placement.Close()
	_ = inst.peerLinks.Close()
}

// instanceGroup holds all instances of a round, crashed ones included.
type instanceGroup struct {
	workload   Workload
	configText *text.Text
	httpClient *httpcall.Client
	options    []placement.ServiceOption

	mu  sync.Mutex
	all []*instance
}

func (g *instanceGroup) add(inst *instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all = append(g.all, inst)
}

// live returns the instances that have not crashed.
func (g *instanceGroup) live() []*instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	var live []*instance
	for _, inst := range g.all {
		if !inst.closed.Load() {
			live = append(live, inst)
		}
	}
	return live
}

// startInstances starts the instances of a workload, with each listed in the
// member table of every other and the configuration applied as revision 1.
func startInstances(w Workload, configText *text.Text, options ...placement.ServiceOption) (*instanceGroup, error) {
	httpClient, err := httpcall.New()
	if err != nil {
		return nil, err
	}
	group := &instanceGroup{workload: w, configText: configText, httpClient: httpClient, options: options}
	for _, d := range w.Domains {
		for i := range d.Instances {
			inst, err := newInstance(fmt.Sprintf("%s-%d", d.Name, i+1), d.Name, httpClient, options...)
			if err != nil {
				group.close()
				return nil, err
			}
			group.add(inst)
		}
	}
	group.exchangeHeartbeats()
	for _, inst := range group.live() {
		inst.configHolder.Update(&config.Snapshot{Revision: 1, Text: configText})
		inst.placement.Start()
	}
	return group, nil
}

// exchangeHeartbeats records a heartbeat of every live instance in the member
// table of every live instance.
func (g *instanceGroup) exchangeHeartbeats() {
	live := g.live()
	for _, observer := range live {
		for _, other := range live {
			observer.members.RecordHeartbeat(other.self)
		}
	}
}

// dispatcherOf returns the live instance that is the dispatcher of a failure domain
// in the view of any live instance, or nil if there is none.
func (g *instanceGroup) dispatcherOf(domain ident.DomainID) *instance {
	live := g.live()
	for _, observer := range live {
		dispatcher, _ := observer.members.View().Owner(domain, "Placement/"+string(modelName))
		for _, inst := range live {
			if inst.id == dispatcher.ID {
				return inst
			}
		}
	}
	return nil
}

// replace crashes an instance and, after detectionDelay, marks it as gone at the
// other instances and starts a new instance in the same failure domain.
func (g *instanceGroup) replace(ctx context.Context, crashed *instance, detectionDelay time.Duration) error {
	crashed.close()
	if !sleep(ctx, detectionDelay) {
		return nil
	}
	for _, inst := range g.live() {
		inst.members.MarkGone(crashed.id)
	}
	replacement, err := newInstance("replaced", crashed.domain, g.httpClient, g.options...)
	if err != nil {
		return err
	}
	g.add(replacement)
	g.exchangeHeartbeats()
	replacement.configHolder.Update(&config.Snapshot{Revision: 1, Text: g.configText})
	replacement.placement.Start()
	return nil
}

// choose returns the live instance that a load balancer selects for balancerKey.
func (g *instanceGroup) choose(balancerKey uint64) *instance {
	live := g.live()
	return live[balancerKey%uint64(len(live))]
}

// close stops all live instances and closes the HTTP client.
func (g *instanceGroup) close() {
	for _, inst := range g.live() {
		inst.close()
	}
	g.httpClient.Close()
}

// sleep waits for d and reports whether it elapsed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
