// Package replication distributes the contents of the platform's store to the instances: in
// each failure domain one instance follows the store, and the others pull from it.
package replication

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/boottime"
	"monsoonfork/core/engines"
	"monsoonfork/core/evacuation"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
	"monsoonfork/core/sleep"
)

// MethodPull is the method with which instances pull from each other.
const MethodPull = "Spread.Pull"

const (
	// followerKey ranks the members of a domain by rendezvous hashing; the first of them
	// follow the store.
	followerKey = "watch"
	// followersPerDomain is how many members of a domain follow the store in normal
	// operation.
	followersPerDomain = 1
	// longPollTime is how long a pull waits for changes.
	longPollTime = 600 * time.Millisecond
	// pullTimeout bounds a pull.
	pullTimeout = longPollTime + 300*time.Millisecond
	// sequenceValidity is how long a sequence number from another instance's reply is
	// used. After that most of the changes since have arrived from other instances, and
	// checksums are compared instead.
	sequenceValidity = 2 * pullTimeout
	// localSourceRanks is how many members of the own domain this instance pulls from,
	// by rank: the one that follows the store, and the one that replaces it on failure.
	localSourceRanks = 2
	// staleAfter is the longest time between two replies of healthy instances that count as
	// successive.
	staleAfter = 850 * time.Millisecond
	// handoverDelay is how long other instances must have replied as healthy before an
	// instance stops following the store.
	handoverDelay = 500 * time.Millisecond
	// catchUpCalls is how many randomly chosen members an instance pulls from between
	// two pulls from the one that follows the store, while much of the list is missing.
	catchUpCalls = 3
	// replyEntryLimit is the number of entries after which a reply gets no further
	// partition of the list; about 8 KB. An instance that lacks more entries pulls from randomly chosen
	// members of its domain, since the link of the one that follows the store can't
	// carry the list once for each of them.
	replyEntryLimit = 100
	// retryDelay is the pause after a round without a successful pull, and between two
	// checks of the role while this instance follows the store.
	retryDelay = 100 * time.Millisecond
	// remotePullInterval is the least time between two rounds of pulls from other domains.
	remotePullInterval = 200 * time.Millisecond
)

// Replicator keeps an instance up to date with the store, directly or through other
// instances. All exported fields are set before Run.
type Replicator struct {
	View             func() *membership.View
	Call             link.CallFunc
	Table            *engines.Table
	Version          func() ident.Revision  // Version of the current configuration; 0 if there is none yet.
	Config           func() []byte          // The current configuration, as the operator wrote it.
	ApplyConfig      func(raw []byte)       // Applies a configuration from another instance.
	OnEnginesChanged func([]engines.Change) // Called with the changes of engines that were applied; may be nil.
	// Notice returns the newest notice of stage changes; ApplyNotice applies one.
	Notice      func() (raw []byte, revision int64)
	ApplyNotice func(raw []byte, revision int64)
	// Evacuations returns the newest set of evacuated failure domains, and false while none is known;
	// ApplyEvacuations applies one, always before the engines that came with it.
	Evacuations      func() (evacuation.Set, bool)
	ApplyEvacuations func(evacuation.Set)
	Follow           func(ctx context.Context) // Follows the store until ctx ends.
	Healthy          func() (bool, time.Time)  // Whether the store answers, and since when.
	// HoldsRemovals reports whether this instance delays removals of engines after an outage of the
	// store. SetOutage sets whether a follower of the store knows of such an outage: this instance
	// may have lost the store alone, or may not have called it meanwhile.
	HoldsRemovals func() bool
	SetOutage     func(outage bool)
	// ApplyTime is how long after the store has accepted a change it must be in force here. No
	// instance that reaches the store may continue with an older copy.
	ApplyTime  time.Duration
	SettleTime time.Duration          // How long after its start the member table of an instance is complete.
	FirstPeers func() []ident.Address // Addresses at which instances that start look for others.
	// ObserveRevision records the revision of another instance's copy, and returns false if the copy
	// is from before the store came back from an older copy, as far as this instance knows.
	ObserveRevision     func(revision int64) bool
	RegisteredInstances func() int  // Number of instances in the register.
	SetRegistered       func(n int) // Sets the number of registered instances that another instance reports.
	// RegisteredDomains returns the number of instances in the register by failure domain;
	// SetRegisteredDomains sets what another instance reports.
	RegisteredDomains    func() map[ident.DomainID]int
	SetRegisteredDomains func(map[ident.DomainID]int)
	Now                  func() time.Time
	BootTime             func() boottime.Instant
	Log                  log.Logger

	compressed compressedConfig
	changes    signal // Raised by NotifyChange.
	recheck    signal // Raised when followLoop has something to decide.
	sources    sources

	mu                  sync.Mutex
	fresh               freshness
	followFrom          boottime.Instant   // This instance does not follow the store before this time.
	rankedFrom          boottime.Instant   // From this time on its rank in its domain is known; 0 before Run.
	healthyReplyAt      time.Time          // Last reply of a healthy instance.
	healthyRepliesSince time.Time          // First of such replies with no gap of staleAfter since.
	sequenceOwner       ident.InstanceID   // Instance whose table sequence refers to; empty if sequence can't be used.
	sequence            int64              // Sequence number up to which the changes of that table were applied here.
	pulledAt            time.Time          // Last reply of any instance.
	incomplete          bool               // The last reply did not contain all that is missing.
	comparisons         int                // Calls of CompareTables.
	listBy              time.Time          // See ListBy.
	stopFollowing       context.CancelFunc // Nil while this instance does not follow the store.
	followDone          chan struct{}      // Closed when Follow has returned.
}

// Run follows the store or pulls from other instances until ctx ends. Both are decided and done side
// by side: an instance that waits for others still notices that its copy grows old.
func (s *Replicator) Run(ctx context.Context) {
	s.setRankedFrom(s.BootTime().Add(time.Duration(rankTimeFactor * float64(s.SettleTime))))
	if !s.isFirstPeer() {
		s.setFollowFrom(s.BootTime().Add(s.SettleTime))
	}
	var following sync.WaitGroup
	following.Go(func() { s.followLoop(ctx) })
	s.start(ctx)
	s.pullLoop(ctx)
	following.Wait()
	s.sources.wg.Wait()
}

// pullLoop pulls from other instances until ctx ends.
func (s *Replicator) pullLoop(ctx context.Context) {
	remotePulledAt := time.Time{}
	for ctx.Err() == nil {
		v := s.View()
		s.sources.forgetGone(v)
		rank, local := s.localSources(v)
		healthy := s.isHealthy()
		if healthy && rank < followersPerDomain {
			// The store answers, so no pull is needed.
			sleep.For(ctx, retryDelay)
			continue
		}
		s.catchUp(ctx, v)
		list := local
		if !healthy && !s.isRanked() {
			// The first of the domain may be unknown yet, and the first peers follow the store.
			first, _ := s.knownMembers()
			list = append(list, anyOf(first)...)
		}
		if now := s.Now(); !healthy && now.Sub(remotePulledAt) > remotePullInterval {
			remotePulledAt = now
			list = append(list, s.remoteFollowers(v)...)
		}
		if s.pullAny(ctx, list) {
			continue
		}
		s.recheck.raise()
		sleep.For(ctx, retryDelay)
	}
}

// setRankedFrom sets the time from which on the rank of this instance in its domain is known.
func (s *Replicator) setRankedFrom(at boottime.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rankedFrom = at
}

// isRanked reports whether this instance started long enough ago to know its rank in its domain.
func (s *Replicator) isRanked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rankIsKnown()
}

// rankIsKnown is isRanked for callers that hold mu.
func (s *Replicator) rankIsKnown() bool {
	return s.rankedFrom != 0 && !s.BootTime().Before(s.rankedFrom)
}

// IsFirst reports whether this instance knows that it ranks first in its domain.
func (s *Replicator) IsFirst() bool { return s.isRanked() && IsFirstRanked(s.View()) }

// NotifyChange answers the pulls that wait at this instance. It is called after a change of the
// configuration, of the notice, of the evacuations or of what Healthy returns. Changes of the table
// need no call.
func (s *Replicator) NotifyChange() { s.changes.raise() }

// StoreReset is called when the store is known to have come back from an older copy. What was pulled
// until then may be from before, so the next pull compares the whole table.
func (s *Replicator) StoreReset() {
	s.CompareTables()
	s.NotifyChange()
}

// CompareTables makes the next pull compare the whole table instead of asking for the changes since the
// last one. It is called when the table may lack entries that the other instance has sent before.
func (s *Replicator) CompareTables() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.comparisons++
	s.sequenceOwner = ""
}

// IsFirstRanked reports whether the instance of a view ranks first in its domain. The first
// instance follows the store in normal operation.
func IsFirstRanked(v *membership.View) bool {
	first, ok := v.Owner(v.Self.Domain, followerKey)
	return ok && first.ID == v.Self.ID
}

// localSources returns this instance's rank in its domain, and the members of the domain
// that it pulls from.
func (s *Replicator) localSources(v *membership.View) (rank int, sources []ident.InstanceID) {
	ranked := v.Ranked(v.Self.Domain, followerKey)
	rank = len(ranked)
	for i, m := range ranked {
		if m.ID == v.Self.ID {
			rank = i
		} else if i < localSourceRanks {
			sources = append(sources, m.ID)
		}
	}
	return rank, sources
}

// remoteFollowers returns the first instance of each other domain.
func (s *Replicator) remoteFollowers(v *membership.View) []ident.InstanceID {
	var list []ident.InstanceID
	for _, domain := range v.Domains() {
		if domain == v.Self.Domain {
			continue
		}
		if m, ok := v.Owner(domain, followerKey); ok {
			list = append(list, m.ID)
		}
	}
	return list
}
