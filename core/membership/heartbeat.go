package membership

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"monsoonfork/core/ident"
	"monsoonfork/io/peer"
)

// heartbeatLoop sends heartbeats until the service closes.
func (s *Service) heartbeatLoop() {
	defer s.wg.Done()
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	s.last = s.now()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.noticePause()
			s.tick++
			s.beat(s.tick%remoteEvery == 0)
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

// silence returns how long a member of the own domain may be silent.
func (s *Service) silence() time.Duration { return silenceHeartbeats * s.interval }

// expire marks members that were silent for too long. Members of other
// domains get heartbeats more rarely and so have more time.
func (s *Service) expire() {
	now := s.now()
	s.Table.Expire(s.Table.Self().Domain, now.Add(-s.silence()), now.Add(-remoteEvery*s.silence()))
}

// beat sends one heartbeat to each member that gets one now.
func (s *Service) beat(remote bool) {
	v := s.Table.View()
	targets := s.localTargets(v)
	if remote {
		targets = append(targets, s.remoteTargets(v)...)
	}
	beat := &Heartbeat{
		Self:     v.Self.record(),
		Revision: int64(s.holder.Revision()),
		ViewHash: v.hashes[v.Self.Domain],
	}
	for _, m := range targets {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.beatOne(m, beat)
		}()
	}
}

// localTargets returns all members of the own domain that may live.
func (s *Service) localTargets(v *View) []Member {
	var targets []Member
	for _, m := range v.members {
		if m.Domain == v.Self.Domain && m.ID != v.Self.ID && m.State != Gone {
			targets = append(targets, m)
		}
	}
	return targets
}

// remoteTargets returns a few members of each other domain: different ones
// for each instance, so that links spread.
func (s *Service) remoteTargets(v *View) []Member {
	byDomain := make(map[ident.DomainID][]Member)
	for _, m := range v.members {
		if m.Domain != v.Self.Domain && m.State != Gone {
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	var targets []Member
	for _, list := range byDomain {
		targets = append(targets, nearest(list, string(v.Self.ID), remoteLinks)...)
	}
	return targets
}

// nearest returns the n members with the highest rendezvous weight for key.
// Silent ones come after live ones but are asked as well, so that a healed
// partition is noticed.
func nearest(list []Member, key string, n int) []Member {
	view := &View{live: map[ident.DomainID][]Member{"": list}}
	ranked := view.Ranked("", key)
	var live, silent []Member
	for _, m := range ranked {
		if m.State == Silent {
			silent = append(silent, m)
			continue
		}
		live = append(live, m)
	}
	live = live[:min(n, len(live))]
	silent = silent[:min(n, len(silent))]
	return append(live, silent...)
}

// beatOne sends a heartbeat to one member and records the outcome.
func (s *Service) beatOne(m Member, beat *Heartbeat) {
	ctx, cancel := context.WithTimeout(s.ctx, s.silence()/2)
	defer cancel()
	reply := &HeartbeatReply{}
	err := s.links.Call(ctx, m.ID, methodHeartbeat, beat, reply)
	if err != nil {
		s.failed(m, err)
		return
	}
	s.heard(reply.GetSelf(), reply.GetRevision())
	if s.differs(m, reply) {
		_ = s.learn(ctx, m.PeerAddress)
		return
	}
	if m.Domain != s.Table.Self().Domain {
		s.Table.Confirmed(m.Domain)
	}
}

// differs reports whether a member's view of its own domain is not ours.
func (s *Service) differs(m Member, reply *HeartbeatReply) bool {
	v := s.Table.View()
	return v.hashes[m.Domain] != reply.GetViewHash()
}

// failed looks at why a heartbeat failed. A process that is replaced, or whose
// address refuses twice, has ended; all else may be a cut link or a pause.
func (s *Service) failed(m Member, err error) {
	if !gone(err) {
		return
	}
	if isReplaced(err) {
		s.Table.Ended(m.ID)
		_ = s.learn(s.ctx, m.PeerAddress)
		return
	}
	select {
	case <-s.ctx.Done():
		return
	case <-time.After(refusedConfirm):
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.silence()/2)
	defer cancel()
	err = s.links.Call(ctx, m.ID, methodHeartbeat, &Heartbeat{Self: s.Table.Self().record()}, &HeartbeatReply{})
	if err != nil && gone(err) {
		s.Table.Ended(m.ID)
		s.links.Forget(m.PeerAddress)
	}
}

// isRefused reports whether nothing listens at the address.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isReplaced reports whether another process answered at the address.
func isReplaced(err error) bool { return errors.Is(err, peer.ErrReplaced) }
