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
	s.last = s.now()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.noticePause()
			s.beat()
			s.expire()
		}
	}
}

// noticePause forgives the others' silence if this process did not run.
func (s *Service) noticePause() {
	now := s.now()
	if now.Sub(s.last) > s.silence()/2 {
		s.Table.Forgive()
	}
	s.last = now
}

// silence returns how long nothing may be heard of a member of the own
// domain. News spreads to twice as many members, or more, each interval.
func (s *Service) silence() time.Duration {
	v := s.Table.View()
	members := uint(len(v.Live(v.Self.Domain)))
	return time.Duration(silenceHeartbeats+bits.Len(members)) * s.interval
}

// expire marks members that were silent for too long.
func (s *Service) expire() {
	now := s.now()
	remote := now.Add(-remoteSilence * remoteEvery * s.interval)
	s.Table.Expire(s.Table.Self().Domain, now.Add(-s.silence()), remote)
}

// beat begins a heartbeat: it goes to a few members of the own domain, the
// next ones in turn, and now and then to one member of each other domain.
func (s *Service) beat() {
	tick := s.tick.Add(1)
	v := s.Table.View()
	targets := s.nextTargets(s.localTargets(v))
	if tick%remoteEvery == 0 {
		targets = append(targets, s.remoteTargets(v)...)
	}
	s.send(targets)
}

// nextTargets returns the members whose turn it is.
func (s *Service) nextTargets(all []Member) []Member {
	if len(all) <= fanout {
		return all
	}
	var next []Member
	for range fanout {
		s.turn++
		next = append(next, all[s.turn%len(all)])
	}
	return next
}

// send sends a heartbeat to each target, without waiting for the answers.
func (s *Service) send(targets []Member) {
	own := s.Table.Self().Domain
	for _, m := range targets {
		s.spawn(func() { s.beatOne(m, s.heartbeat(m.Domain == own)) })
	}
}

// localTargets returns all members of the own domain that may live, in an order
// of this daemon's own, so that not all choose the same targets.
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

// remoteTargets returns one live member of each other domain, and one silent
// one: different ones for each instance, so that links spread.
func (s *Service) remoteTargets(v *View) []Member {
	byDomain := make(map[ident.DomainID][]Member)
	for _, m := range v.members {
		if m.Domain != v.Self.Domain && m.State != Gone {
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	var targets []Member
	for _, list := range byDomain {
		targets = append(targets, nearest(list, string(v.Self.ID))...)
	}
	return targets
}

// nearest returns the member with the highest rendezvous weight for key, of
// those that are not silent and of those that are. A silent one is asked as
// well so that a healed partition is noticed.
func nearest(list []Member, key string) []Member {
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

// beatOne sends a heartbeat to one member and records the outcome.
func (s *Service) beatOne(m Member, beat *Heartbeat) {
	ctx, cancel := context.WithTimeout(s.ctx, heartbeatCallFactor*s.interval)
	defer cancel()
	reply := &HeartbeatReply{}
	if err := s.links.Call(ctx, m.ID, methodHeartbeat, beat, reply); err != nil {
		return
	}
	answer := reply.GetHeartbeat()
	if s.heard(answer) {
		s.learnAndMerge(ctx, m, answer)
		return
	}
	if m.Domain == s.Table.Self().Domain {
		return
	}
	if s.Table.View().hashes[m.Domain] != answer.GetViewHash() {
		_ = s.learn(ctx, m.PeerAddress)
		return
	}
	s.Table.Confirmed(m.Domain)
}

// learnAndMerge asks a member for the records that its digest speaks of, and
// merges the digest again.
func (s *Service) learnAndMerge(ctx context.Context, m Member, beat *Heartbeat) {
	if err := s.learn(ctx, m.PeerAddress); err == nil {
		s.Table.Merge(beat.GetDigest())
	}
}

// learnLater does the same without making the sender of a heartbeat wait.
func (s *Service) learnLater(m Member, beat *Heartbeat) {
	s.spawn(func() {
		ctx, cancel := context.WithTimeout(s.ctx, heartbeatCallFactor*s.interval)
		defer cancel()
		s.learnAndMerge(ctx, m, beat)
	})
}

// unreachable is told of every call to an instance that failed. If the error
// shows that its process has ended, and a second call does so too, it is gone;
// all else may be a cut link or a pause.
func (s *Service) unreachable(id ident.InstanceID, err error) {
	if !gone(err) || s.ctx.Err() != nil {
		return
	}
	if _, busy := s.asked.LoadOrStore(id, true); busy {
		return
	}
	s.spawn(func() {
		defer s.asked.Delete(id)
		s.confirmGone(id, err)
	})
}

// confirmGone asks an instance once more, unless another process answered in
// its place.
func (s *Service) confirmGone(id ident.InstanceID, err error) {
	m, known := s.Table.View().Member(id)
	if !known || m.State == Gone {
		return
	}
	if isReplaced(err) {
		s.Table.Ended(id)
		_ = s.learn(s.ctx, m.PeerAddress)
		return
	}
	select {
	case <-s.ctx.Done():
		return
	case <-time.After(refusedConfirm):
	}
	ctx, cancel := context.WithTimeout(s.ctx, heartbeatCallFactor*s.interval)
	defer cancel()
	local := m.Domain == s.Table.Self().Domain
	err = s.links.Call(ctx, id, methodHeartbeat, s.heartbeat(local), &HeartbeatReply{})
	if err != nil && gone(err) {
		s.Table.Ended(id)
		s.links.Forget(m.PeerAddress)
	}
}

// isRefused reports whether nothing listens at the address.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isReplaced reports whether another process answered at the address.
func isReplaced(err error) bool { return errors.Is(err, link.ErrReplaced) }
