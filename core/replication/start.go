package replication

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonfork/core/boottime"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
	"monsoonfork/core/sleep"
)

const (
	// minPeerListWait is how long an instance that has just started waits at least for the list of
	// another one before it lists the store itself.
	minPeerListWait = 400 * time.Millisecond
	// peerListWaitSpread is how much longer it waits at most.
	peerListWaitSpread = 1200 * time.Millisecond
	// peerListWaitSkew sets how steeply the density of these waits grows: by the factor e to this
	// power over peerListWaitSpread. Where all start at the same moment and none has the list, few
	// list the store early, and the rest get the list from them.
	peerListWaitSkew = 5.0
	// startPullTimeout bounds a pull at the start. Members that have just lost power don't answer.
	startPullTimeout = 250 * time.Millisecond
	// startPulls is the number of members besides the first peers from which an instance pulls in
	// a round.
	startPulls = 2
	// maxListReplies bounds the successive pulls from one member at the start. With more entries
	// the list comes from several members.
	maxListReplies = 8
	// settlingPullInterval is the time between two rounds of pulls until the settle time is over.
	settlingPullInterval = 500 * time.Millisecond
	// rankTimeFactor is how many times SettleTime after its start an instance takes its member table
	// for complete: until then it may not know a member of its domain that ranks before it.
	rankTimeFactor = 2.4
)

// start gets the first list from other instances, and pulls from first peers and members chosen at
// random until SettleTime is over: the members of its own domain may not be known before. Where all
// instances start together, only the first peers list the store meanwhile. start returns early at a
// first peer, and if no other instance has the list.
func (s *Replicator) start(ctx context.Context) {
	if s.isFirstPeer() {
		return
	}
	settled := s.Now().Add(s.SettleTime)
	listBy := s.Now().Add(peerListWait(rand.Float64()))
	s.setListBy(listBy)
	for ctx.Err() == nil && s.Now().Before(settled) {
		s.pullFromKnown(ctx)
		pause := settlingPullInterval
		if known, _ := s.Table.HasCompleteList(); !known {
			pause = retryDelay
			if s.Now().After(listBy) {
				s.setFollowFrom(0)
				return
			}
		}
		sleep.For(ctx, min(pause, settled.Sub(s.Now())))
	}
}

// setFollowFrom sets the time before which this instance does not follow the store.
func (s *Replicator) setFollowFrom(at boottime.Instant) {
	s.mu.Lock()
	s.followFrom = at
	s.mu.Unlock()
	s.recheck.raise()
}

// setListBy records when this instance lists the store if it gets no list from others.
func (s *Replicator) setListBy(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listBy = at
}

// ListBy returns when this instance lists the store if it gets no list from others before; zero if
// it does not wait for them.
func (s *Replicator) ListBy() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listBy
}

// peerListWait returns how long an instance waits for the list of another one. draw is uniform in
// [0, 1).
func peerListWait(draw float64) time.Duration {
	spread := math.Log1p(draw*math.Expm1(peerListWaitSkew)) / peerListWaitSkew
	return minPeerListWait + time.Duration(spread*float64(peerListWaitSpread))
}

// isFirstPeer reports whether other instances know this one from their settings.
func (s *Replicator) isFirstPeer() bool {
	return slices.Contains(s.FirstPeers(), s.View().Self.PeerAddress)
}

// pullFromKnown pulls from one of the first peers and from other members, chosen at random. The
// first peers list the store at their start.
func (s *Replicator) pullFromKnown(ctx context.Context) {
	first, others := s.knownMembers()
	for _, id := range anyOf(first) {
		s.pullList(ctx, id)
	}
	for range min(len(others), startPulls) {
		s.pullList(ctx, others[rand.IntN(len(others))])
	}
}

// anyOf returns one of the instances, chosen at random; none if there are none.
func anyOf(ids []ident.InstanceID) []ident.InstanceID {
	if len(ids) == 0 {
		return nil
	}
	n := rand.IntN(len(ids))
	return ids[n : n+1]
}

// pullList pulls from a member that may not answer, and again while its replies contain parts of
// its list.
func (s *Replicator) pullList(ctx context.Context, from ident.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, startPullTimeout)
	defer cancel()
	for range maxListReplies {
		// An error is ignored; the next pull is from another member.
		if _, err := s.pull(ctx, from, withoutWait); err != nil || !s.isIncomplete() {
			return
		}
	}
}

// knownMembers returns the members that may be running, except this one: those that are first
// peers, and all others.
func (s *Replicator) knownMembers() (first, others []ident.InstanceID) {
	v, addresses := s.View(), s.FirstPeers()
	for _, m := range v.Members() {
		switch {
		case m.ID == v.Self.ID || m.State == membership.Gone:
		case slices.Contains(addresses, m.PeerAddress):
			first = append(first, m.ID)
		default:
			others = append(others, m.ID)
		}
	}
	return first, others
}
