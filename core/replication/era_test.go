package replication

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
	"monsoonfork/core/storeera"
)

// ordered returns a revision of an era.
func ordered(t *testing.T, era, revision int64) int64 {
	t.Helper()
	n, err := storeera.Order(era, revision)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// newEraInstance returns an instance that has engine e0 with a number of slots, and its notice, as of
// a revision.
func newEraInstance(t *testing.T, fleet map[ident.InstanceID]*instance, id ident.InstanceID, slots int, revision int64) *instance {
	t.Helper()
	i := newInstance(id)
	i.notices.Exclude = func(ident.EndpointID, engines.Stage, time.Time) {}
	i.Replicator = newReplicator(fleet, &fakeStore{}, i, membership.NewTable(membership.Member{ID: id, Domain: "a"}, log.NewNopLogger(), time.Now))
	i.Table.Replace([]engines.Entry{{ID: "e0", Service: "s", Slots: slots, ListRevision: revision}}, revision)
	if err := i.notices.Put([]byte("{}"), revision); err != nil {
		t.Fatal(err)
	}
	i.eras.ObserveCopy(revision)
	i.healthy, i.stopFollowing = true, func() {} // It follows the store, and replies as healthy.
	i.confirm(testBootTime())
	fleet[id] = i
	return i
}

// slots returns the slots of engine e0 at an instance.
func (i *instance) slots() int { return i.Table.ServiceEngines("s")[0].Slots }

// TestPullsConvergeOnTheLaterEra guards against instances that end with different engines since they
// pull from others of which some know that the store came back from an older copy, and some do not.
func TestPullsConvergeOnTheLaterEra(t *testing.T) {
	fleet := make(map[ident.InstanceID]*instance)
	member := newEraInstance(t, fleet, "m", 1, ordered(t, 1, 50))
	_ = newEraInstance(t, fleet, "old", 5, ordered(t, 1, 55))
	_ = newEraInstance(t, fleet, "new", 2, ordered(t, 2, 10))
	for n, from := range []ident.InstanceID{"old", "new", "old", "new"} {
		healthy, err := member.pull(t.Context(), from, withoutWait)
		if knowsLater := n > 0; err != nil || healthy != (from == "new" || !knowsLater) {
			t.Errorf("pull %d from %s: healthy %v, %v", n, from, healthy, err)
		}
	}
	if _, notice := member.notices.Newest(); member.slots() != 2 || notice != ordered(t, 2, 10) || member.eras.Current() != 2 {
		t.Errorf("%d slots, notice %d, era %d; want those of era 2", member.slots(), notice, member.eras.Current())
	}
}

// TestWholeTableIsComparedAfterReset guards against an entry of the earlier era that stays: it was
// pulled from another instance just before the first reply of the later era, whose instance sends only
// what has changed there since the last pull.
func TestWholeTableIsComparedAfterReset(t *testing.T) {
	fleet := make(map[ident.InstanceID]*instance)
	member := newEraInstance(t, fleet, "m", 2, ordered(t, 1, 50))
	_ = newEraInstance(t, fleet, "new", 2, ordered(t, 2, 10))
	member.eras.OnRise = func(_, _ int64) {
		member.Table.Apply([]engines.Change{{Entry: engines.Entry{ID: "e0", Service: "s", Slots: 5, ListRevision: ordered(t, 1, 55)}}})
		member.StoreReset()
	}
	for range 2 {
		if _, err := member.pull(t.Context(), "new", withoutWait); err != nil {
			t.Fatal(err)
		}
	}
	if member.slots() != 2 {
		t.Errorf("%d slots, want the 2 of era 2", member.slots())
	}
}

// TestEngineThatLeftIsComparedAgainAfterTheDelay guards against an engine that has left and is used again
// since another instance believes an older copy of the store; and against one that runs and stays out of
// use, as the other instance does not send its unchanged entry again.
func TestEngineThatLeftIsComparedAgainAfterTheDelay(t *testing.T) {
	const delay = 3 * time.Second // More than the feed's.
	fleet := make(map[ident.InstanceID]*instance)
	member := newEraInstance(t, fleet, "m", 1, ordered(t, 1, 50))
	_ = newEraInstance(t, fleet, "believer", 1, ordered(t, 2, 10))
	feed := &engines.Feed{Table: member.Table, Now: time.Now, OnReturnsAccepted: member.CompareTables}
	member.eras.OnRise = func(_, _ int64) {
		feed.StoreReset(time.Now())
		member.StoreReset()
	}
	member.Table.Apply([]engines.Change{{Entry: engines.Entry{ID: "e0", ListRevision: ordered(t, 1, 51)}, Removed: true}})
	pull := func() {
		t.Helper()
		for range 2 {
			if _, err := member.pull(t.Context(), "believer", withoutWait); err != nil {
				t.Fatal(err)
			}
		}
	}
	pull()
	if n := len(member.Table.All()); n != 0 {
		t.Errorf("%d engines within the delay, want none", n)
	}
	time.Sleep(delay)
	pull()
	if n := len(member.Table.All()); n != 1 {
		t.Errorf("%d engines after the delay, want the listed one", n)
	}
}

// TestOldProcessGetsRevisionsOfTheStore guards against a process from before eras that ignores what it
// reads from the store itself, as it got larger revisions with an era from other instances.
func TestOldProcessGetsRevisionsOfTheStore(t *testing.T) {
	callee := newEraInstance(t, make(map[ident.InstanceID]*instance), "c", 1, ordered(t, 3, 40))
	for _, knowsEras := range []bool{false, true} {
		want := int64(40)
		if knowsEras {
			want = ordered(t, 3, 40)
		}
		reply, err := callee.Serve(t.Context(), "m", &PullRequest{OrderedRevisions: knowsEras})
		if err != nil {
			t.Fatal(err)
		}
		if r := reply.(*PullReply); r.GetRevision() != want || r.GetEngines()[0].GetAsOf() != want || r.GetNoticeRevision() != want {
			t.Errorf("revisions %d, %d and %d; want %d", r.GetRevision(), r.GetEngines()[0].GetAsOf(), r.GetNoticeRevision(), want)
		}
	}
}
