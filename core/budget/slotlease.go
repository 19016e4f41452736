package budget

import (
	"time"

	"monsoonfork/core/ident"
)

// Durations of the leases on minting slots.
const (
	leaseLength = 6 * time.Second // Validity of a renewal or a promise.
	// Other members wait this much longer than the lease, since clocks may run
	// at different speeds.
	leaseMargin = time.Second
	// A member that has failed to answer for this long is disregarded. A gap of
	// this length between rounds of announcements or between reads of the store
	// means that this process may have been paused.
	unresponsiveAfter = 3 * time.Second
	// Promises restore an expired lease no sooner than this long after its
	// expiry.
	promisesStableFor = 2 * time.Second
	announceInterval  = time.Second // Between announcements of held slots.
	// The same while a slot is not announced yet or is not being renewed in
	// the store.
	urgentAnnounceInterval = 300 * time.Millisecond
	announceTimeout        = 500 * time.Millisecond
)

// slotLease decides whether the holder of a slot may mint tokens. It may
// while its renewal in the store is valid, or else while every other member
// of the domain that may be running has promised not to claim the slot. All
// instants are values of ClockReading.ExpiryTime.
type slotLease struct {
	storeUntil   Instant                      // End of the last renewal in the store.
	membersUntil Instant                      // End of the members' promises that were last sufficient.
	promises     map[ident.InstanceID]Instant // End of each member's promise.
	expired      bool                         // Whether the holder has lost the right to mint.
	expiredAt    Instant
}

// newSlotLease returns the lease of a slot whose record was written by a call
// sent at sentAt.
func newSlotLease(sentAt Instant) *slotLease {
	return &slotLease{
		storeUntil: sentAt.Add(leaseLength),
		promises:   make(map[ident.InstanceID]Instant),
	}
}

// newExpiredSlotLease returns the lease of a slot that is claimed without the
// store. It starts as a lease that has expired at now.
func newExpiredSlotLease(now Instant) *slotLease {
	return &slotLease{promises: make(map[ident.InstanceID]Instant), expired: true, expiredAt: now}
}

// mayMint reports whether the holder may mint at now.
func (t *slotLease) mayMint(now Instant) bool {
	if t.expired {
		return false
	}
	return now < t.storeUntil || now < t.membersUntil
}

// checkExpiry marks the lease as expired if the holder may no longer mint.
// After that, only a renewal in the store or stable promises restore it.
func (t *slotLease) checkExpiry(now Instant) {
	if !t.expired && !t.mayMint(now) {
		t.expired = true
		t.expiredAt = now
		clear(t.promises)
	}
}

// recordRenewal records a renewal in the store by a call sent at sentAt. It
// restores an expired lease, since the renewal proves that nobody has taken
// the slot over.
func (t *slotLease) recordRenewal(sentAt, now Instant) {
	t.storeUntil = max(t.storeUntil, sentAt.Add(leaseLength))
	if now < t.storeUntil {
		t.expired = false
	}
}

// recordPromise records that a member promised, in reply to a call sent at
// sentAt, not to claim the slot.
func (t *slotLease) recordPromise(member ident.InstanceID, sentAt Instant) {
	t.promises[member] = max(t.promises[member], sentAt.Add(leaseLength))
}

// applyPromises extends the lease up to the end of the earliest promise of
// the given members, which are all others that may be running. It reports
// whether it restored an expired lease. This needs the promise of at least
// one member, since a holder that was paused cannot determine alone whether
// it was replaced.
func (t *slotLease) applyPromises(members []ident.InstanceID, now Instant) (restored bool) {
	t.checkExpiry(now)
	until := now.Add(leaseLength)
	for _, member := range members {
		until = min(until, t.promises[member])
	}
	if !t.expired {
		t.membersUntil = max(t.membersUntil, until)
		return false
	}
	stable := now >= t.expiredAt.Add(promisesStableFor)
	if len(members) == 0 || until <= now || !stable {
		return false
	}
	t.expired = false
	t.membersUntil = until
	return true
}

// leaseObservation records the reads of a slot's record in the store by an
// instance that may claim the slot.
type leaseObservation struct {
	version      uint64  // Of the record in the store.
	versionSince Instant // When this version was first read.
	lastReadAt   Instant // When the record was last read.
}

// recordRead records a read of the slot's record. A gap between reads
// restarts the observation, since this process may have been paused.
func (o *leaseObservation) recordRead(version uint64, now Instant) {
	if o.version != version || now >= o.lastReadAt.Add(unresponsiveAfter) {
		o.version = version
		o.versionSince = now
	}
	o.lastReadAt = now
}

// leaseExpired reports whether the holder's lease is certainly over.
func (o *leaseObservation) leaseExpired(now Instant) bool {
	return o.version != 0 && now >= o.versionSince.Add(leaseLength+leaseMargin)
}

// slotView is the state of a slot of the domain according to the announcements
// that a member received, and the state of the member's own claim to the slot.
type slotView struct {
	holder        ident.InstanceID
	epoch         ident.Epoch
	announcedAt   Instant      // When the holder last announced the slot to this member.
	promisedUntil Instant      // Until then, this member has promised not to claim the slot.
	claimEpoch    ident.Epoch  // Of this member's claim whose outcome is unknown; 0 if there is none.
	claimVersion  uint64       // Version of the record that the claim replaces.
	claimSentAt   ClockReading // When the claim was sent to the store.
}

// recordAnnouncement records an announcement and reports whether this member
// promises not to claim the slot. It refuses an epoch older than the newest
// known one or its own pending claim, and a second holder with the same
// epoch.
func (s *slotView) recordAnnouncement(holder ident.InstanceID, epoch ident.Epoch, now Instant) bool {
	if epoch < s.epoch || epoch < s.claimEpoch {
		return false
	}
	if epoch == s.epoch && s.holder != "" && s.holder != holder {
		return false
	}
	// The holder's epoch is not older than that of a pending claim of this
	// member, so that claim cannot have taken effect before it.
	s.claimEpoch = 0
	s.holder = holder
	s.epoch = epoch
	s.announcedAt = now
	s.promisedUntil = now.Add(leaseLength + leaseMargin)
	return true
}

// recordStoreRead updates the pending claim from a read of the slot's record.
// A claim with unknown outcome can no longer take effect once the record has
// another version.
func (s *slotView) recordStoreRead(stored storedSlot, self ident.InstanceID) {
	if s.claimEpoch != 0 && stored.version != s.claimVersion && stored.record.Holder != self {
		s.claimEpoch = 0
	}
}
