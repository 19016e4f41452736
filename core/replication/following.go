package replication

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
)

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
