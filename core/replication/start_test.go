package replication

import (
	"testing"
	"testing/synctest"
	"time"

	"monsoonfork/core/ident"
)

// startFleet starts two domains of the given size at once. Instances know the first peers from
// their settings. It returns how many instances have called the store when all have its contents.
func startFleet(t *testing.T, members int, firstPeers ...ident.Address) (listed int) {
	t.Helper()
	st := &fakeStore{version: 1, followers: make(map[ident.InstanceID]bool), engineCount: 150}
	fleet := newFleetWith(t, st, members, func(i *instance) {
		i.SettleTime = 2500 * time.Millisecond
		i.FirstPeers = func() []ident.Address { return firstPeers }
	})
	awaitVersion(t, fleet, 1)
	time.Sleep(2500*time.Millisecond + 2*staleAfter) // All have settled.
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.listed)
}

// useCodec has the codec of configurations create its channels outside of any bubble.
func useCodec(t *testing.T) {
	t.Helper()
	if _, err := decompress(encoder.EncodeAll([]byte("x"), nil)); err != nil {
		t.Fatal(err)
	}
}

// TestStartOfAllInstancesListsTheStoreFewTimes guards against calls to the store that grow with the
// number of instances when all start together: each lists the store before it knows the others.
func TestStartOfAllInstancesListsTheStoreFewTimes(t *testing.T) {
	useCodec(t)
	synctest.Test(t, testStartOfAllInstances)
}

// testStartOfAllInstances runs in a bubble, so that a busy machine delays no instance.
func testStartOfAllInstances(t *testing.T) {
	const members = 40
	// The first peers, and the instance of each domain that follows the store from then on.
	if n := startFleet(t, members, "a0", "b0", "b1"); n > 5 {
		t.Errorf("%d of %d instances have called the store, want at most 5", n, 2*members)
	}
}

// TestStartWithoutFirstPeersSparesStoreCalls guards against the same when the first peers have ended:
// some have to list the store, but the others get the list from them.
func TestStartWithoutFirstPeersSparesStoreCalls(t *testing.T) {
	useCodec(t)
	synctest.Test(t, testStartWithoutFirstPeers)
}

// testStartWithoutFirstPeers runs in a bubble as well.
func testStartWithoutFirstPeers(t *testing.T) {
	const members = 40
	if n := startFleet(t, members, "gone0", "gone1"); n > members/2 {
		t.Errorf("%d of %d instances have called the store, want at most a quarter", n, 2*members)
	}
}
