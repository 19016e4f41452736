package evacuation

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"monsoonfork/core/ident"
)

// TestEvacuationOutlastsReturnOfOlderStore guards against requests to an evacuated domain after the
// store has come back from a copy that lacks the evacuation, before the operator has written it
// again, and against one that never ends if the operator does not.
func TestEvacuationOutlastsReturnOfOlderStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var excluded []string
		b := &Board{Exclude: func(s Set) { excluded = append(excluded, fmt.Sprint(s.Domains, s.Revision)) }}
		b.Put(Set{Revision: 7, Domains: []ident.DomainID{"a", "b"}})
		b.StoreReset()
		b.Put(Set{Revision: 100})
		time.Sleep(resetHoldTime / 2)
		b.Apply([]Change{{Domain: "b", Revision: 101}})
		if got := fmt.Sprint(excluded); got != "[[a b] 7 [a b] 100 [a b] 101]" {
			t.Errorf("sets in force while the operator writes again: %s", got)
		}
		if s, _ := b.Newest(); fmt.Sprint(s) != "{101 [b]}" {
			t.Errorf("set for other instances: %v, want that of the store", s)
		}
		time.Sleep(resetHoldTime)
		synctest.Wait()
		if got := excluded[len(excluded)-1]; got != "[b] 101" {
			t.Errorf("set in force after the hold time: %s", got)
		}
	})
}

// TestOutageAfterOlderCopyKeepsTheEvacuation guards against requests to an evacuated domain since the
// store is away again before the operator could write the evacuation again.
func TestOutageAfterOlderCopyKeepsTheEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var away atomic.Bool
		var excluded atomic.Int64 // Number of domains that are excluded.
		b := &Board{Exclude: func(s Set) { excluded.Store(int64(len(s.Domains))) }, AwaitsStore: away.Load}
		b.Put(Set{Revision: 7, Domains: []ident.DomainID{"a"}})
		b.StoreReset()
		b.Put(Set{Revision: 100})
		away.Store(true)
		time.Sleep(5 * resetHoldTime)
		synctest.Wait()
		if n := excluded.Load(); n != 1 {
			t.Errorf("%d domains are evacuated while the store is away, want 1", n)
		}
		away.Store(false)
		time.Sleep(2 * resetHoldTime)
		synctest.Wait()
		if n := excluded.Load(); n != 0 {
			t.Errorf("%d domains are evacuated after the delay, want none", n)
		}
	})
}
