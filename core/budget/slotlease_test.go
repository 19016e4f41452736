package budget

import (
	"testing"
	"time"

	"monsoonfork/core/ident"
)

// secondsAfterStart returns the instant at the given number of seconds after
// the clock's start.
func secondsAfterStart(seconds float64) Instant { return Instant(seconds * float64(time.Second)) }

func TestStoreLeaseExpires(t *testing.T) {
	l := newSlotLease(secondsAfterStart(1))
	if !l.mayMint(secondsAfterStart(6.9)) {
		t.Error("minting is not allowed before the end of the lease")
	}
	if l.mayMint(secondsAfterStart(7)) {
		t.Error("minting is allowed after the end of the lease")
	}
}

func TestLeaseExtendsWithAllPromises(t *testing.T) {
	l := newSlotLease(secondsAfterStart(0))
	members := []ident.InstanceID{"b", "c"}
	l.recordPromise("b", secondsAfterStart(4))
	l.applyPromises(members, secondsAfterStart(5))
	if l.mayMint(secondsAfterStart(7)) {
		t.Error("minting is allowed without the promise of member c")
	}
	l = newSlotLease(secondsAfterStart(0))
	l.recordPromise("b", secondsAfterStart(4))
	l.recordPromise("c", secondsAfterStart(5))
	l.applyPromises(members, secondsAfterStart(5))
	if !l.mayMint(secondsAfterStart(9.9)) || l.mayMint(secondsAfterStart(10)) {
		t.Error("the lease must end with the promise that ends first")
	}
}

func TestOnlyMemberKeepsLeaseWithoutPromises(t *testing.T) {
	l := newSlotLease(secondsAfterStart(0))
	for s := 1.0; s < 100; s++ {
		l.applyPromises(nil, secondsAfterStart(s))
	}
	if !l.mayMint(secondsAfterStart(104)) {
		t.Error("the only remaining member must be allowed to keep minting")
	}
}

func TestPausedOnlyMemberNeedsStoreOrPromise(t *testing.T) {
	l := newSlotLease(secondsAfterStart(0))
	l.applyPromises(nil, secondsAfterStart(1))
	l.applyPromises(nil, secondsAfterStart(60)) // The holder was paused from 1 s to 60 s.
	if l.mayMint(secondsAfterStart(60.1)) {
		t.Error("the only member may mint after a pause without a renewal or a promise")
	}
	l.recordRenewal(secondsAfterStart(61), secondsAfterStart(61.1))
	if !l.mayMint(secondsAfterStart(62)) {
		t.Error("minting is not allowed after a renewal in the store")
	}
}

func TestPausedHolderNeedsStablePromises(t *testing.T) {
	l := newSlotLease(secondsAfterStart(0))
	members := []ident.InstanceID{"b"}
	l.recordPromise("b", secondsAfterStart(1))
	l.applyPromises(members, secondsAfterStart(1))
	l.checkExpiry(secondsAfterStart(60))
	l.recordPromise("b", secondsAfterStart(60))
	if l.applyPromises(members, secondsAfterStart(60.1)) {
		t.Error("the first promise after a pause restores the lease")
	}
	l.recordPromise("b", secondsAfterStart(62))
	if !l.applyPromises(members, secondsAfterStart(62.1)) || !l.mayMint(secondsAfterStart(62.2)) {
		t.Error("stable promises do not restore the lease")
	}
}

func TestObservationRestartsAfterReadGap(t *testing.T) {
	o := &leaseObservation{}
	for s := 0.0; s <= 5; s++ {
		o.recordRead(7, secondsAfterStart(s))
	}
	o.recordRead(7, secondsAfterStart(30)) // The observing process was paused.
	if o.leaseExpired(secondsAfterStart(30)) {
		t.Error("a gap between reads counts as observation time")
	}
	for s := 31.0; s <= 37; s++ {
		o.recordRead(7, secondsAfterStart(s))
	}
	if !o.leaseExpired(secondsAfterStart(37)) {
		t.Error("the lease has not expired although the record did not change for a lease and its margin")
	}
	o.recordRead(8, secondsAfterStart(38))
	if o.leaseExpired(secondsAfterStart(38)) {
		t.Error("the lease has expired although the record was renewed")
	}
}

func TestMemberRefusesOlderEpochs(t *testing.T) {
	s := &slotView{}
	if !s.recordAnnouncement("a", 3, secondsAfterStart(1)) || s.promisedUntil != secondsAfterStart(1).Add(leaseLength+leaseMargin) {
		t.Fatal("the first holder was refused, or the promise has the wrong end")
	}
	if s.recordAnnouncement("b", 2, secondsAfterStart(2)) {
		t.Error("a holder with an older epoch was promised the slot")
	}
	s.claimEpoch = 4
	if s.recordAnnouncement("a", 3, secondsAfterStart(3)) {
		t.Error("a holder was promised the slot while the member's own claim may take effect")
	}
	if !s.recordAnnouncement("c", 5, secondsAfterStart(4)) || s.claimEpoch != 0 {
		t.Error("a holder with an epoch newer than the member's claim was refused")
	}
}

func TestLargerSlotRateIsDelayed(t *testing.T) {
	g := &slotCountGate{}
	steps := []struct {
		at         float64
		configured int
		count      int
		restart    bool
	}{
		{0, 16, 16, false},
		{1, 32, 32, false}, // More slots: the rate of each drops at once.
		{2, 16, 32, false}, // Fewer slots: the rate of each grows after a delay.
		{12.9, 16, 32, false},
		{13, 16, 16, true},
		{14, 8, 16, false},
		{15, 16, 16, false}, // The reduction was withdrawn.
		{30, 16, 16, false},
	}
	for _, s := range steps {
		count, restart := g.update(secondsAfterStart(s.at), s.configured)
		if count != s.count || restart != s.restart {
			t.Errorf("at %v s, %d slots configured: count %d, restart %v; want %d, %v", s.at, s.configured, count, restart, s.count, s.restart)
		}
	}
}

func TestSuspensionAdvancesExpiryTime(t *testing.T) {
	wall := time.Now()
	now := wall
	c := NewClock(func() time.Time { return now })
	now = wall.Add(time.Second)
	if m := c.Now(); m.MintTime != secondsAfterStart(1) || m.ExpiryTime != secondsAfterStart(1) {
		t.Errorf("after one second: %+v", m)
	}
	// A time without a monotonic reading stands for a machine that was suspended.
	now = wall.Round(0).Add(10 * time.Second)
	m := c.Now()
	if m.ExpiryTime < secondsAfterStart(10) {
		t.Errorf("ten seconds later by the wall clock, expiry time %v", m.ExpiryTime)
	}
}
