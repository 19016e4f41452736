package budget

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestReadyOnceDomainMintsOrWaitEnds checks that an instance is ready once all slots of
// its domain mint. If no slot can be claimed because the store is down, it is ready
// after maxReadyWait.
func TestReadyOnceDomainMintsOrWaitEnds(t *testing.T) {
	for name, test := range map[string]struct {
		storeDown bool
		within    time.Duration
	}{
		"store up":   {false, 5 * time.Second},
		"store down": {true, maxReadyWait},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, 1, 4, testOrgs())
				c.store.setFaults(func(m *memoryStore) { m.down = test.storeDown })
				n, other := c.add("d0"), c.add("d0")
				if n.b.Ready() == nil {
					t.Error("ready before any slot had a holder")
				}
				time.Sleep(test.within)
				for _, n := range []*node{n, other} {
					if err := n.b.Ready(); err != nil {
						t.Errorf("after %v: %v", test.within, err)
					}
				}
				c.close()
			})
		})
	}
}
