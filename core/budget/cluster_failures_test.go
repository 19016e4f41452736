package budget

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"monsoonfork/core/ident"
)

// The organisations of the tests: one of them loud.
func testOrgs() map[ident.OrganisationID]Limit {
	return map[ident.OrganisationID]Limit{
		"loud":   {Rate: 10_000, Burst: 100_000},
		"even":   {Rate: 10_000, Burst: 100_000},
		"modest": {Rate: 2_000, Burst: 40_000},
	}
}

// startLoads starts the usual traffic until end.
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

// report logs the tallies.
func report(t *testing.T, c *cluster, loads map[ident.OrganisationID]*load, length time.Duration) {
	t.Helper()
	for _, org := range []ident.OrganisationID{"loud", "even", "modest"} {
		l := loads[org]
		a := l.tally
		allowed := float64(l.ref.limit.Rate)*length.Seconds() + float64(l.ref.limit.Burst)
		t.Logf("%s: %d requests, %d admitted, %d refused, %d of them wrongful (%.2f%% of requests), %d failed; %.0f tokens used, %.1f%% of rate and burst; slowest %v",
			org, a.requests, a.admitted, a.refused, a.wrongful, 100*float64(a.wrongful)/float64(a.requests), a.failed, a.used, 100*a.used/allowed, l.slowest)
	}
	calls, takes, spares := int64(0), int64(0), int64(0)
	for _, n := range c.all() {
		calls += n.b.metrics.calls.Count()
		takes += n.b.metrics.takeCalls.Count()
		spares += n.b.metrics.spareCalls.Count()
	}
	t.Logf("calls of live nodes: %d, takes %d, spares %d; store calls %d in %v", calls, takes, spares, c.store.calls, length)
}

func TestSteadyLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 4, 4, testOrgs())
		for i := range 8 {
			c.add(c.domains[i%4])
		}
		time.Sleep(12 * time.Second)
		const length = 60 * time.Second
		loads := startLoads(c, 1, time.Now().Add(length))
		time.Sleep(length + 5*time.Second)
		c.close()
		report(t, c, loads, length)
		c.checkAudit()
		for _, org := range []ident.OrganisationID{"even", "modest"} {
			if a := loads[org].tally; float64(a.wrongful) > 0.005*float64(a.requests) {
				t.Errorf("%s: %d of %d requests refused wrongfully", org, a.wrongful, a.requests)
			}
		}
	})
}

func TestRandomFailuresNeverExceedTheLimit(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		synctest.Test(t, func(t *testing.T) { runRandomFailures(t, seed) })
	}
}

// runRandomFailures kills, pauses and cuts at random, with the store down for a
// third of the time.
func runRandomFailures(t *testing.T, seed uint64) {
	c := newCluster(t, seed, 4, 4, testOrgs())
	for i := range 8 {
		c.add(c.domains[i%4])
	}
	time.Sleep(12 * time.Second)
	const length = 180 * time.Second
	end := time.Now().Add(length)
	loads := startLoads(c, seed, end)
	r := rand.New(rand.NewPCG(seed, 9))
	for time.Now().Before(end) {
		time.Sleep(time.Duration(r.Int64N(int64(3 * time.Second))))
		failOnce(c, r)
	}
	time.Sleep(5 * time.Second)
	c.close()
	report(t, c, loads, length)
	c.checkAudit()
}

// failOnce causes or ends one random failure.
func failOnce(c *cluster, r *rand.Rand) {
	nodes := c.all()
	n := nodes[r.IntN(len(nodes))]
	switch r.IntN(7) {
	case 0, 1:
		n.kill()
		c.add(n.member.Domain)
	case 2:
		n.pause()
		length := time.Duration(r.Int64N(int64(20 * time.Second)))
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			time.Sleep(length)
			n.resume()
		}()
	case 3:
		c.mu.Lock()
		c.cut[n.member.Domain] = !c.cut[n.member.Domain]
		c.mu.Unlock()
	case 4:
		c.store.set(func(m *memoryStore) { m.down = r.IntN(3) == 0 })
	case 5:
		c.store.set(func(m *memoryStore) { m.loseReply = r.IntN(3) == 0 })
	case 6:
		c.store.set(func(m *memoryStore) { m.downFor[n.member.Domain] = r.IntN(2) == 0 })
	}
}
