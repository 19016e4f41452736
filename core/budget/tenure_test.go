package budget

import (
	"testing"
	"time"

	"monsoonfork/core/ident"
)

// at returns the instant some seconds after the start.
func at(seconds float64) Instant { return Instant(seconds * float64(time.Second)) }

func TestTenureEndsWithTheLease(t *testing.T) {
	h := newTenure(at(1))
	if !h.right(at(6.9)) {
		t.Error("no right within the lease")
	}
	if h.right(at(7)) {
		t.Error("right after the lease")
	}
}

func TestTenureLivesOnPromisesOfAllMembers(t *testing.T) {
	h := newTenure(at(0))
	members := []ident.InstanceID{"b", "c"}
	h.promise("b", at(4))
	h.vouch(members, at(5))
	if h.right(at(7)) {
		t.Error("right without the promise of c")
	}
	h = newTenure(at(0))
	h.promise("b", at(4))
	h.promise("c", at(5))
	h.vouch(members, at(5))
	if !h.right(at(9.9)) || h.right(at(10)) {
		t.Error("the right must last as long as the promise that ends first")
	}
}

func TestTenureOfLoneHolderGoesOn(t *testing.T) {
	h := newTenure(at(0))
	for s := 1.0; s < 100; s++ {
		h.vouch(nil, at(s))
	}
	if !h.right(at(104)) {
		t.Error("a holder whose members have all ended must go on")
	}
}

func TestPausedLoneHolderNeedsTheStoreOrAMember(t *testing.T) {
	h := newTenure(at(0))
	h.vouch(nil, at(1))
	h.vouch(nil, at(60)) // It was paused from 1 s to 60 s.
	if h.right(at(60.1)) {
		t.Error("a holder that was paused trusts itself alone")
	}
	h.renewed(at(61), at(61.1))
	if !h.right(at(62)) {
		t.Error("no right after the store renewed")
	}
}

func TestPausedHolderNeedsSettledPromises(t *testing.T) {
	h := newTenure(at(0))
	members := []ident.InstanceID{"b"}
	h.promise("b", at(1))
	h.vouch(members, at(1))
	h.checkLapse(at(60))
	h.promise("b", at(60))
	if h.vouch(members, at(60.1)) {
		t.Error("the first promise after a pause restores the right")
	}
	h.promise("b", at(62))
	if !h.vouch(members, at(62.1)) || !h.right(at(62.2)) {
		t.Error("settled promises do not restore the right")
	}
}

func TestObservationNeedsUnbrokenReadings(t *testing.T) {
	o := &observation{}
	for s := 0.0; s <= 5; s++ {
		o.seen(7, at(s))
	}
	o.seen(7, at(30)) // This process was paused.
	if o.lapsed(at(30)) {
		t.Error("a gap between readings counts as observed")
	}
	for s := 31.0; s <= 37; s++ {
		o.seen(7, at(s))
	}
	if !o.lapsed(at(37)) {
		t.Error("a record that did not change for a lease and its margin has not lapsed")
	}
	o.seen(8, at(38))
	if o.lapsed(at(38)) {
		t.Error("a renewed record has lapsed")
	}
}

func TestMemberRefusesOlderHolders(t *testing.T) {
	s := &sighting{}
	if !s.asked("a", 3, at(1)) || s.promisedUntil != at(1).Add(leaseLength+leaseMargin) {
		t.Fatal("no promise to the newest holder")
	}
	if s.asked("b", 2, at(2)) {
		t.Error("promise to an older holder")
	}
	s.claimEpoch = 4
	if s.asked("a", 3, at(3)) {
		t.Error("promise while a claim of its own may take effect")
	}
	if !s.asked("c", 5, at(4)) || s.claimEpoch != 0 {
		t.Error("no promise to a holder that came after the claim")
	}
}

func TestLargerPartsWait(t *testing.T) {
	g := &partsGate{}
	steps := []struct {
		at      float64
		wanted  int
		parts   int
		restart bool
	}{
		{0, 16, 16, false},
		{1, 32, 32, false}, // Smaller parts at once.
		{2, 16, 32, false}, // Larger ones wait.
		{12.9, 16, 32, false},
		{13, 16, 16, true},
		{14, 8, 16, false},
		{15, 16, 16, false}, // Taken back.
		{30, 16, 16, false},
	}
	for _, s := range steps {
		parts, restart := g.update(at(s.at), s.wanted)
		if parts != s.parts || restart != s.restart {
			t.Errorf("at %v s, wanted %d: parts %d, restart %v; want %d, %v", s.at, s.wanted, parts, restart, s.parts, s.restart)
		}
	}
}

func TestClockCountsSuspensionAsAgeOnly(t *testing.T) {
	wall := time.Now()
	now := wall
	c := NewClock(func() time.Time { return now })
	now = wall.Add(time.Second)
	if m := c.Now(); m.Mint != at(1) || m.Age != at(1) {
		t.Errorf("after one second: %+v", m)
	}
	// Without its monotonic reading a time stands for a machine that slept.
	now = wall.Round(0).Add(10 * time.Second)
	m := c.Now()
	if m.Age < at(10) {
		t.Errorf("ten seconds by the wall clock, age %v", m.Age)
	}
}
