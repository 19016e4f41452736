package budget

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"monsoonfork/core/ident"
)

// settleTime is how long a new cluster needs until all slots mint and are full.
const settleTime = 15 * time.Second

// minting returns the nodes that may mint a slot of their domain now.
func (c *cluster) minting(domain ident.DomainID, slot int) []ident.InstanceID {
	var list []ident.InstanceID
	for _, n := range c.all() {
		if n.member.Domain != domain || n.isPaused() {
			continue
		}
		for _, d := range n.b.keeper.dump() {
			if d.Slot == slot && d.Minting {
				list = append(list, n.member.ID)
			}
		}
	}
	return list
}

// mustMint returns the only node that mints a slot.
func (c *cluster) mustMint(domain ident.DomainID, slot int) *node {
	c.t.Helper()
	list := c.minting(domain, slot)
	if len(list) != 1 {
		c.t.Fatalf("slot %d of %s is minted by %v", slot, domain, list)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[list[0]]
}

// spendAll admits as many requests of cost through n as it can.
func spendAll(n *node, org ident.OrganisationID, cost ident.Tokens) ident.Tokens {
	sum := ident.Tokens(0)
	for {
		if _, err := n.b.Admit(context.Background(), org, cost); err != nil {
			return sum
		}
		sum += cost
	}
}

func TestPausedHolderDoesNotMint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1, testOrgs())
		c.add("d0")
		c.add("d0")
		time.Sleep(settleTime)
		old := c.mustMint("d0", 0)
		old.pause()
		time.Sleep(2 * settleTime)
		next := c.mustMint("d0", 0)
		if next == old {
			t.Fatal("the slot was not taken over")
		}
		if got := spendAll(next, "loud", 1000); got < 99_000 {
			t.Errorf("the new holder's domain admitted %d of a burst of 100000", got)
		}
		old.resume()
		if got := spendAll(old, "loud", 1000); got > 1000 {
			t.Errorf("after the pause %d tokens were admitted at once", got)
		}
		time.Sleep(5 * time.Second)
		if holder := c.mustMint("d0", 0); holder != next {
			t.Errorf("%s mints after its pause", holder.member.ID)
		}
		c.close()
		c.checkAudit()
	})
}

func TestPausedHolderDoesNotMintWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1, testOrgs())
		for range 3 {
			c.add("d0")
		}
		time.Sleep(settleTime)
		old := c.mustMint("d0", 0)
		old.pause()
		time.Sleep(2 * settleTime)
		next := c.mustMint("d0", 0)
		c.store.set(func(m *memoryStore) { m.down = true })
		old.resume()
		for range 60 {
			time.Sleep(500 * time.Millisecond)
			if holder := c.mustMint("d0", 0); holder != next {
				t.Fatalf("%s mints after its pause", holder.member.ID)
			}
		}
		spendAll(next, "loud", 1000)
		c.close()
		c.checkAudit()
	})
}

func TestStoreDownThroughout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 4, 4, testOrgs())
		for i := range 8 {
			c.add(c.domains[i%4])
		}
		time.Sleep(settleTime)
		c.store.set(func(m *memoryStore) { m.down = true })
		const length = 180 * time.Second
		loads := startLoads(c, 2, time.Now().Add(length))
		time.Sleep(length + 5*time.Second)
		c.close()
		report(t, c, loads, length)
		c.checkAudit()
		checkWrongful(t, loads)
		if l := loads["loud"]; l.tally.used < 0.95*l.tally.exactUsed {
			t.Errorf("loud used %.0f tokens, one bucket would give %.0f", l.tally.used, l.tally.exactUsed)
		}
	})
}

func TestCutOffDomainAdmitsItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 4, 4, testOrgs())
		for i := range 8 {
			c.add(c.domains[i%4])
		}
		time.Sleep(settleTime)
		setCut(c, "d0", true)
		const length = 180 * time.Second
		loads := startLoads(c, 3, time.Now().Add(length))
		time.Sleep(length + 5*time.Second)
		setCut(c, "d0", false)
		c.close()
		report(t, c, loads, length)
		c.checkAudit()
		l := loads["loud"]
		part := float64(l.ref.limit.Rate) / 4 * length.Seconds()
		got := l.byDomain["d0"].used
		t.Logf("cut-off domain: loud used %.0f tokens, %.1f%% of the domain's part", got, 100*got/part)
		if got < 0.95*part {
			t.Errorf("the cut-off domain admitted %.0f tokens of a part of %.0f", got, part)
		}
		for _, org := range []ident.OrganisationID{"even", "modest"} {
			if d := loads[org].byDomain["d0"]; float64(d.refused) > 0.005*float64(d.requests) {
				t.Errorf("%s: %d of %d requests refused in the cut-off domain", org, d.refused, d.requests)
			}
		}
	})
}

// setCut cuts a domain off from all others and from the store, or heals it.
func setCut(c *cluster, domain ident.DomainID, on bool) {
	c.mu.Lock()
	c.cut[domain] = on
	c.mu.Unlock()
	c.store.set(func(m *memoryStore) { m.downFor[domain] = on })
}

// checkWrongful fails the test if organisations inside their rate were refused.
func checkWrongful(t *testing.T, loads map[ident.OrganisationID]*load) {
	t.Helper()
	for _, org := range []ident.OrganisationID{"even", "modest"} {
		if a := loads[org].tally; float64(a.wrongful) > 0.005*float64(a.requests) {
			t.Errorf("%s: %d of %d requests refused wrongfully", org, a.wrongful, a.requests)
		}
	}
}

func TestPlannedStopHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 2, testOrgs())
		a := c.add("d0")
		c.add("d0")
		time.Sleep(settleTime)
		a.table.SetLeaving()
		c.beat()
		for _, n := range c.all() {
			if n != a {
				m := a.member
				m.State = 1
				n.table.Heard(m)
			}
		}
		if err := a.b.Drain(context.Background()); err != nil {
			t.Error(err)
		}
		a.kill()
		time.Sleep(2 * time.Second)
		other := c.all()[0]
		for slot := range 2 {
			if holder := c.mustMint("d0", slot); holder != other {
				t.Errorf("slot %d is held by %s", slot, holder.member.ID)
			}
		}
		if got := spendAll(other, "loud", 1000); got < 95_000 {
			t.Errorf("after the hand-over %d tokens of a burst of 100000 were left", got)
		}
		c.close()
		c.checkAudit()
	})
}

func TestSettleCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1, testOrgs())
		a := c.add("d0")
		time.Sleep(settleTime)
		g, err := a.b.Admit(context.Background(), "loud", 100_000)
		if err != nil {
			t.Fatal(err)
		}
		g.Settle(0)
		g.Settle(0)
		a.b.home.settle("loud", g.id, 0)
		if late := a.b.metrics.lateSettles.Count(); late != 1 {
			t.Errorf("%d late settlements counted, want 1", late)
		}
		if got := spendAll(a, "loud", 1000); got > 100_000 {
			t.Errorf("%d tokens admitted after a repeated refund", got)
		}
		c.close()
		c.checkAudit()
	})
}

func TestCostAboveBurstIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1, testOrgs())
		a := c.add("d0")
		if _, err := a.b.Admit(context.Background(), "loud", 100_001); err == nil {
			t.Error("a cost above the burst was admitted")
		}
		c.close()
	})
}
