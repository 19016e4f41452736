package budget

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"monsoonfork/core/membership"
)

// TestSlotsAreTakenOverDuringStoreOutage kills and replaces instances while the store
// is down. If claims needed the store, each slot would be lost with its holder.
func TestSlotsAreTakenOverDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 4, 4, testOrgs())
		for i := range 8 {
			c.add(c.domains[i%4])
		}
		time.Sleep(clusterStartTime)
		c.store.setFaults(func(m *memoryStore) { m.down = true })
		const length = 180 * time.Second
		loads := startLoads(c, 4, time.Now().Add(length))
		r := rand.New(rand.NewPCG(4, 9))
		for range length / (4 * time.Second) {
			time.Sleep(4 * time.Second)
			nodes := c.liveNodes()
			n := nodes[r.IntN(len(nodes))]
			n.kill()
			c.add(n.member.Domain)
		}
		time.Sleep(5 * time.Second)
		c.close()
		logTallies(t, c, loads, length)
		c.checkAudit()
		if l := loads["loud"]; l.tally.tokensUsed < 0.5*l.tally.independentUsed {
			t.Errorf("organisation loud used %.0f tokens, a single token bucket would admit %.0f", l.tally.tokensUsed, l.tally.independentUsed)
		}
	})
}

func TestClaimsWithoutStoreKeepTightLimit(t *testing.T) {
	for seed := uint64(1); seed <= seedCount(4); seed++ {
		runWithTightLimit(t, seed, randomOutageFault)
	}
}

// randomOutageFault kills and replaces, or pauses, a node, preferably a slot
// holder, or makes the store unavailable for a while.
func randomOutageFault(c *cluster, r *rand.Rand) {
	nodes := c.liveNodes()
	n := nodes[r.IntN(len(nodes))]
	if holders := c.mintingNodes(n.member.Domain, 0); len(holders) > 0 && r.IntN(2) == 0 {
		c.mu.Lock()
		n = c.nodes[holders[0]]
		c.mu.Unlock()
	}
	switch r.IntN(4) {
	case 0, 1:
		n.kill()
		c.add(n.member.Domain)
	case 2:
		c.injectFault(r, 15*time.Second, n.pause, n.resume)
	case 3:
		c.injectFault(r, 60*time.Second,
			func() { c.store.setFaults(func(m *memoryStore) { m.down = true }) },
			func() { c.store.setFaults(func(m *memoryStore) { m.down = false }) })
	}
}

// TestPlannedStopTransfersTokensDuringStoreOutage checks that a planned stop passes the
// tokens on, and ends minting on the stopped instance, although it cannot release its
// slot in the store.
func TestPlannedStopTransfersTokensDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1, testOrgs())
		for range 3 {
			c.add("d0")
		}
		time.Sleep(clusterStartTime)
		stopped := c.onlyMintingNode("d0", 0)
		c.store.setFaults(func(m *memoryStore) { m.down = true })
		stopped.table.SetLeaving()
		leaving := stopped.member
		leaving.State = membership.Leaving
		for _, n := range c.liveNodes() {
			if n != stopped {
				n.table.RecordHeartbeat(leaving)
			}
		}
		if err := stopped.b.Drain(context.Background()); err != nil {
			t.Error(err)
		}
		stopped.kill()
		other := c.liveNodes()[0]
		if got := admitAll(other, "loud", 1000); got < 95_000 {
			t.Errorf("after the planned stop %d tokens of a burst of 100000 were left", got)
		}
		time.Sleep(8 * time.Second)
		if holder := c.onlyMintingNode("d0", 0); holder == stopped {
			t.Error("the stopped node mints the slot")
		}
		c.close()
		c.checkAudit()
	})
}
