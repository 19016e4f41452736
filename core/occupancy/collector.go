package occupancy

import (
	"sync"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
)

// loads is what an instance, or the instances of a domain, have at engines.
type loads map[ident.EndpointID]engines.Load

// add adds another load of an engine.
func (l loads) add(id ident.EndpointID, more engines.Load) {
	sum := l[id]
	sum.Memory += more.Memory
	sum.Prefill += more.Prefill
	l[id] = sum
}

// collector is what this instance has been told as the collector of its domain.
type collector struct {
	now func() time.Time

	mu      sync.Mutex
	members map[ident.InstanceID]told
	domains map[ident.DomainID]told
}

// told is the last word of a member, or of another domain's collector.
type told struct {
	at    time.Time
	loads loads       // Of a domain: at engines of the own domain only.
	pools []*PoolLoad // Of a domain.
}

// newCollector returns a collector that was told nothing.
func newCollector(now func() time.Time) *collector {
	return &collector{now: now, members: make(map[ident.InstanceID]told), domains: make(map[ident.DomainID]told)}
}

// fresh reports whether a word still counts. The caller holds mu.
func (c *collector) fresh(t told) bool { return c.now().Sub(t.at) < unheardAfter }

// takeMember takes over a member's report.
func (c *collector) takeMember(from ident.InstanceID, l loads) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, t := range c.members {
		if !c.fresh(t) {
			delete(c.members, id)
		}
	}
	c.members[from] = told{at: c.now(), loads: l}
}

// takeDomain takes over what another domain's collector tells.
func (c *collector) takeDomain(domain ident.DomainID, l loads, pools []*PoolLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domains[domain] = told{at: c.now(), loads: l, pools: pools}
}

// others returns what all but one member have at the engines that want accepts.
func (c *collector) others(but ident.InstanceID, want func(ident.EndpointID) bool) loads {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := c.ofMembers(but, want)
	for _, t := range c.domains {
		if !c.fresh(t) {
			continue
		}
		for id, l := range t.loads {
			sum.add(id, l)
		}
	}
	return sum
}

// here returns what the members of the domain have at the engines that want
// accepts.
func (c *collector) here(want func(ident.EndpointID) bool) loads {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ofMembers("", want)
}

// ofMembers adds up the reports of the members. The caller holds mu.
func (c *collector) ofMembers(but ident.InstanceID, want func(ident.EndpointID) bool) loads {
	sum := make(loads)
	for from, t := range c.members {
		if from == but || !c.fresh(t) {
			continue
		}
		for id, l := range t.loads {
			if want(id) {
				sum.add(id, l)
			}
		}
	}
	return sum
}

// far returns the pools of the other domains.
func (c *collector) far() []*DomainLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*DomainLoad
	for domain, t := range c.domains {
		if c.fresh(t) {
			list = append(list, &DomainLoad{Domain: string(domain), Pools: t.pools})
		}
	}
	return list
}
