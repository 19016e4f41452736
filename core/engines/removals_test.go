package engines

import (
	"fmt"
	"testing"

	"monsoonfork/core/ident"
)

// TestOldRemovalsAreForgotten guards against a table that grows with each engine that was ever
// listed, and against a removed engine that comes back with an old entry of another instance.
func TestOldRemovalsAreForgotten(t *testing.T) {
	table := NewTable()
	const batch, batches = 1000, 3 * maxRemovals / 1000
	id := func(n int) ident.EndpointID { return ident.EndpointID(fmt.Sprint("e-", n)) }
	for b := range batches {
		var added, removed []Change
		for n := b * batch; n < (b+1)*batch; n++ {
			added = append(added, Change{Entry: Entry{ID: id(n), Service: "s", ListRevision: int64(2*n + 1)}})
			removed = append(removed, Change{Entry: Entry{ID: id(n), ListRevision: int64(2*n + 2)}, Removed: true})
		}
		table.Apply(added)
		table.Apply(removed)
	}
	if n := len(table.removed); n > maxRemovals || n < maxRemovals/2 {
		t.Errorf("%d removals are kept, want %d to %d", n, maxRemovals/2, maxRemovals)
	}
	if n := len(table.changeSequence); n != 0 {
		t.Errorf("the changes of %d removed engines are kept, want none", n)
	}
	const newest = batch*batches - 1
	if applied := table.Apply([]Change{{Entry: Entry{ID: id(newest), Service: "s", ListRevision: 2*newest + 1}}}); len(applied) != 0 {
		t.Error("an entry older than a removal was applied")
	}
	if since := table.Since(table.sequence - batch); len(since.Changes) != batch || !since.Changes[0].Removed {
		t.Errorf("%d changes since the last batch, want its %d removals", len(since.Changes), batch)
	}
}

// TestReturnedEngineIsNotKeptAsRemoved guards against a removal that is kept beside the newer
// entry of the engine, and against an entry between the two that is applied.
func TestReturnedEngineIsNotKeptAsRemoved(t *testing.T) {
	table := NewTable()
	table.Apply([]Change{{Entry: Entry{ID: "e", Service: "s", ListRevision: 1}}})
	table.Apply([]Change{{Entry: Entry{ID: "e", ListRevision: 5}, Removed: true}})
	table.Apply([]Change{{Entry: Entry{ID: "e", Service: "s", ListRevision: 9}}})
	if len(table.removed) != 0 {
		t.Errorf("removals %v, want none", table.removed)
	}
	for _, c := range []Change{{Entry: Entry{ID: "e", ListRevision: 5}, Removed: true}, {Entry: Entry{ID: "e", Service: "s", ListRevision: 4}}} {
		if applied := table.Apply([]Change{c}); len(applied) != 0 || len(table.All()) != 1 {
			t.Errorf("old change %+v was applied", c)
		}
	}
}
