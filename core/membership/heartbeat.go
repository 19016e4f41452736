package membership

import (
	"context"
	"math/bits"
	"slices"
	"sort"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// heartbeatLoop sends heartbeats until the service closes.
func (s *Service) heartbeatLoop() {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	s.lastRun = s.now()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.detectPause()
			s.sendHeartbeats()
			s.expireMembers()
		}
	}
}

// detectPause resets the silence timers of all members if this process has not run for
// more than half the silence timeout: it received no heartbeats while it was paused, so
// that the missing ones do not show that others were silent.
func (s *Service) detectPause() {
	now := s.now()
	if now.Sub(s.lastRun) > s.silenceTimeout()/2 {
		s.Table.ResetSilenceTimers()
	}
	s.lastRun = now
}

// silenceTimeout returns the time without a higher heartbeat counter after which a member
// of the own domain is silent. It grows with the logarithm of the number of members, since
// gossip reaches at least twice as many members with each interval.
func (s *Service) silenceTimeout() time.Duration {
	v := s.Table.View()
	members := uint(len(v.Live(v.Self.Domain)))
	return time.Duration(silentAfterMissed+bits.Len(members)) * s.interval
}

// expireMembers marks members as silent whose timeout has passed, and deletes those that
// have been silent or gone for long.
func (s *Service) expireMembers() {
	now := s.now()
	remoteCutoff := now.Add(-remoteSilentAfterMissed * remoteHeartbeatEvery * s.interval)
	s.Table.Expire(s.Table.Self().Domain, now.Add(-s.silenceTimeout()), remoteCutoff)
}

// sendHeartbeats sends a heartbeat to the next few members of the own domain, round robin,
// and at a lower rate to members of each other domain.
func (s *Service) sendHeartbeats() {
	count := s.heartbeatCount.Add(1)
	v := s.Table.View()
	targets := s.nextTargets(s.localTargets(v))
	if count%remoteHeartbeatEvery == 0 {
		targets = append(targets, s.remoteTargets(v)...)
	}
	s.sendHeartbeatTo(targets)
}

// nextTargets returns the next fanout members of all, round robin, or all if they are no
// more than that.
func (s *Service) nextTargets(all []Member) []Member {
	if len(all) <= fanout {
		return all
	}
	var next []Member
	for range fanout {
		s.targetCursor++
		next = append(next, all[s.targetCursor%len(all)])
	}
	return next
}

// sendHeartbeatTo sends a heartbeat to each target, without waiting for the replies.
func (s *Service) sendHeartbeatTo(targets []Member) {
	own := s.Table.Self().Domain
	for _, m := range targets {
		s.spawn(func() { s.exchangeHeartbeat(m, s.newHeartbeat(m.Domain == own)) })
	}
}

// localTargets returns all members of the own domain that are not gone. Each daemon has
// another order (by rendezvous weight), so that not all choose the same targets.
func (s *Service) localTargets(v *View) []Member {
	var targets []Member
	for _, m := range v.members {
		if m.Domain == v.Self.Domain && m.ID != v.Self.ID && m.State != Gone {
			targets = append(targets, m)
		}
	}
	key := string(v.Self.ID)
	sort.Slice(targets, func(i, j int) bool {
		return rendezvousWeight(targets[i].ID, key) > rendezvousWeight(targets[j].ID, key)
	})
	return targets
}

// remoteTargets returns one silent member and one that is not silent of each other domain.
// Each daemon chooses by its own rendezvous weights, so that the connections are spread.
func (s *Service) remoteTargets(v *View) []Member {
	byDomain := make(map[ident.DomainID][]Member)
	for _, m := range v.members {
		if m.Domain != v.Self.Domain && m.State != Gone {
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	var targets []Member
	for _, list := range byDomain {
		targets = append(targets, highestWeighted(list, string(v.Self.ID))...)
	}
	return targets
}

// highestWeighted returns the members with the highest rendezvous weight for key: one of
// those that are not silent, and one of those that are. The silent one gets heartbeats too,
// so that a healed partition is detected.
func highestWeighted(list []Member, key string) []Member {
	sort.Slice(list, func(i, j int) bool {
		return rendezvousWeight(list[i].ID, key) > rendezvousWeight(list[j].ID, key)
	})
	var found []Member
	for _, silent := range []bool{false, true} {
		at := slices.IndexFunc(list, func(m Member) bool { return (m.State == Silent) == silent })
		if at >= 0 {
			found = append(found, list[at])
		}
	}
	return found
}

// exchangeHeartbeat sends a heartbeat to one member and applies the reply. If the member is
// of another domain, it also compares the hashes of that domain's view and fetches the
// member's view if they differ.
func (s *Service) exchangeHeartbeat(m Member, heartbeat *Heartbeat) {
	ctx, cancel := context.WithTimeout(s.ctx, heartbeatCallFactor*s.interval)
	defer cancel()
	reply := &HeartbeatReply{}
	if err := s.links.Call(ctx, m.ID, methodHeartbeat, heartbeat, reply); err != nil {
		return
	}
	answer := reply.GetHeartbeat()
	if _, needsView := s.applyHeartbeat(m.ID, answer); needsView {
		s.fetchViewAndMerge(ctx, m, answer)
		return
	}
	if m.Domain == s.Table.Self().Domain {
		return
	}
	if s.Table.View().hashes[m.Domain] != answer.GetViewHash() {
		_ = s.fetchView(ctx, m.PeerAddress)
		return
	}
	s.Table.RefreshDomain(m.Domain)
}

// fetchViewAndMerge fetches the view of a member, which has the records of the members in
// its digest, and merges the digest again.
func (s *Service) fetchViewAndMerge(ctx context.Context, m Member, heartbeat *Heartbeat) {
	if err := s.fetchView(ctx, m.PeerAddress); err == nil {
		s.Table.Merge(heartbeat.GetDigest())
	}
}

// fetchViewInBackground runs fetchViewAndMerge in the background, so that the reply to a
// heartbeat is not delayed.
func (s *Service) fetchViewInBackground(m Member, heartbeat *Heartbeat) {
	s.spawn(func() {
		ctx, cancel := context.WithTimeout(s.ctx, heartbeatCallFactor*s.interval)
		defer cancel()
		s.fetchViewAndMerge(ctx, m, heartbeat)
	})
}

// handleCallFailure is called for each call to an instance that failed. The instance is
// marked as gone only if the error shows that its process has ended and a second call
// confirms it; any other error may come from a partition or a paused process.
func (s *Service) handleCallFailure(id ident.InstanceID, err error) {
	if !showsProcessEnded(err) || s.ctx.Err() != nil {
		return
	}
	if _, busy := s.confirming.LoadOrStore(id, true); busy {
		return
	}
	s.spawn(func() {
		defer s.confirming.Delete(id)
		s.confirmGone(id, err)
	})
}

// confirmGone marks an instance as gone if a second heartbeat to it also fails because its
// process has ended, and its counter has not grown meanwhile. No second heartbeat is needed
// if another process has answered at its address.
func (s *Service) confirmGone(id ident.InstanceID, err error) {
	m, known := s.Table.Member(id)
	if !known || m.State == Gone {
		return
	}
	if isReplaced(err) {
		s.Table.MarkGone(id)
		_ = s.fetchView(s.ctx, m.PeerAddress)
		return
	}
	select {
	case <-s.ctx.Done():
		return
	case <-time.After(refusedRecheckDelay):
	}
	ctx, cancel := context.WithTimeout(s.ctx, heartbeatCallFactor*s.interval)
	defer cancel()
	local := m.Domain == s.Table.Self().Domain
	err = s.links.Call(ctx, id, methodHeartbeat, s.newHeartbeat(local), &HeartbeatReply{})
	now, _ := s.Table.Member(id)
	lives := now.Counter > m.Counter
	if err != nil && showsProcessEnded(err) && (isReplaced(err) || !lives) {
		s.Table.MarkGone(id)
		s.links.CloseSession(m.PeerAddress)
	}
}

// isRefused reports whether the connection was refused: no process listens at the address.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isReplaced reports whether another process answered at the instance's address.
func isReplaced(err error) bool { return errors.Is(err, link.ErrReplaced) }
