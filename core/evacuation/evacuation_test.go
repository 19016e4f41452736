package evacuation

import (
	"fmt"
	"testing"

	"monsoonfork/core/ident"
)

// TestNewestSetIsInForce guards against an evacuation that is lost, or continues after its end,
// because an instance pulls from one that has an older set; and against one that is missed because
// it was written while the pages of a list were read: the list shows a later one, and its revision
// is that of its first page.
func TestNewestSetIsInForce(t *testing.T) {
	var excluded []Set
	b := &Board{Exclude: func(s Set) { excluded = append(excluded, s) }}
	if _, known := b.Newest(); known {
		t.Error("a board without a set reports one as known")
	}
	b.Put(Set{Revision: 0})
	b.Put(Set{Revision: 7, Domains: []ident.DomainID{"a"}})
	b.Put(Set{Revision: 5})
	b.Put(Set{Revision: 7})
	b.Apply([]Change{{Domain: "a", Revision: 6, Ended: true}})
	b.Put(Set{Revision: 10, Domains: []ident.DomainID{"a", "z"}})
	b.Apply([]Change{{Domain: "b", Revision: 11}, {Domain: "z", Revision: 12}, {Domain: "a", Revision: 13, Ended: true}})
	if got := fmt.Sprint(excluded); got != "[{0 []} {7 [a]} {10 [a z]} {13 [b z]}]" {
		t.Errorf("sets in force: %s", got)
	}
}
