package budget

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"monsoonfork/core/ident"
)

// clusterStartTime is how long a new cluster needs until all slots mint and
// hold a full burst.
const clusterStartTime = 15 * time.Second

// mintingNodes returns the nodes that may mint a slot of their domain now.
func (c *cluster) mintingNodes(domain ident.DomainID, slot int) []ident.InstanceID {
	var list []ident.InstanceID
	for _, n := range c.liveNodes() {
		if n.member.Domain != domain || n.isPaused() {
			continue
		}
		for _, d := range n.b.slots.dump() {
			if d.Slot == slot && d.Minting {
				list = append(list, n.member.ID)
			}
		}
	}
	return list
}

// onlyMintingNode returns the node that mints a slot, and fails the test
// unless there is exactly one.
func (c *cluster) onlyMintingNode(domain ident.DomainID, slot int) *node {
	c.t.Helper()
	list := c.mintingNodes(domain, slot)
	if len(list) != 1 {
		c.t.Fatalf("slot %d of %s is minted by %v", slot, domain, list)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[list[0]]
}

// admitAll admits requests of the given cost through n until one is refused,
// and returns the tokens admitted.
func admitAll(n *node, org ident.OrganisationID, cost ident.Tokens) ident.Tokens {
	sum := ident.Tokens(0)
	for {
		if _, err := n.b.Admit(context.Background(), org, cost); err != nil {
			return sum
		}
		sum += cost
	}
}

// TestPausedHolderDoesNotMint checks that a holder which is paused for longer than
// its lease mints nothing when it resumes, since another member has taken over its
// slot.
func TestPausedHolderDoesNotMint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1, testOrgs())
		c.add("d0")
		c.add("d0")
		time.Sleep(clusterStartTime)
		paused := c.onlyMintingNode("d0", 0)
		paused.pause()
		time.Sleep(2 * clusterStartTime)
		newHolder := c.onlyMintingNode("d0", 0)
		if newHolder == paused {
			t.Fatal("the slot was not taken over")
		}
		if got := admitAll(newHolder, "loud", 1000); got < 99_000 {
			t.Errorf("through the new holder %d tokens of a burst of 100000 were admitted", got)
		}
		paused.resume()
		if got := admitAll(paused, "loud", 1000); got > 1000 {
			t.Errorf("through the resumed node %d tokens were admitted at once", got)
		}
		time.Sleep(5 * time.Second)
		if holder := c.onlyMintingNode("d0", 0); holder != newHolder {
			t.Errorf("%s mints the slot although another node took it over", holder.member.ID)
		}
		c.close()
		c.checkAudit()
	})
}

// TestPausedHolderDoesNotMintDuringStoreOutage checks the same if the holder resumes
// while the store is down, so that it cannot read there who holds the slot.
func TestPausedHolderDoesNotMintDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1, testOrgs())
		for range 3 {
			c.add("d0")
		}
		time.Sleep(clusterStartTime)
		paused := c.onlyMintingNode("d0", 0)
		paused.pause()
		time.Sleep(2 * clusterStartTime)
		newHolder := c.onlyMintingNode("d0", 0)
		c.store.setFaults(func(m *memoryStore) { m.down = true })
		paused.resume()
		for range 60 {
			time.Sleep(500 * time.Millisecond)
			if holder := c.onlyMintingNode("d0", 0); holder != newHolder {
				t.Fatalf("%s mints the slot although another node took it over", holder.member.ID)
			}
		}
		admitAll(newHolder, "loud", 1000)
		c.close()
		c.checkAudit()
	})
}

func TestLoadDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 4, 4, testOrgs())
		for i := range 8 {
			c.add(c.domains[i%4])
		}
		time.Sleep(clusterStartTime)
		c.store.setFaults(func(m *memoryStore) { m.down = true })
		const length = 180 * time.Second
		loads := startLoads(c, 2, time.Now().Add(length))
		time.Sleep(length + 5*time.Second)
		c.close()
		logTallies(t, c, loads, length)
		c.checkAudit()
		checkWrongfulRefusals(t, loads)
		if l := loads["loud"]; l.tally.tokensUsed < 0.95*l.tally.independentUsed {
			t.Errorf("organisation loud used %.0f tokens, a single token bucket would admit %.0f", l.tally.tokensUsed, l.tally.independentUsed)
		}
	})
}

// TestPartitionedDomainAdmitsItsShare checks that a domain without connection to the
// other domains and the store admits its share of the rate, and that no organisation
// exceeds its limit over all domains.
func TestPartitionedDomainAdmitsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 4, 4, testOrgs())
		for i := range 8 {
			c.add(c.domains[i%4])
		}
		time.Sleep(clusterStartTime)
		partitionDomain(c, "d0", true)
		const length = 180 * time.Second
		loads := startLoads(c, 3, time.Now().Add(length))
		time.Sleep(length + 5*time.Second)
		partitionDomain(c, "d0", false)
		c.close()
		logTallies(t, c, loads, length)
		c.checkAudit()
		l := loads["loud"]
		share := float64(l.reference.limit.Rate) / 4 * length.Seconds()
		admitted := l.byDomain["d0"].tokensUsed
		t.Logf("partitioned domain: organisation loud used %.0f tokens, %.1f%% of the domain's share", admitted, 100*admitted/share)
		if admitted < 0.95*share {
			t.Errorf("the partitioned domain admitted %.0f tokens of a share of %.0f", admitted, share)
		}
		for _, org := range []ident.OrganisationID{"even", "modest"} {
			if d := loads[org].byDomain["d0"]; float64(d.refused) > 0.005*float64(d.requests) {
				t.Errorf("%s: %d of %d requests refused in the partitioned domain", org, d.refused, d.requests)
			}
		}
	})
}

// partitionDomain cuts a domain off from all others and from the store, or
// reconnects it.
func partitionDomain(c *cluster, domain ident.DomainID, on bool) {
	c.mu.Lock()
	c.partitioned[domain] = on
	c.mu.Unlock()
	c.store.setFaults(func(m *memoryStore) { m.unreachableFrom[domain] = on })
}

// checkWrongfulRefusals fails the test if more than 0.5 % of the requests of
// an organisation within its rate were refused although all instances
// together had the tokens.
func checkWrongfulRefusals(t *testing.T, loads map[ident.OrganisationID]*load) {
	t.Helper()
	for _, org := range []ident.OrganisationID{"even", "modest"} {
		if a := loads[org].tally; float64(a.wrongful) > 0.005*float64(a.requests) {
			t.Errorf("%s: %d of %d requests refused wrongfully", org, a.wrongful, a.requests)
		}
	}
}

// TestPlannedStopTransfersSlotsAndTokens checks that an instance which is stopped as
// planned passes its slots and tokens to the other member.
func TestPlannedStopTransfersSlotsAndTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 2, testOrgs())
		stopped := c.add("d0")
		c.add("d0")
		time.Sleep(clusterStartTime)
		stopped.table.SetLeaving()
		c.heartbeat()
		for _, n := range c.liveNodes() {
			if n != stopped {
				m := stopped.member
				m.State = 1
				n.table.RecordHeartbeat(m)
			}
		}
		if err := stopped.b.Drain(context.Background()); err != nil {
			t.Error(err)
		}
		stopped.kill()
		time.Sleep(2 * time.Second)
		other := c.liveNodes()[0]
		for slot := range 2 {
			if holder := c.onlyMintingNode("d0", slot); holder != other {
				t.Errorf("slot %d is held by %s", slot, holder.member.ID)
			}
		}
		if got := admitAll(other, "loud", 1000); got < 95_000 {
			t.Errorf("after the planned stop %d tokens of a burst of 100000 were left", got)
		}
		c.close()
		c.checkAudit()
	})
}

// TestRepeatedSettleHasNoEffect checks that a settlement which arrives again refunds
// nothing.
func TestRepeatedSettleHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1, testOrgs())
		a := c.add("d0")
		time.Sleep(clusterStartTime)
		g, err := a.b.Admit(context.Background(), "loud", 100_000)
		if err != nil {
			t.Fatal(err)
		}
		g.Settle(0)
		g.Settle(0)
		a.b.accounts.settle("loud", g.id, 0)
		if late := a.b.metrics.lateSettles.Count(); late != 1 {
			t.Errorf("%d late settlements counted, want 1", late)
		}
		if got := admitAll(a, "loud", 1000); got > 100_000 {
			t.Errorf("%d tokens admitted after a repeated refund", got)
		}
		c.close()
		c.checkAudit()
	})
}

func TestCostAboveBurstIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1, testOrgs())
		a := c.add("d0")
		if _, err := a.b.Admit(context.Background(), "loud", 100_001); err == nil {
			t.Error("a cost above the burst was admitted")
		}
		c.close()
	})
}
