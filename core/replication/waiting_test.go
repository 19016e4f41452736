package replication

import (
	"sync/atomic"
	"testing"
	"time"

	"monsoonfork/core/ident"
)

// TestWaitingPullsCheckNothing guards against a follower whose processor time grows with the members
// that wait for changes: each pull that waits may look for changes when it begins and ends, and when
// there are any, but not in between.
func TestWaitingPullsCheckNothing(t *testing.T) {
	const members, length = 20, 2 * time.Second
	st := &fakeStore{version: 1, followers: make(map[ident.InstanceID]bool)}
	var checks atomic.Int64
	fleet := newFleetWith(t, st, members, func(i *instance) {
		notice := i.Notice
		i.Notice = func() ([]byte, int64) {
			checks.Add(1)
			return notice()
		}
	})
	awaitVersion(t, fleet, 1)
	time.Sleep(handoverDelay + 2*staleAfter)
	checks.Store(0)
	time.Sleep(length)
	const checksPerPull = 3 // The request, and the reply before and after the wait.
	pulls := 2 * members * int64(length/longPollTime+1)
	if n := checks.Load(); n > checksPerPull*pulls {
		t.Errorf("%d checks for a new notice in %v with about %d pulls, want at most %d", n, length, pulls, checksPerPull*pulls)
	}
}
