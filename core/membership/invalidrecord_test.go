package membership

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// newReportedTable returns the table of instance a1 of domain a, in which a2 is live, after b1 of
// domain b has reported records as its view.
func newReportedTable(records ...*MemberRecord) *Table {
	table := NewTable(Member{ID: "a1", Domain: "a", PeerAddress: "a1"}, log.NewNopLogger(), time.Now)
	table.RecordHeartbeat(Member{ID: "a2", Domain: "a", PeerAddress: "a2"})
	table.mergeView(link.Remote{Instance: "b1", Domain: "b"}, &ViewReply{Members: records})
	return table
}

// TestReportedRecordsKeepOwnDomain guards against a view of another domain which lists this
// instance, or a member of its domain, as one of the other domain, so that the own domain loses
// members or this instance itself.
func TestReportedRecordsKeepOwnDomain(t *testing.T) {
	table := newReportedTable(
		&MemberRecord{Instance: "a1", Domain: "b", PeerAddress: "b9", Leaving: true}, &MemberRecord{Instance: "a2", Domain: "b", PeerAddress: "b8"},
		&MemberRecord{Instance: "b1", Domain: "b", PeerAddress: "b1"},
	)
	v := table.View()
	if len(v.Live("a")) != 2 || len(v.Live("b")) != 1 || v.Self.State != Live {
		t.Errorf("live in a: %v, in b: %v", v.Live("a"), v.Live("b"))
	}
}

// TestIncompleteRecordsAreIgnored guards against records without an instance, a domain or an
// address, which count as live members that own keys, and against their keeping the records
// behind them from being read.
func TestIncompleteRecordsAreIgnored(t *testing.T) {
	table := newReportedTable(
		nil, &MemberRecord{Domain: "b", PeerAddress: "b2"}, &MemberRecord{Instance: "b2", Domain: "b"}, &MemberRecord{Instance: "b3", PeerAddress: "b3"},
		&MemberRecord{Instance: "b1", Domain: "b", PeerAddress: "b1"},
	)
	var ids []ident.InstanceID
	for _, m := range table.View().Members() {
		ids = append(ids, m.ID)
	}
	if len(ids) != 3 || len(table.View().Live("b")) != 1 {
		t.Errorf("members %q, live in b: %v", ids, table.View().Live("b"))
	}
}
