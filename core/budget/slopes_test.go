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

// slopePoints are the sizes of a domain at which cost is measured.
var slopePoints = []int{4, 12, 24, 43}

// manyOrgs returns n organisations with room for the load of the slopes.
func manyOrgs(n int) map[ident.OrganisationID]Limit {
	orgs := make(map[ident.OrganisationID]Limit)
	for i := range n {
		orgs[ident.OrganisationID(fmt.Sprintf("org%03d", i))] = Limit{Rate: 10_000, Burst: 100_000}
	}
	return orgs
}

// counted is what all nodes of a cluster have sent.
type counted struct{ calls, takes, store int64 }

// count returns what all nodes have sent.
func (c *cluster) count() counted {
	var sum counted
	for _, n := range c.all() {
		sum.calls += n.b.metrics.calls.Count()
		sum.takes += n.b.metrics.takeCalls.Count()
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	sum.store = int64(c.store.calls)
	return sum
}

// minus returns the difference to an earlier count.
func (a counted) minus(b counted) counted {
	return counted{a.calls - b.calls, a.takes - b.takes, a.store - b.store}
}

func TestSlopesOverTheSizeOfADomain(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 20 s; the slopes are for docs/CAPACITY.md")
	}
	var mu sync.Mutex
	storeCalls := make(map[int]float64)
	t.Run("sizes", func(t *testing.T) {
		for _, members := range slopePoints {
			t.Run(strconv.Itoa(members), func(t *testing.T) {
				t.Parallel()
				calls := measureSlope(t, members)
				mu.Lock()
				defer mu.Unlock()
				storeCalls[members] = calls
			})
		}
	})
	if storeCalls[43] > 1.1*storeCalls[4] {
		t.Errorf("store calls grow with the members: %.0f a minute with 43, %.0f with 4", storeCalls[43], storeCalls[4])
	}
}

// measureSlope logs what a domain of some members costs, and returns its store
// calls a minute.
func measureSlope(t *testing.T, members int) (storeCalls float64) {
	synctest.Test(t, func(t *testing.T) {
		const idle, busy = 20 * time.Second, 6 * time.Second
		c := newCluster(t, 1, 1, 4, manyOrgs(20))
		for range members {
			c.add("d0")
		}
		time.Sleep(45 * time.Second)
		before := c.count()
		time.Sleep(idle)
		quiet := c.count().minus(before)
		before = c.count()
		end := time.Now().Add(busy)
		perOrg := 25 * float64(members) / 20
		var loads []*load
		for org := range c.orgs {
			l := newLoad(c, org, perOrg*200/10_000, 200)
			loads = append(loads, l)
			c.wg.Add(1)
			go l.run(uint64(len(loads)), end)
		}
		time.Sleep(busy + 5*time.Second)
		loaded := c.count().minus(before)
		c.close()
		requests := 0
		for _, l := range loads {
			requests += l.tally.requests
		}
		perNode := float64(quiet.calls) / idle.Seconds() / float64(members)
		storeCalls = float64(quiet.store) / idle.Minutes()
		idleCalls := float64(quiet.calls) / idle.Seconds() * (busy.Seconds() + 5)
		t.Logf("%d members: idle %.2f calls a second and member, %.0f store calls a minute; %d requests, %.2f calls and %.2f takes a request",
			members, perNode, storeCalls, requests,
			(float64(loaded.calls)-idleCalls)/float64(requests), float64(loaded.takes)/float64(requests))
	})
	return storeCalls
}
