package replication

import (
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/boottime"
	"monsoonfork/core/event"
)

const (
	// confirmShare is the part of ApplyTime after which the second instance of a domain follows the
	// store itself if nobody has confirmed its copy. The rest is for the list of the store.
	confirmShare = 0.7
	// firstShare is the same for an instance that ranks first as far as it knows, but has started so
	// shortly before that it may not know all members of its domain.
	firstShare = 0.4
	// confirmSpread is the part of ApplyTime by which the others of the domain wait longer, and over
	// which they are spread: they can get the contents from the second one.
	confirmSpread = 0.05
	// minAgeGain is how much newer the callee's copy is than the caller's if a pull is answered
	// without waiting for changes.
	minAgeGain = 200 * time.Millisecond
	// retryShare is the part of ApplyTime after which an instance that the store has not answered
	// tries again. Each further wait is longer by retryFactor: the store may be down for all.
	retryShare  = 0.1
	retryFactor = 8
	// maxRetryWait bounds these waits.
	maxRetryWait = 20 * time.Second
)

// freshness is what an instance knows about the age of its copy of the store's contents, and about
// its own way to the store.
type freshness struct {
	// currentAt is when the copy was last known to have all that the store had accepted; 0 if it
	// never was.
	currentAt  boottime.Instant
	spread     float64          // Part of the spread that this instance waits after currentAt, from 0 to 1.
	retryAt    boottime.Instant // The store is not called again before this time.
	retryWait  time.Duration    // The last wait for retryAt; 0 if the copy was confirmed since.
	storeFails bool             // The store has not answered since this instance began to follow it.
	outdated   bool             // The copy is older than ApplyTime, and that was logged.
}

// RecordCurrent records that this instance, which follows the store, had all that the store had
// accepted before a time.
func (s *Replicator) RecordCurrent(at boottime.Instant) {
	s.confirm(at)
	s.NotifyChange()
}

// confirm records that the copy was current at a time.
func (s *Replicator) confirm(at boottime.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.fresh
	if !f.currentAt.Before(at) {
		return
	}
	f.currentAt, f.spread = at, rand.Float64()
	f.retryAt, f.retryWait, f.storeFails = 0, 0, false
}

// StoreFailed records that the store does not answer this instance.
func (s *Replicator) StoreFailed() {
	s.mu.Lock()
	f := &s.fresh
	f.storeFails = true
	if f.retryWait == 0 {
		f.retryWait = s.shareOfApplyTime(retryShare)
	} else {
		f.retryWait = min(retryFactor*f.retryWait, maxRetryWait)
	}
	f.retryAt = s.BootTime().Add(f.retryWait)
	s.mu.Unlock()
	s.recheck.raise()
}

// currentAt returns when the copy was last known to be current; 0 if it never was.
func (s *Replicator) currentAt() boottime.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh.currentAt
}

// Age returns how long ago the copy was last known to be current; 0 and false if it never was.
func (s *Replicator) Age() (time.Duration, bool) {
	at := s.currentAt()
	if at == 0 {
		return 0, false
	}
	return s.BootTime().Sub(at), true
}

// followDue returns when an instance of a rank follows the store: the first of a domain as soon as it
// is sure of its rank, any other one if nobody confirms its copy before.
func (s *Replicator) followDue(rank int) boottime.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.fresh
	switch {
	case rank < followersPerDomain && s.rankIsKnown():
		return s.followFrom
	case f.currentAt == 0:
		return max(s.followFrom, f.retryAt)
	case rank < followersPerDomain:
		return max(s.followFrom, f.retryAt, f.currentAt.Add(s.shareOfApplyTime(firstShare)))
	}
	wait := s.confirmTime()
	if rank > followersPerDomain {
		wait += s.shareOfApplyTime(confirmSpread * (1 + f.spread))
	}
	// The others of the domain get its contents first where all have just started.
	return max(s.followFrom.Add(startPullTimeout), f.retryAt, f.currentAt.Add(wait))
}

// confirmTime returns the age of the copy at which the second instance of a domain follows the store.
func (s *Replicator) confirmTime() time.Duration { return s.shareOfApplyTime(confirmShare) }

// shareOfApplyTime returns a part of ApplyTime.
func (s *Replicator) shareOfApplyTime(share float64) time.Duration {
	return time.Duration(share * float64(s.ApplyTime))
}

// logAge logs that the copy has become older than ApplyTime, and that it is confirmed again.
func (s *Replicator) logAge() {
	age, known := s.Age()
	if !known {
		return
	}
	s.mu.Lock()
	outdated := age > s.ApplyTime
	changed := outdated != s.fresh.outdated
	s.fresh.outdated = outdated
	s.mu.Unlock()
	switch {
	case !changed:
	case outdated:
		_ = level.Warn(s.Log).Log("msg", event.CopyOutdated, "age_ms", age.Milliseconds(), "bound_ms", s.ApplyTime.Milliseconds())
	default:
		_ = level.Info(s.Log).Log("msg", event.CopyCurrentAgain, "age_ms", age.Milliseconds())
	}
}
