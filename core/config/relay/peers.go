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

// Names of the methods that instances call.
const (
	methodAnnounce = "Config.Announce"
	methodPull     = "Config.Pull"
	methodSurvey   = "Config.Survey"
	methodConfirm  = "Config.Confirm"
)

// register registers the methods.
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
		case <-s.announce:
		}
		revision := s.holder.Revision()
		// Who pulled a revision leaves it to the relays to announce it.
		if s.isRelay() || ident.Revision(s.pulled.Load()) < revision {
			s.announceAll(revision)
		}
	}
}

// announceAll tells the own domain, and some of each other one, of a revision.
func (s *Service) announceAll(revision ident.Revision) {
	for _, m := range s.announceTargets() {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
			defer cancel()
			reply := &AnnouncementReply{}
			// Heartbeats carry the revision as well, so a failure costs time only.
			err := s.links.Call(ctx, m.ID, methodAnnounce, &Announcement{Revision: int64(revision)}, reply)
			if err == nil {
				s.hear(m.ID, ident.Revision(reply.GetRevision()))
			}
		}()
	}
}

// announceTargets returns all other members of the domain that may live, and
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
		ranked := v.Ranked(d, relayKey)
		targets = append(targets, ranked[:min(announcedDomains, len(ranked))]...)
	}
	return targets
}

// serveAnnounce answers an announcement. The text is pulled afterwards.
func (s *Service) serveAnnounce(_ context.Context, from ident.InstanceID, req *Announcement) (proto.Message, error) {
	had := s.holder.Revision()
	s.hear(from, ident.Revision(req.GetRevision()))
	return &AnnouncementReply{Revision: int64(had)}, nil
}

// hear notes that an instance has a revision. It does not block.
func (s *Service) hear(from ident.InstanceID, revision ident.Revision) {
	if revision <= s.holder.Revision() {
		return
	}
	next := candidate{from, revision}
	for {
		select {
		case s.candidate <- next:
			return
		default:
		}
		// The slot is taken: keep the candidate with the higher revision.
		select {
		case old := <-s.candidate:
			if old.revision > next.revision {
				next = old
			}
		default:
		}
	}
}

// pullLoop pulls from instances that told of a higher revision.
func (s *Service) pullLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case c := <-s.candidate:
			if c.revision <= s.holder.Revision() {
				continue
			}
			// A delta that cannot be read is no reason to stay behind.
			if !s.pull(c.from, s.base()) {
				s.pull(c.from, config.Earlier{})
			}
		}
	}
}

// pull asks an instance for its newest text, packed against base if that has a
// revision. It reports false if an answer came that cannot be taken.
func (s *Service) pull(from ident.InstanceID, base config.Earlier) bool {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	reply := &PullReply{}
	err := s.links.Call(ctx, from, methodPull, &PullRequest{Have: int64(base.Revision)}, reply)
	if err != nil {
		_ = level.Debug(s.log).Log("msg", event.PullUnanswered, "from", from, "err", err)
		return true
	}
	return s.taken(reply, base, string(from))
}

// base returns the text in force, against which a pulled one may be packed.
func (s *Service) base() config.Earlier {
	c := s.holder.Current()
	if c == nil {
		return config.Earlier{}
	}
	return config.Earlier{Revision: c.Revision, Raw: c.Raw}
}

// servePull returns the newest snapshot if it is above the caller's.
func (s *Service) servePull(_ context.Context, _ ident.InstanceID, req *PullRequest) (proto.Message, error) {
	c := s.holder.Current()
	if c == nil || int64(c.Revision) <= req.GetHave() {
		return &PullReply{}, nil
	}
	return s.replies.get(c, ident.Revision(req.GetHave()), s.holder)
}

// taken takes the answer to a pull into force, and reports whether it could be
// read. base is the text that was held when it was asked for.
func (s *Service) taken(reply *PullReply, base config.Earlier, from string) bool {
	if reply.GetRevision() == 0 {
		return true
	}
	snapshot, err := s.snapshotOf(reply, base)
	if err != nil {
		_ = level.Warn(s.log).Log("msg", event.PulledTextRefused, "from", from, "base", base.Revision, "err", err)
		return false
	}
	s.pulled.Store(max(s.pulled.Load(), reply.GetRevision()))
	s.take(snapshot, from)
	return true
}

// snapshotOf unpacks and checks a pulled snapshot.
func (s *Service) snapshotOf(reply *PullReply, base config.Earlier) (*config.Snapshot, error) {
	raw, err := config.UnpackFrom(reply.GetPacked(), base)
	if err != nil {
		return nil, err
	}
	snapshot, err := config.NewSnapshot(ident.Revision(reply.GetRevision()), reply.GetEditId(), raw, s.now())
	if err != nil {
		return nil, err
	}
	if snapshot.Digest != reply.GetDigest() {
		return nil, fault.New(fault.BadText, "the text of revision %d has another digest", snapshot.Revision)
	}
	return snapshot, nil
}

// bootstrapLoop asks everybody while this process has no revision: the store
// may be down.
func (s *Service) bootstrapLoop() {
	for s.holder.Current() == nil && s.ctx.Err() == nil {
		s.askAll()
		s.sleep(bootstrapPause)
	}
}

// askAll pulls from all known members and first peers and takes the highest
// revision that comes within the time of one call.
func (s *Service) askAll() {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	best := &PullReply{}
	base := s.base()
	first := make(chan struct{}, 1)
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
				case first <- struct{}{}:
				default:
				}
			}
		}()
	}
	// After the first answer the others get a little more time only, so that
	// an instance that hangs does not hold up the start.
	go func() {
		select {
		case <-first:
			select {
			case <-time.After(bootstrapPause):
			case <-ctx.Done():
			}
			cancel()
		case <-ctx.Done():
		}
	}()
	wg.Wait()
	s.taken(best, base, "instances")
}

// knownAddresses returns the peer addresses of members and first peers.
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
