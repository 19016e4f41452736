package budget

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"monsoonfork/core/membership"
)

// The store is down for good, and instances are killed and replaced. Without
// claims that need no store, each slot is lost with its holder.
func TestSlotsOutliveTheirHoldersWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 4, 4, testOrgs())
		for i := range 8 {
			c.add(c.domains[i%4])
		}
		time.Sleep(settleTime)
		c.store.set(func(m *memoryStore) { m.down = true })
		const length = 180 * time.Second
		loads := startLoads(c, 4, time.Now().Add(length))
		r := rand.New(rand.NewPCG(4, 9))
		for range length / (4 * time.Second) {
			time.Sleep(4 * time.Second)
			nodes := c.all()
			n := nodes[r.IntN(len(nodes))]
			n.kill()
			c.add(n.member.Domain)
		}
		time.Sleep(5 * time.Second)
		c.close()
		report(t, c, loads, length)
		c.checkAudit()
		if l := loads["loud"]; l.tally.used < 0.5*l.tally.exactUsed {
			t.Errorf("loud used %.0f tokens, one bucket would give %.0f", l.tally.used, l.tally.exactUsed)
		}
	})
}

func TestClaimsWithoutTheStoreNeverExceedATightLimit(t *testing.T) {
	for seed := uint64(1); seed <= seeds(4); seed++ {
		runTight(t, seed, failInOutage)
	}
}

// failInOutage kills, pauses and revives holders while the store comes and goes.
func failInOutage(c *cluster, r *rand.Rand) {
	nodes := c.all()
	n := nodes[r.IntN(len(nodes))]
	if holders := c.minting(n.member.Domain, 0); len(holders) > 0 && r.IntN(2) == 0 {
		c.mu.Lock()
		n = c.nodes[holders[0]]
		c.mu.Unlock()
	}
	switch r.IntN(4) {
	case 0, 1:
		n.kill()
		c.add(n.member.Domain)
	case 2:
		c.during(r, 15*time.Second, n.pause, n.resume)
	case 3:
		c.during(r, 60*time.Second,
			func() { c.store.set(func(m *memoryStore) { m.down = true }) },
			func() { c.store.set(func(m *memoryStore) { m.down = false }) })
	}
}

func TestPlannedStopHandsOverWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1, testOrgs())
		for range 3 {
			c.add("d0")
		}
		time.Sleep(settleTime)
		a := c.mustMint("d0", 0)
		c.store.set(func(m *memoryStore) { m.down = true })
		a.table.SetLeaving()
		leaving := a.member
		leaving.State = membership.Leaving
		for _, n := range c.all() {
			if n != a {
				n.table.Heard(leaving)
			}
		}
		if err := a.b.Drain(context.Background()); err != nil {
			t.Error(err)
		}
		a.kill()
		other := c.all()[0]
		if got := spendAll(other, "loud", 1000); got < 95_000 {
			t.Errorf("after the hand-over %d tokens of a burst of 100000 were left", got)
		}
		time.Sleep(8 * time.Second)
		if holder := c.mustMint("d0", 0); holder == a {
			t.Error("the stopped node mints")
		}
		c.close()
		c.checkAudit()
	})
}
