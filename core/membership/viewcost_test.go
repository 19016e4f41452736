package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// tableOf returns the table of the first of some members, who are all live.
func tableOf(members int) *Table {
	t := NewTable(memberNumber(0), log.NewNopLogger(), time.Now)
	for i := 1; i < members; i++ {
		t.RecordHeartbeat(memberNumber(i))
	}
	return t
}

// memberNumber returns one of the members of domain a.
func memberNumber(i int) Member {
	id := fmt.Sprintf("a%d", i)
	return Member{ID: ident.InstanceID(id), Domain: "a", PeerAddress: ident.Address(id), Counter: 1}
}

// TestHeartbeatsBuildNoView guards against processor time that grows with the fleet for each
// heartbeat: a view of all members is built for each, though only a counter has changed.
func TestHeartbeatsBuildNoView(t *testing.T) {
	table := tableOf(300)
	before := table.View()
	m := memberNumber(7)
	m.Counter = 50
	table.RecordHeartbeat(m)
	table.Merge(&Digest{Members: []uint64{uint64(memberNumber(8).hash())}, Counters: []int64{60}, Revisions: []int64{3}})
	table.RefreshDomain("a")
	table.ResetSilenceTimers()
	if table.View() != before {
		t.Error("a new view was built although no state has changed")
	}
	for i, want := range map[int]int64{7: 50, 8: 60} {
		if got, _ := table.Member(memberNumber(i).ID); got.Counter != want {
			t.Errorf("counter of member %d = %d, want %d", i, got.Counter, want)
		}
	}
	d := table.digest()
	if len(d.GetMembers()) != 299 {
		t.Errorf("the digest has %d members, want 299", len(d.GetMembers()))
	}
	for i, hash := range d.GetMembers() {
		if memberHash(hash) == m.hash() && d.GetCounters()[i] != 50 {
			t.Errorf("the digest has counter %d of a member, want that of its last heartbeat, 50", d.GetCounters()[i])
		}
	}
	m.PeerAddress = "moved"
	table.RecordHeartbeat(m)
	if got, _ := table.AddressOf(m.ID); got != "moved" {
		t.Errorf("address %q after a heartbeat with another one", got)
	}
}

// TestReportedMembersBuildOneView guards against a start whose processor time grows with the square
// of the fleet: a view is built for each member that another instance has reported.
func TestReportedMembersBuildOneView(t *testing.T) {
	table := NewTable(memberNumber(0), log.NewNopLogger(), time.Now)
	views := 0
	table.Subscribe(func(*View) { views++ })
	reply := &ViewReply{}
	for i := range 300 {
		reply.Members = append(reply.Members, memberNumber(i).record())
	}
	table.mergeView(link.Remote{Instance: "a1", Domain: "a"}, reply)
	if n := len(table.Members()); n != 300 || views != 2 {
		t.Errorf("%d members, %d views; want 300 and 2: at the start, and of the report", n, views)
	}
}
