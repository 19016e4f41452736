package budget

import (
	"time"

	"monsoonfork/core/ident"
)

// Times of the leases on minting slots.
const (
	leaseLength     = 6 * time.Second        // How long a renewal or a promise lasts.
	leaseMargin     = time.Second            // How much longer others wait: clocks may run unequally.
	silentAfter     = 3 * time.Second        // How long a member must fail to answer before it is left out.
	settleAfter     = 2 * time.Second        // How long promises must hold again after a lapse.
	announceEvery   = time.Second            // Between announcements of held slots.
	announceUrgent  = 300 * time.Millisecond // The same while the store does not renew.
	announceTimeout = 500 * time.Millisecond
)

// tenure decides whether the holder of a slot may mint. It may while the store
// has renewed its record, or else while every other member that may live has
// promised not to take the slot over. Its instants are of Moment.Age.
type tenure struct {
	renewedUntil Instant
	vouchedUntil Instant
	promised     map[ident.InstanceID]Instant
	lapsed       bool
	lapsedAt     Instant
}

// newTenure returns the tenure of a slot whose record was written by a call
// that began at asked.
func newTenure(asked Instant) *tenure {
	return &tenure{
		renewedUntil: asked.Add(leaseLength),
		promised:     make(map[ident.InstanceID]Instant),
	}
}

// newLapsedTenure returns the tenure of a slot that is claimed without the
// store: it is as one that has just lapsed.
func newLapsedTenure(now Instant) *tenure {
	return &tenure{promised: make(map[ident.InstanceID]Instant), lapsed: true, lapsedAt: now}
}

// right reports whether the holder may mint at now.
func (t *tenure) right(now Instant) bool {
	if t.lapsed {
		return false
	}
	return now < t.renewedUntil || now < t.vouchedUntil
}

// checkLapse notes that the right has ended. Once lapsed, it comes back only by
// the store or by settled promises.
func (t *tenure) checkLapse(now Instant) {
	if !t.lapsed && !t.right(now) {
		t.lapsed = true
		t.lapsedAt = now
		clear(t.promised)
	}
}

// renewed records a renewal in the store by a call that began at asked. It ends
// a lapse: the renewal proves that nobody has taken the slot over.
func (t *tenure) renewed(asked, now Instant) {
	t.renewedUntil = max(t.renewedUntil, asked.Add(leaseLength))
	if now < t.renewedUntil {
		t.lapsed = false
	}
}

// promise records that a member promised, in a call that began at asked, not
// to take the slot over.
func (t *tenure) promise(member ident.InstanceID, asked Instant) {
	t.promised[member] = max(t.promised[member], asked.Add(leaseLength))
}

// vouch works out until when promises alone let the holder mint, given all
// other members that may live. It reports whether the right comes back after a
// lapse: this needs at least one member, since a holder that was paused cannot
// know alone whether it was replaced.
func (t *tenure) vouch(others []ident.InstanceID, now Instant) (restored bool) {
	t.checkLapse(now)
	until := now.Add(leaseLength)
	for _, member := range others {
		until = min(until, t.promised[member])
	}
	if !t.lapsed {
		t.vouchedUntil = max(t.vouchedUntil, until)
		return false
	}
	settled := now >= t.lapsedAt.Add(settleAfter)
	if len(others) == 0 || until <= now || !settled {
		return false
	}
	t.lapsed = false
	t.vouchedUntil = until
	return true
}

// observation is what an instance that might take a slot over has seen of it.
type observation struct {
	version uint64  // Of the record in the store.
	since   Instant // When this version was first seen.
	last    Instant // When the record was last read.
}

// seen records a reading of the slot's record. A gap between readings begins
// the observation anew: this process may have been paused.
func (o *observation) seen(version uint64, now Instant) {
	if o.version != version || now >= o.last.Add(silentAfter) {
		o.version = version
		o.since = now
	}
	o.last = now
}

// lapsed reports whether the holder's lease is over for sure.
func (o *observation) lapsed(now Instant) bool {
	return o.version != 0 && now >= o.since.Add(leaseLength+leaseMargin)
}

// sighting is what a member knows of a slot of its domain from announcements.
type sighting struct {
	holder        ident.InstanceID
	epoch         ident.Epoch
	heardAt       Instant
	promisedUntil Instant
	claimEpoch    ident.Epoch // Of a claim of this member whose outcome is not known; 0 when there is none.
	claimVersion  uint64      // Version of the record that the claim is to replace.
	claimAsked    Moment      // Before the claim.
}

// asked records an announcement and reports whether the member promises to
// leave the slot to the holder.
func (s *sighting) asked(holder ident.InstanceID, epoch ident.Epoch, now Instant) bool {
	if epoch < s.epoch || epoch < s.claimEpoch {
		return false
	}
	if epoch == s.epoch && s.holder != "" && s.holder != holder {
		return false
	}
	// A claim of this member cannot have taken effect before such an epoch.
	s.claimEpoch = 0
	s.holder = holder
	s.epoch = epoch
	s.heardAt = now
	s.promisedUntil = now.Add(leaseLength + leaseMargin)
	return true
}

// read takes a reading of the slot's record into account: once another version
// is there, a claim of unknown outcome can take effect no more.
func (s *sighting) read(stored storedSlot, self ident.InstanceID) {
	if s.claimEpoch != 0 && stored.version != s.claimVersion && stored.record.Holder != self {
		s.claimEpoch = 0
	}
}
