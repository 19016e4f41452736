package platformsoak

import (
	"testing"

	"monsoonfork/core/membership"
)

// TestCheckMembers checks two instances that list each other: a missing or silent instance
// and a process that has ended are findings.
func TestCheckMembers(t *testing.T) {
	live := []membership.Member{{ID: "a", State: membership.Live}, {ID: "b", State: membership.Live}}
	for name, c := range map[string]struct {
		members []membership.Member
		want    int
	}{
		"all live": {live, 0},
		"missing":  {live[:1], 1},
		"silent":   {[]membership.Member{live[0], {ID: "b", State: membership.Silent}}, 1},
		"ended":    {append([]membership.Member{{ID: "c", State: membership.Live}}, live...), 1},
		"gone":     {append([]membership.Member{{ID: "c", State: membership.Gone}}, live...), 0},
	} {
		r := newTestRun()
		lists := []memberList{{Instance: "a"}, {Instance: "b"}}
		lists[0].Roles.Membership, lists[1].Roles.Membership = c.members, live
		r.checkMembers(lists)
		if got := r.findingCounts()[MembersAgree]; got != c.want {
			t.Errorf("%s: found %v, want %d", name, r.findings, c.want)
		}
	}
}
