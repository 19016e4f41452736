package replication

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/membership"
)

// maxRecheckTime is the longest time between two checks whether this instance follows the store.
const maxRecheckTime = 400 * time.Millisecond

// followLoop decides again and again whether this instance follows the store, until ctx ends. It
// does not wait for pulls: other instances may not answer.
func (s *Replicator) followLoop(ctx context.Context) {
	defer s.setFollowing(ctx, false, "")
	for ctx.Err() == nil {
		recheck := s.recheck.wait()
		s.logAge()
		rank := s.rank(s.View())
		s.updateFollowing(ctx, rank)
		timer := time.NewTimer(s.recheckTime(rank))
		select {
		case <-recheck:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// recheckTime returns how long the next check may wait.
func (s *Replicator) recheckTime(rank int) time.Duration {
	if s.isFollowing() {
		return retryDelay
	}
	return min(max(s.followDue(rank).Sub(s.BootTime()), 0)+time.Millisecond, maxRecheckTime)
}

// rank returns this instance's rank in its domain. It is 0 if no other member is live.
func (s *Replicator) rank(v *membership.View) int {
	rank, _ := s.localSources(v)
	return rank
}

// updateFollowing starts or stops following the store. The first instance of a domain always
// follows it. Another one does so once its copy has not been confirmed for long, and until other
// instances confirm it again; if the store does not answer, it tries again after a while.
func (s *Replicator) updateFollowing(ctx context.Context, rank int) {
	s.mu.Lock()
	healthySince, healthyAt, storeFails := s.healthyRepliesSince, s.healthyReplyAt, s.fresh.storeFails
	s.mu.Unlock()
	now := s.Now()
	steady := now.Sub(healthyAt) < staleAfter && now.Sub(healthySince) > handoverDelay
	due := !s.BootTime().Before(s.followDue(rank))
	switch following := s.isFollowing(); {
	case !following && due && rank < followersPerDomain:
		s.setFollowing(ctx, true, "this instance ranks first in its domain")
	case !following && due:
		s.setFollowing(ctx, true, "no instance has confirmed the copy")
	case rank < followersPerDomain:
		// The first of a domain continues, also while the store does not answer.
	case following && storeFails:
		s.setFollowing(ctx, false, "the store does not answer")
	case following && steady:
		s.setFollowing(ctx, false, "another instance follows the store")
	}
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
		s.fresh.storeFails = false
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
	age, _ := s.Age()
	_ = level.Info(s.Log).Log("msg", event.FollowingChanged, "follows", follow, "age_ms", age.Milliseconds(), "why", reason)
}

// isFollowing reports whether this instance follows the store.
func (s *Replicator) isFollowing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopFollowing != nil
}

// isHealthy reports whether this instance follows the store and the store answers it.
func (s *Replicator) isHealthy() bool {
	healthy, _ := s.Healthy()
	return healthy && s.isFollowing()
}
