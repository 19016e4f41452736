package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/config"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
)

// Names of the methods that other instances call.
const (
	methodAnnounce = "Config.Announce"
	methodPull     = "Config.Pull"
	methodSurvey   = "Config.Survey"
	methodConfirm  = "Config.Confirm"
)

// register registers the handlers of the methods.
func (s *Service) register() {
	link.Handle(s.links, methodAnnounce, s.serveAnnounce)
	link.Handle(s.links, methodPull, s.servePull)
	link.Handle(s.links, methodSurvey, s.serveSurvey)
	link.Handle(s.links, methodConfirm, s.serveConfirm)
}

// announceLoop announces each new revision.
func (s *Service) announceLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.announceSignal:
		}
		revision := s.holder.Revision()
		// An instance that pulled the revision need not announce it: the relays
		// do.
		if s.isRelay() || ident.Revision(s.highestPulled.Load()) < revision {
			s.announceAll(revision)
		}
	}
}

// announceAll announces a revision to the instances returned by announceTargets.
func (s *Service) announceAll(revision ident.Revision) {
	for _, m := range s.announceTargets() {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
			defer cancel()
			reply := &AnnouncementReply{}
			// Heartbeats carry the revision as well, so a failed call only
			// delays it.
			err := s.links.Call(ctx, m.ID, methodAnnounce, &Announcement{Revision: int64(revision)}, reply)
			if err == nil {
				s.noteRevision(m.ID, ident.Revision(reply.GetRevision()))
			}
		}()
	}
}

// announceTargets returns all other members of this domain that are not Gone, and
// the relays of the other domains.
func (s *Service) announceTargets() []membership.Member {
	v := s.table.View()
	var targets []membership.Member
	for _, m := range v.Members() {
		if m.Domain == v.Self.Domain && m.ID != v.Self.ID && m.State != membership.Gone {
			targets = append(targets, m)
		}
	}
	for _, d := range v.Domains() {
		if d == v.Self.Domain {
			continue
		}
		ranked := v.Ranked(d, relayRankKey)
		targets = append(targets, ranked[:min(announceTargetsPerDomain, len(ranked))]...)
	}
	return targets
}

// serveAnnounce returns the revision that this instance had before the
// announcement. If the announced one is higher, pullLoop pulls its text later.
func (s *Service) serveAnnounce(_ context.Context, from ident.InstanceID, req *Announcement) (proto.Message, error) {
	had := s.holder.Revision()
	s.noteRevision(from, ident.Revision(req.GetRevision()))
	return &AnnouncementReply{Revision: int64(had)}, nil
}

// noteRevision queues an instance for a pull if its revision is higher than the
// current one. It does not block.
func (s *Service) noteRevision(from ident.InstanceID, revision ident.Revision) {
	if revision <= s.holder.Revision() {
		return
	}
	next := pullCandidate{from, revision}
	for {
		select {
		case s.candidates <- next:
			return
		default:
		}
		// The channel is full: keep the candidate with the higher revision.
		select {
		case old := <-s.candidates:
			if old.revision > next.revision {
				next = old
			}
		default:
		}
	}
}

// pullLoop pulls the text from instances that have announced a higher revision.
func (s *Service) pullLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case c := <-s.candidates:
			if c.revision <= s.holder.Revision() {
				continue
			}
			// If the reply is invalid, request the whole text.
			if !s.pull(c.from, s.currentAsBase()) {
				s.pull(c.from, config.EarlierText{})
			}
		}
	}
}

// pull requests the newest snapshot from an instance, as a delta from base unless
// base is empty. It returns false if it received an invalid reply; a failed call
// is logged and returns true.
func (s *Service) pull(from ident.InstanceID, base config.EarlierText) bool {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	reply := &PullReply{}
	err := s.links.Call(ctx, from, methodPull, &PullRequest{Have: int64(base.Revision)}, reply)
	if err != nil {
		_ = level.Debug(s.log).Log("msg", event.PullFailed, "from", from, "err", err)
		return true
	}
	return s.acceptPullReply(reply, base, string(from))
}

// currentAsBase returns the current text as base of a delta. It is empty if there
// is no snapshot yet.
func (s *Service) currentAsBase() config.EarlierText {
	c := s.holder.Current()
	if c == nil {
		return config.EarlierText{}
	}
	return config.EarlierText{Revision: c.Revision, Raw: c.Raw}
}

// servePull returns the newest snapshot if its revision is above the caller's.
func (s *Service) servePull(_ context.Context, _ ident.InstanceID, req *PullRequest) (proto.Message, error) {
	c := s.holder.Current()
	if c == nil || int64(c.Revision) <= req.GetHave() {
		return &PullReply{}, nil
	}
	return s.pullReplies.get(c, ident.Revision(req.GetHave()), s.holder)
}

// acceptPullReply unpacks the reply to a pull and offers its snapshot to the
// holder. It returns false if the reply is invalid. base is the base named in the
// request.
func (s *Service) acceptPullReply(reply *PullReply, base config.EarlierText, from string) bool {
	if reply.GetRevision() == 0 {
		return true
	}
	snapshot, err := s.snapshotOf(reply, base)
	if err != nil {
		_ = level.Warn(s.log).Log("msg", event.InvalidPullReply, "from", from, "base", base.Revision, "err", err)
		return false
	}
	s.highestPulled.Store(max(s.highestPulled.Load(), reply.GetRevision()))
	s.acceptSnapshot(snapshot, from)
	return true
}

// snapshotOf unpacks a reply, checks its digest and returns its snapshot.
func (s *Service) snapshotOf(reply *PullReply, base config.EarlierText) (*config.Snapshot, error) {
	raw, err := config.UnpackWithBase(reply.GetPacked(), base)
	if err != nil {
		return nil, err
	}
	snapshot, err := config.NewSnapshot(ident.Revision(reply.GetRevision()), reply.GetEditId(), raw, s.now())
	if err != nil {
		return nil, err
	}
	if snapshot.Digest != reply.GetDigest() {
		return nil, fault.New(fault.BadText, "the digest of the text of revision %d differs from the digest in the reply", snapshot.Revision)
	}
	return snapshot, nil
}

// bootstrapLoop pulls from all known instances until this process has a snapshot,
// so that it can start while the store is down.
func (s *Service) bootstrapLoop() {
	for s.holder.Current() == nil && s.ctx.Err() == nil {
		s.pullFromAll()
		s.sleep(bootstrapInterval)
	}
}

// pullFromAll pulls from all known members and first peers and accepts the reply
// with the highest revision.
func (s *Service) pullFromAll() {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	best := &PullReply{}
	base := s.currentAsBase()
	firstReply := make(chan struct{}, 1)
	for _, address := range s.knownAddresses() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply := &PullReply{}
			if _, err := s.links.CallAddress(ctx, address, methodPull, &PullRequest{Have: int64(base.Revision)}, reply); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if reply.GetRevision() > best.GetRevision() {
				best = reply
				select {
				case firstReply <- struct{}{}:
				default:
				}
			}
		}()
	}
	// Stop waiting a short time after the first reply, so that an instance that
	// hangs does not delay the start.
	go func() {
		select {
		case <-firstReply:
			select {
			case <-time.After(bootstrapInterval):
			case <-ctx.Done():
			}
			cancel()
		case <-ctx.Done():
		}
	}()
	wg.Wait()
	s.acceptPullReply(best, base, "instances")
}

// knownAddresses returns the peer addresses of the members that are not Gone and
// of the first peers, without this instance's own.
func (s *Service) knownAddresses() []ident.Address {
	v := s.table.View()
	seen := map[ident.Address]bool{v.Self.PeerAddress: true, "": true}
	var addresses []ident.Address
	add := func(a ident.Address) {
		if !seen[a] {
			seen[a] = true
			addresses = append(addresses, a)
		}
	}
	for _, m := range v.Members() {
		if m.State != membership.Gone {
			add(m.PeerAddress)
		}
	}
	for _, a := range s.firstPeers {
		add(a)
	}
	return addresses
}
