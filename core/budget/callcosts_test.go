package budget

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"monsoonfork/core/ident"
)

// domainSizes are the numbers of members for which the costs are measured.
var domainSizes = []int{4, 12, 24, 43}

// generousOrgs returns n organisations whose limits exceed the load of the
// measurement.
func generousOrgs(n int) map[ident.OrganisationID]Limit {
	orgs := make(map[ident.OrganisationID]Limit)
	for i := range n {
		orgs[ident.OrganisationID(fmt.Sprintf("org%03d", i))] = Limit{Rate: 10_000, Burst: 100_000}
	}
	return orgs
}

// callCounts are the numbers of calls sent by the live nodes of a cluster:
// all calls to other instances, collections from slot holders, and calls to
// the store.
type callCounts struct{ calls, collects, store int64 }

// countCalls returns the calls sent so far.
func (c *cluster) countCalls() callCounts {
	var sum callCounts
	for _, n := range c.liveNodes() {
		sum.calls += n.b.metrics.calls.Count()
		sum.collects += n.b.metrics.collectCalls.Count()
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	sum.store = int64(c.store.calls)
	return sum
}

// minus returns the difference from an earlier count.
func (a callCounts) minus(b callCounts) callCounts {
	return callCounts{a.calls - b.calls, a.collects - b.collects, a.store - b.store}
}

func TestCallCostsByDomainSize(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 20 s; the measured costs are used in docs/CAPACITY.md")
	}
	var mu sync.Mutex
	storeCalls := make(map[int]float64)
	t.Run("sizes", func(t *testing.T) {
		for _, members := range domainSizes {
			t.Run(strconv.Itoa(members), func(t *testing.T) {
				t.Parallel()
				calls := measureCallCosts(t, members)
				mu.Lock()
				defer mu.Unlock()
				storeCalls[members] = calls
			})
		}
	})
	if storeCalls[43] > 1.1*storeCalls[4] {
		t.Errorf("store calls grow with the number of members: %.0f per minute with 43, %.0f with 4", storeCalls[43], storeCalls[4])
	}
}

// measureCallCosts logs the calls that a domain of the given size makes, and
// returns its store calls per minute.
func measureCallCosts(t *testing.T, members int) (storeCalls float64) {
	synctest.Test(t, func(t *testing.T) {
		const idle, busy = 20 * time.Second, 6 * time.Second
		c := newCluster(t, 1, 1, 4, generousOrgs(20))
		for range members {
			c.add("d0")
		}
		time.Sleep(45 * time.Second)
		before := c.countCalls()
		time.Sleep(idle)
		idleCosts := c.countCalls().minus(before)
		before = c.countCalls()
		end := time.Now().Add(busy)
		requestsPerOrg := 25 * float64(members) / 20
		var loads []*load
		for org := range c.orgs {
			l := newLoad(c, org, requestsPerOrg*200/10_000, 200)
			loads = append(loads, l)
			c.wg.Add(1)
			go l.run(uint64(len(loads)), end)
		}
		time.Sleep(busy + 5*time.Second)
		busyCosts := c.countCalls().minus(before)
		c.close()
		requests := 0
		for _, l := range loads {
			requests += l.tally.requests
		}
		callsPerMember := float64(idleCosts.calls) / idle.Seconds() / float64(members)
		storeCalls = float64(idleCosts.store) / idle.Minutes()
		idleCalls := float64(idleCosts.calls) / idle.Seconds() * (busy.Seconds() + 5)
		t.Logf("%d members: idle %.2f calls per second and member, %.0f store calls per minute; %d requests, %.2f calls and %.2f collections per request",
			members, callsPerMember, storeCalls, requests,
			(float64(busyCosts.calls)-idleCalls)/float64(requests), float64(busyCosts.collects)/float64(requests))
	})
	return storeCalls
}
