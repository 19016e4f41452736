package budget

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"monsoonfork/core/ident"
)

// testOrgs returns the organisations of the tests. In the tests' usual load,
// "loud" requests far more than its rate, "even" and "modest" less than
// theirs.
func testOrgs() map[ident.OrganisationID]Limit {
	return map[ident.OrganisationID]Limit{
		"loud":   {Rate: 10_000, Burst: 100_000},
		"even":   {Rate: 10_000, Burst: 100_000},
		"modest": {Rate: 2_000, Burst: 40_000},
	}
}

// startLoads sends the usual load of all organisations until end.
func startLoads(c *cluster, seed uint64, end time.Time) map[ident.OrganisationID]*load {
	loads := map[ident.OrganisationID]*load{
		"loud":   newLoad(c, "loud", 5, 1000),
		"even":   newLoad(c, "even", 0.7, 1000),
		"modest": newLoad(c, "modest", 0.5, 500),
	}
	for org, l := range loads {
		c.wg.Add(1)
		go l.run(seed+uint64(org[0]), end)
	}
	return loads
}

// logTallies logs the results of the loads.
func logTallies(t *testing.T, c *cluster, loads map[ident.OrganisationID]*load, length time.Duration) {
	t.Helper()
	for _, org := range []ident.OrganisationID{"loud", "even", "modest"} {
		l := loads[org]
		a := l.tally
		allowed := float64(l.reference.limit.Rate)*length.Seconds() + float64(l.reference.limit.Burst)
		t.Logf("%s: %d requests, %d admitted, %d refused, %d failed, slowest %v; tokens used %.0f, %.1f%% of rate and burst",
			org, a.requests, a.admitted, a.refused, a.failed, l.maxLatency, a.tokensUsed, 100*a.tokensUsed/allowed)
		t.Logf("%s: refused while all instances together had the tokens: %d (%.2f%%); a single token bucket: %d admitted, tokens used %.0f",
			org, a.wrongful, 100*float64(a.wrongful)/float64(a.requests), a.independentAdmitted, a.independentUsed)
	}
	calls, collections, borrowRequests := int64(0), int64(0), int64(0)
	for _, n := range c.liveNodes() {
		calls += n.b.metrics.calls.Count()
		collections += n.b.metrics.collectCalls.Count()
		borrowRequests += n.b.metrics.borrowCalls.Count()
	}
	t.Logf("calls of live nodes: %d, collections from slots %d, borrow requests %d; store calls %d in %v", calls, collections, borrowRequests, c.store.calls, length)
}

func TestSteadyLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 4, 4, testOrgs())
		for i := range 8 {
			c.add(c.domains[i%4])
		}
		time.Sleep(clusterStartTime)
		const length = 60 * time.Second
		loads := startLoads(c, 1, time.Now().Add(length))
		time.Sleep(length + 5*time.Second)
		c.close()
		logTallies(t, c, loads, length)
		c.checkAudit()
		checkWrongfulRefusals(t, loads)
	})
}

func TestRandomFaultsKeepLimit(t *testing.T) {
	for seed := uint64(1); seed <= seedCount(2); seed++ {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed, 4, 4, testOrgs())
			for i := range 8 {
				c.add(c.domains[i%4])
			}
			time.Sleep(clusterStartTime)
			const length = 200 * time.Second
			loads := startLoads(c, seed, time.Now().Add(length))
			injectFaults(c, seed, length, randomFault)
			c.close()
			logTallies(t, c, loads, length)
			c.checkAudit()
		})
	}
}

// TestRandomFaultsKeepTightLimit runs with one slot per domain and requests that use
// their whole charge, so that a slot that is minted by two nodes exceeds the limit by
// far more than the tokens left unused.
func TestRandomFaultsKeepTightLimit(t *testing.T) {
	for seed := uint64(1); seed <= seedCount(4); seed++ {
		runWithTightLimit(t, seed, randomFault)
	}
}

func TestHolderPausesKeepTightLimit(t *testing.T) {
	for seed := uint64(1); seed <= seedCount(4); seed++ {
		runWithTightLimit(t, seed, pauseRandomHolder)
	}
}

// runWithTightLimit runs a cluster of two domains with one slot each and one
// organisation that requests more than its rate, and checks the limit under
// injected faults.
func runWithTightLimit(t *testing.T, seed uint64, inject func(*cluster, *rand.Rand)) {
	synctest.Test(t, func(t *testing.T) {
		limits := map[ident.OrganisationID]Limit{"loud": {Rate: 2_000, Burst: 20_000}}
		c := newCluster(t, seed, 2, 1, limits)
		for i := range 6 {
			c.add(c.domains[i%2])
		}
		time.Sleep(clusterStartTime)
		const length = 150 * time.Second
		l := newLoad(c, "loud", 3, 200)
		l.usesAll = true
		c.wg.Add(2)
		go l.run(seed, time.Now().Add(length))
		go c.watchMinting(time.Now().Add(length))
		injectFaults(c, seed, length, inject)
		c.close()
		c.checkAudit()
	})
}

// watchMinting fails the test if two nodes mint the same slot at a time.
func (c *cluster) watchMinting(end time.Time) {
	defer c.wg.Done()
	for time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		for _, d := range c.domains {
			for slot := range c.slotsPerDomain {
				if list := c.mintingNodes(d, slot); len(list) > 1 {
					c.t.Errorf("%v: slot %d of %s is minted by %v", time.Since(c.startedAt), slot, d, list)
				}
			}
		}
	}
}

// seedsEnv names the environment variable with the number of seeds of a long
// run.
const seedsEnv = "MONSOONFORK_BUDGET_SEEDS"

// seedCount returns how many seeds a test runs: the value of seedsEnv if it
// is set, one in short mode (used with the race detector), otherwise n.
func seedCount(n uint64) uint64 {
	if configured, err := strconv.ParseUint(os.Getenv(seedsEnv), 10, 64); err == nil {
		return configured
	}
	if testing.Short() {
		return 1
	}
	return n
}

// injectFaults injects faults at random times for the given length, then
// waits 5 s.
func injectFaults(c *cluster, seed uint64, length time.Duration, inject func(*cluster, *rand.Rand)) {
	r := rand.New(rand.NewPCG(seed, 9))
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(r.Int64N(int64(8 * time.Second))))
		inject(c, r)
	}
	time.Sleep(5 * time.Second)
}

// pauseRandomHolder pauses the holder of a random domain's slot 0, or in a
// quarter of the cases makes the store unavailable.
func pauseRandomHolder(c *cluster, r *rand.Rand) {
	if r.IntN(4) == 0 {
		c.injectFault(r, 30*time.Second,
			func() { c.store.setFaults(func(m *memoryStore) { m.down = true }) },
			func() { c.store.setFaults(func(m *memoryStore) { m.down = false }) })
		return
	}
	holders := c.mintingNodes(c.domains[r.IntN(len(c.domains))], 0)
	if len(holders) == 0 {
		return
	}
	c.mu.Lock()
	holder := c.nodes[holders[0]]
	c.mu.Unlock()
	c.injectFault(r, 15*time.Second, holder.pause, holder.resume)
}

// injectFault applies a fault for a random time of at most longest.
func (c *cluster) injectFault(r *rand.Rand, longest time.Duration, begin, end func()) {
	length := time.Duration(r.Int64N(int64(longest)))
	begin()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		time.Sleep(length)
		end()
	}()
}

// randomFault injects one random fault: it kills and replaces, or pauses, a
// node; partitions a domain; or makes the store unavailable or unreliable.
// All but the kill end by themselves.
func randomFault(c *cluster, r *rand.Rand) {
	nodes := c.liveNodes()
	n := nodes[r.IntN(len(nodes))]
	domain := n.member.Domain
	partition := func(on bool) func() {
		return func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.partitioned[domain] = on
		}
	}
	storeFault := func(change func(*memoryStore)) func() {
		return func() { c.store.setFaults(change) }
	}
	switch r.IntN(8) {
	case 0, 1, 2:
		n.kill()
		c.add(domain)
	case 3:
		c.injectFault(r, 30*time.Second, n.pause, n.resume)
	case 4:
		c.injectFault(r, 60*time.Second, partition(true), partition(false))
	case 5:
		c.injectFault(r, 40*time.Second,
			storeFault(func(m *memoryStore) { m.down = true }), storeFault(func(m *memoryStore) { m.down = false }))
	case 6:
		c.injectFault(r, 10*time.Second,
			storeFault(func(m *memoryStore) { m.loseReply = true }), storeFault(func(m *memoryStore) { m.loseReply = false }))
	case 7:
		c.injectFault(r, 30*time.Second,
			storeFault(func(m *memoryStore) { m.unreachableFrom[domain] = true }), storeFault(func(m *memoryStore) { m.unreachableFrom[domain] = false }))
	}
}
