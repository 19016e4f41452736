package replication

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/boottime"
	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

const (
	// changeInterval is the time between two changes of the store in these tests.
	changeInterval = 50 * time.Millisecond
	// stableTime is how long before a change is judged nothing may have disturbed the instance.
	stableTime = 3 * time.Second
	// testSettleTime is how long an instance waits until its member table is complete.
	testSettleTime = 2500 * time.Millisecond
)

// loss is what happens to all instances but one.
type loss func(st *fakeStore, others []*instance)

// The ways in which the others are lost.
var losses = map[string]loss{
	"dark": func(st *fakeStore, others []*instance) {
		for _, o := range others {
			st.silence(o.id, true)
		}
	},
	"away for a second": func(st *fakeStore, others []*instance) {
		for _, o := range others {
			st.silence(o.id, true)
		}
		time.AfterFunc(time.Second, func() {
			for _, o := range others {
				st.silence(o.id, false)
			}
		})
	},
	"refused by the store": func(st *fakeStore, others []*instance) {
		st.mu.Lock()
		defer st.mu.Unlock()
		st.refuses = make(map[ident.InstanceID]bool)
		for _, o := range others {
			st.refuses[o.id] = true
		}
	},
	"killed and starting again": func(_ *fakeStore, others []*instance) {
		for _, o := range others {
			o.startAgain()
		}
	},
	"dark one after the other": func(st *fakeStore, others []*instance) {
		for n, o := range others {
			time.AfterFunc(time.Duration(n)*200*time.Millisecond, func() { st.silence(o.id, true) })
		}
	},
	"refused by the store, then dark": func(st *fakeStore, others []*instance) {
		st.mu.Lock()
		st.refuses = make(map[ident.InstanceID]bool)
		for _, o := range others {
			st.refuses[o.id] = true
		}
		st.mu.Unlock()
		time.AfterFunc(watchTime, func() {
			for _, o := range others {
				st.silence(o.id, true)
			}
		})
	},
}

// silence sets whether an instance neither answers nor reaches anybody.
func (s *fakeStore) silence(id ident.InstanceID, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent == nil {
		s.silent = make(map[ident.InstanceID]bool)
	}
	s.silent[id] = silent
}

// startAgain ends the Replicator of an instance and starts one that knows nothing.
func (i *instance) startAgain() {
	i.stop()
	i.mu.Lock()
	i.version, i.healthy = 0, false
	i.mu.Unlock()
	i.reset()
	i.start()
}

// changeStore accepts a change every changeInterval, for a time, and checks that an instance never has
// an older version than what was accepted ApplyTime before.
func changeStore(t *testing.T, st *fakeStore, left *instance, judgeAfter, length time.Duration) {
	t.Helper()
	accepted := map[ident.Revision]time.Time{}
	started := time.Now()
	for v := ident.Revision(2); time.Since(started) < length; v++ {
		st.mu.Lock()
		st.version = v
		st.mu.Unlock()
		accepted[v] = time.Now()
		time.Sleep(changeInterval)
		has := left.configVersion()
		late := time.Since(accepted[has+1])
		if time.Since(started) > judgeAfter && has < v && late > testApplyTime {
			t.Fatalf("%s has version %d, and %d was accepted %v ago; want at most %v", left.id, has, has+1, late, testApplyTime)
		}
	}
}

// testLeftAlone loses all instances but one of a fleet that has run for a while.
func testLeftAlone(t *testing.T, members int, id ident.InstanceID, lose loss) {
	t.Helper()
	st := &fakeStore{version: 1, followers: make(map[ident.InstanceID]bool)}
	fleet := newFleet(t, st, members)
	awaitVersion(t, fleet, 1)
	time.Sleep(2 * stableTime)
	lose(st, others(fleet, id))
	changeStore(t, st, fleet[id], 0, 3*stableTime)
}

// others returns all instances but one.
func others(fleet map[ident.InstanceID]*instance, id ident.InstanceID) []*instance {
	var list []*instance
	for _, i := range fleet {
		if i.id != id {
			list = append(list, i)
		}
	}
	return list
}

// TestInstanceLeftAloneKeepsTheBound guards against an instance that continues with an old
// configuration and an old list of engines, because those from which it had them no longer answer or
// no longer have them: whichever rank it has, and however the others are lost.
func TestInstanceLeftAloneKeepsTheBound(t *testing.T) {
	useCodec(t)
	for name, lose := range losses {
		for _, members := range []int{1, 2, 7} {
			for m := range members {
				id := ident.InstanceID(fmt.Sprintf("a%d", m))
				t.Run(fmt.Sprintf("%s/%s of %d", name, id, members), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testLeftAlone(t, members, id, lose) })
				})
			}
		}
	}
}

// TestInstanceThatStopsFollowingKeepsTheBound guards against the same where the others are lost while
// the instance stops following the store, or just after: it had taken over from the first of its
// domain, which is back.
func TestInstanceThatStopsFollowingKeepsTheBound(t *testing.T) {
	useCodec(t)
	for wait := time.Duration(0); wait <= time.Second; wait += 100 * time.Millisecond {
		t.Run(fmt.Sprint(wait), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLeftAloneAfterHandover(t, wait) })
		})
	}
}

// testLeftAloneAfterHandover runs in a bubble. The first instance of a domain is silent until the
// second follows the store, and all others are lost a while after it is back.
func testLeftAloneAfterHandover(t *testing.T, wait time.Duration) {
	st := &fakeStore{version: 1, followers: make(map[ident.InstanceID]bool)}
	fleet := newFleet(t, st, 2)
	awaitVersion(t, fleet, 1)
	time.Sleep(stableTime)
	ranked := fleet["a0"].View().Ranked("a", followerKey)
	first, second := fleet[ranked[0].ID], fleet[ranked[1].ID]
	others := others(fleet, second.id)
	for _, o := range others {
		st.silence(o.id, true)
	}
	time.Sleep(stableTime)
	if !second.isFollowing() {
		t.Fatalf("%s does not follow the store", second.id)
	}
	st.silence(first.id, false)
	time.Sleep(wait)
	st.silence(first.id, true)
	changeStore(t, st, second, 0, 3*stableTime)
}

// TestInstanceLeftAloneAtTheStartKeepsTheBound guards against the same where all instances have just
// started and pause until their member tables are complete.
func TestInstanceLeftAloneAtTheStartKeepsTheBound(t *testing.T) {
	useCodec(t)
	for wait := 200 * time.Millisecond; wait <= 3*time.Second; wait += 400 * time.Millisecond {
		for _, id := range []ident.InstanceID{"a0", "a1", "a2"} {
			t.Run(fmt.Sprintf("%s after %v", id, wait), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testLeftAloneAtTheStart(t, wait, id) })
			})
		}
	}
}

// testLeftAloneAtTheStart runs in a bubble. a0 and b0 are the first peers.
func testLeftAloneAtTheStart(t *testing.T, wait time.Duration, id ident.InstanceID) {
	st := &fakeStore{version: 1, followers: make(map[ident.InstanceID]bool)}
	fleet := newFleetWith(t, st, 3, func(i *instance) {
		i.SettleTime = testSettleTime
		i.FirstPeers = func() []ident.Address { return []ident.Address{"a0", "b0"} }
	})
	time.Sleep(wait)
	losses["dark"](st, others(fleet, id))
	changeStore(t, st, fleet[id], stableTime-wait, 3*stableTime)
}

// TestSuspendedInstanceListsTheStore guards against an instance that takes its copy for as fresh as
// before it was suspended, since its clock stood still, and passes this on to others.
func TestSuspendedInstanceListsTheStore(t *testing.T) {
	useCodec(t)
	synctest.Test(t, testSuspendedInstance)
}

// testSuspendedInstance runs in a bubble. The clock that counts suspensions jumps at one instance.
func testSuspendedInstance(t *testing.T) {
	var suspended atomic.Int64
	st := &fakeStore{version: 1, followers: make(map[ident.InstanceID]bool)}
	fleet := newFleetWith(t, st, 2, func(i *instance) {
		if i.id == "a0" || i.id == "a1" {
			i.BootTime = func() boottime.Instant { return testBootTime().Add(time.Duration(suspended.Load())) }
		}
	})
	awaitVersion(t, fleet, 1)
	time.Sleep(stableTime)
	second := fleet[fleet["a0"].View().Ranked("a", followerKey)[1].ID]
	losses["dark"](st, others(fleet, second.id))
	suspended.Store(int64(5 * time.Second))
	time.Sleep(maxRecheckTime + 10*time.Millisecond)
	if !second.isFollowing() {
		age, _ := second.Age()
		t.Errorf("%s, whose copy is %v old, does not follow the store", second.id, age)
	}
}

// TestConfirmationsCarryTheAgeOfTheCopy guards against ages that are lost on the way: an instance
// that has its contents from another one may not take them for newer than that one does.
func TestConfirmationsCarryTheAgeOfTheCopy(t *testing.T) {
	useCodec(t)
	synctest.Test(t, func(t *testing.T) {
		st := &fakeStore{version: 1, followers: make(map[ident.InstanceID]bool)}
		fleet := map[ident.InstanceID]*instance{}
		for _, id := range []ident.InstanceID{"a0", "a1"} {
			table := membership.NewTable(membership.Member{ID: id, Domain: "a"}, log.NewNopLogger(), time.Now)
			fleet[id] = newInstance(id)
			fleet[id].Replicator = newReplicator(fleet, st, fleet[id], table)
		}
		from, to := fleet["a0"], fleet["a1"]
		from.Table.Replace([]engines.Entry{{ID: "e", Service: "s", ListRevision: 1}}, 1)
		from.RecordCurrent(testBootTime())
		const age = 1300 * time.Millisecond
		time.Sleep(age)
		if _, err := to.pull(context.Background(), from.id, untilChange); err != nil {
			t.Fatal(err)
		}
		if got, known := to.Age(); !known || got != age {
			t.Errorf("age %v, known %v; want %v", got, known, age)
		}
	})
}
