// Package replication distributes the contents of the platform's store to the instances: in
// each failure domain one instance follows the store, and the others pull from it.
package replication

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/engines"
	"monsoonfork/core/event"
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
	longPollTime = 400 * time.Millisecond
	// pullTimeout bounds a pull.
	pullTimeout = longPollTime + 300*time.Millisecond
	// sequenceValidity is how long a sequence number from another instance's reply is
	// used. After that most of the changes since have arrived from other instances, and
	// checksums are compared instead.
	sequenceValidity = 2 * pullTimeout
	// localSourceRanks is how many members of the own domain this instance pulls from,
	// by rank: the one that follows the store, and the one that replaces it on failure.
	localSourceRanks = 2
	// staleAfter is how long the second instance of a domain waits without a reply from
	// a healthy instance before it follows the store itself. Each further one waits
	// twice as long as the one before, so that few instances call a store that is down
	// for all.
	staleAfter = 850 * time.Millisecond
	// maxFollowDelay bounds that wait.
	maxFollowDelay = 20 * time.Second
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
	Follow      func(ctx context.Context) // Follows the store until ctx ends.
	Healthy     func() (bool, time.Time)  // Whether the store answers, and since when.
	// Settling reports whether this instance has listed the store and does not watch it
	// yet. That lasts for SettleTime at most.
	Settling            func() bool
	SettleTime          time.Duration          // How long after its start the member table of an instance is complete.
	FirstPeers          func() []ident.Address // Addresses at which instances that start look for others.
	RegisteredInstances func() int             // Number of instances in the register.
	SetRegistered       func(n int)            // Sets the number of registered instances that another instance reports.
	Now                 func() time.Time
	Log                 log.Logger

	compressed compressedConfig
	changes    signal // Raised by NotifyChange.

	mu                  sync.Mutex
	healthyReplyAt      time.Time          // Last reply of a healthy instance.
	healthyRepliesSince time.Time          // First of such replies with no gap of staleAfter since.
	sequenceOwner       ident.InstanceID   // Instance whose table sequence refers to; empty if sequence can't be used.
	sequence            int64              // Sequence number up to which the changes of that table were applied here.
	pulledAt            time.Time          // Last reply of any instance.
	incomplete          bool               // The last reply did not contain all that is missing.
	listBy              time.Time          // See ListBy.
	stopFollowing       context.CancelFunc // Nil while this instance does not follow the store.
	followDone          chan struct{}      // Closed when Follow has returned.
}

// Run follows the store or pulls from other instances until ctx ends.
func (s *Replicator) Run(ctx context.Context) {
	defer s.setFollowing(ctx, false, "")
	s.start(ctx)
	remotePulledAt := time.Time{}
	for ctx.Err() == nil {
		v := s.View()
		rank, sources := s.localSources(v)
		s.updateFollowing(ctx, rank)
		fresh := s.isFollowing() && s.storeHealthy()
		if fresh && rank < followersPerDomain {
			// The store answers, so no pull is needed.
			sleep.For(ctx, retryDelay)
			continue
		}
		s.catchUp(ctx, v)
		if s.pullAny(ctx, sources) {
			continue
		}
		if fresh {
			sleep.For(ctx, retryDelay)
			continue
		}
		if now := s.Now(); now.Sub(remotePulledAt) > remotePullInterval {
			remotePulledAt = now
			if s.pullAny(ctx, s.remoteFollowers(v)) {
				continue
			}
		}
		sleep.For(ctx, retryDelay)
	}
}

// NotifyChange answers the pulls that wait at this instance. It is called after a change of the
// configuration, of the notice or of what Healthy returns. Changes of the table need no call.
func (s *Replicator) NotifyChange() { s.changes.raise() }

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

// updateFollowing starts or stops following the store, depending on this instance's rank
// and on the replies of other instances.
func (s *Replicator) updateFollowing(ctx context.Context, rank int) {
	now := s.Now()
	s.mu.Lock()
	stale := now.Sub(s.healthyReplyAt) > followDelay(rank)
	steady := !stale && now.Sub(s.healthyRepliesSince) > handoverDelay
	s.mu.Unlock()
	switch {
	case rank < followersPerDomain:
		s.setFollowing(ctx, true, "this instance ranks first in its domain")
	case s.Settling():
		// The first instance of the domain started at about the same time. This instance
		// waits until that one has settled, as if it had replied as healthy.
		s.mu.Lock()
		s.healthyReplyAt = now.Add(s.SettleTime)
		s.mu.Unlock()
		s.setFollowing(ctx, false, "another instance ranks first in its domain")
	case stale:
		s.setFollowing(ctx, true, "no healthy instance answers")
	case steady:
		s.setFollowing(ctx, false, "another instance follows the store")
	}
}

// followDelay returns how long an instance of a rank waits without a reply from a healthy
// instance before it follows the store itself.
func followDelay(rank int) time.Duration {
	delay := staleAfter
	for ; rank > followersPerDomain && delay < maxFollowDelay; rank-- {
		delay *= 2
	}
	return min(delay, maxFollowDelay)
}

// setFollowing starts or stops following the store. Stopping waits until Follow has
// returned.
func (s *Replicator) setFollowing(ctx context.Context, follow bool, reason string) {
	s.mu.Lock()
	cancel, done := s.stopFollowing, s.followDone
	if follow == (cancel != nil) {
		s.mu.Unlock()
		return
	}
	if follow {
		followCtx, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		s.stopFollowing, s.followDone = stop, ended
		go func() {
			defer close(ended)
			s.Follow(followCtx)
		}()
	} else {
		s.stopFollowing = nil
	}
	s.mu.Unlock()
	s.NotifyChange()
	if !follow {
		cancel()
		<-done
	}
	_ = level.Info(s.Log).Log("msg", event.FollowingChanged, "follows", follow, "why", reason)
}

// isFollowing reports whether this instance follows the store.
func (s *Replicator) isFollowing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopFollowing != nil
}

// storeHealthy reports whether the store answers.
func (s *Replicator) storeHealthy() bool {
	healthy, _ := s.Healthy()
	return healthy
}

// catchUp pulls from randomly chosen members of the domain while much of the list is
// missing.
func (s *Replicator) catchUp(ctx context.Context, v *membership.View) {
	s.mu.Lock()
	incomplete := s.incomplete
	s.mu.Unlock()
	if !incomplete {
		return
	}
	members := v.Ranked(v.Self.Domain, followerKey)
	if len(members) == 0 {
		return
	}
	for range catchUpCalls {
		to := members[rand.IntN(len(members))].ID
		if to == v.Self.ID {
			continue
		}
		// An error is ignored; the next pull is from another member.
		_, _ = s.pull(ctx, to)
	}
}

// pullAny pulls from instances in turn until one replies as healthy, and reports whether
// one did.
func (s *Replicator) pullAny(ctx context.Context, sources []ident.InstanceID) bool {
	for _, id := range sources {
		healthy, err := s.pull(ctx, id)
		if err == nil && healthy {
			return true
		}
	}
	return false
}

// pull calls another instance and applies its reply.
func (s *Replicator) pull(ctx context.Context, from ident.InstanceID) (healthy bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	s.mu.Lock()
	req := &PullRequest{Of: string(s.sequenceOwner), Sequence: s.sequence, Version: int64(s.Version())}
	_, req.NoticeRevision = s.Notice()
	pulledAt := s.pulledAt
	s.mu.Unlock()
	if ident.InstanceID(req.GetOf()) != from || s.Now().Sub(pulledAt) > sequenceValidity {
		sums := s.Table.Checksums()
		req.Of, req.Sums = "", sums[:]
	}
	reply := &PullReply{}
	if err := s.Call(ctx, from, MethodPull, req, reply); err != nil {
		return false, err
	}
	s.applyReply(from, reply)
	if len(reply.GetConfiguration()) > 0 && int64(s.Version()) == req.GetVersion() {
		// The configuration was rejected here, and the next reply has it again.
		sleep.For(ctx, retryDelay)
	}
	return reply.GetHealthy(), nil
}

// applyReply applies the configuration, engines and notice of a reply, and records when it
// arrived and up to which sequence number.
func (s *Replicator) applyReply(from ident.InstanceID, r *PullReply) {
	if compressed := r.GetConfiguration(); len(compressed) > 0 {
		raw, err := decompress(compressed)
		if err != nil {
			_ = level.Warn(s.Log).Log("msg", event.InvalidPullReply, "from", from, "err", err)
		} else {
			s.ApplyConfig(raw)
		}
	}
	changes := make([]engines.Change, 0, len(r.GetEngines()))
	for _, e := range r.GetEngines() {
		changes = append(changes, e.toChange())
	}
	applied := s.applyEngines(r, changes)
	if s.OnEnginesChanged != nil && len(applied) > 0 {
		s.OnEnginesChanged(applied)
	}
	if len(r.GetNotice()) > 0 {
		s.ApplyNotice(r.GetNotice(), r.GetNoticeRevision())
	}
	s.SetRegistered(int(r.GetExpected()))
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequenceOwner, s.sequence, s.pulledAt, s.incomplete = from, r.GetSequence(), now, r.GetMore()
	if s.incomplete {
		s.sequenceOwner = ""
	}
	if !r.GetHealthy() {
		return
	}
	if now.Sub(s.healthyReplyAt) > staleAfter {
		s.healthyRepliesSince = now
	}
	s.healthyReplyAt = now
}

// applyEngines applies the engines of a reply. Engines that are missing from a
// partition are removed only if the callee follows the store and is healthy.
func (s *Replicator) applyEngines(r *PullReply, changes []engines.Change) (applied []engines.Change) {
	if len(r.GetParts()) > 0 && r.GetKnown() && r.GetHealthy() {
		parts := make([]int, 0, len(r.GetParts()))
		for _, p := range r.GetParts() {
			parts = append(parts, int(p))
		}
		entries := make([]engines.Entry, 0, len(changes))
		for _, c := range changes {
			entries = append(entries, c.Entry)
		}
		applied = s.Table.ReplacePartitions(parts, entries, r.GetRevision())
	} else {
		applied = s.Table.Apply(changes)
	}
	if r.GetKnown() && !r.GetMore() {
		s.Table.MarkComplete(r.GetRevision())
	}
	return applied
}
