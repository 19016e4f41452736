package replication

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/boottime"
	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
	"monsoonfork/core/sleep"
)

// catchUp pulls from randomly chosen members of the domain while much of the list is
// missing.
func (s *Replicator) catchUp(ctx context.Context, v *membership.View) {
	if !s.isIncomplete() {
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
		_, _ = s.pull(ctx, to, untilChange)
	}
}

// isIncomplete reports whether the last reply did not contain all that is missing.
func (s *Replicator) isIncomplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incomplete
}

// waiting is whether a pull waits for changes.
type waiting bool

const (
	withoutWait waiting = false
	untilChange waiting = true
)

// pull calls another instance and applies its reply.
func (s *Replicator) pull(ctx context.Context, from ident.InstanceID, wait waiting) (healthy bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	s.mu.Lock()
	req := &PullRequest{Of: string(s.sequenceOwner), Sequence: s.sequence, Version: int64(s.Version()), OrderedRevisions: true}
	_, req.NoticeRevision = s.Notice()
	req.EvacuationRevision = proto.Int64(s.evacuationRevision())
	pulledAt, comparisons := s.pulledAt, s.comparisons
	s.mu.Unlock()
	// A callee whose copy is newer replies at once, and a caller without an age has no copy.
	if age, known := s.Age(); known && wait == untilChange {
		req.AgeUs = proto.Int64(age.Microseconds())
	}
	if ident.InstanceID(req.GetOf()) != from || s.Now().Sub(pulledAt) > sequenceValidity {
		sums := s.Table.Checksums()
		req.Of, req.Sums = "", sums[:]
	}
	reply := &PullReply{}
	calledAt := s.BootTime()
	if err := s.Call(ctx, from, MethodPull, req, reply); err != nil {
		return false, err
	}
	s.applyReplyConfig(from, reply)
	used := s.ObserveRevision(reply.GetRevision())
	if used {
		s.applyReply(from, reply, calledAt, comparisons)
	}
	if len(reply.GetConfiguration()) > 0 && int64(s.Version()) == req.GetVersion() {
		// The configuration was rejected here, and the next reply has it again.
		sleep.For(ctx, retryDelay)
	}
	return used && reply.GetHealthy(), nil
}

// applyReplyConfig applies the configuration of a reply. Its version orders it, whatever the era of
// the callee's copy.
func (s *Replicator) applyReplyConfig(from ident.InstanceID, r *PullReply) {
	compressed := r.GetConfiguration()
	if len(compressed) == 0 {
		return
	}
	raw, err := decompress(compressed)
	if err != nil {
		_ = level.Warn(s.Log).Log("msg", event.InvalidPullReply, "from", from, "err", err)
		return
	}
	s.ApplyConfig(raw)
}

// applyReply applies the evacuations, the engines and the notice of a reply, and records when it
// arrived, up to which sequence number, and when its contents were current. comparisons is the number of
// calls of CompareTables before the pull.
func (s *Replicator) applyReply(from ident.InstanceID, r *PullReply, calledAt boottime.Instant, comparisons int) {
	// A follower that the store does not answer may be the first to know of an outage.
	if r.GetHealthy() || r.GetHoldsRemovals() {
		s.SetOutage(r.GetHoldsRemovals())
	}
	s.applyEvacuations(r)
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
	s.applyRegistered(r)
	if r.AgeUs != nil && r.GetKnown() && !r.GetMore() {
		// A copy can't have become current later than now.
		age := max(time.Duration(r.GetAgeUs())*time.Microsecond, -s.BootTime().Sub(calledAt))
		s.confirm(calledAt.Add(-age))
	}
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequenceOwner, s.sequence, s.pulledAt, s.incomplete = from, r.GetSequence(), now, r.GetMore()
	if s.incomplete || s.comparisons != comparisons {
		s.sequenceOwner = ""
	}
	if !r.GetHealthy() || s.BootTime().Sub(s.fresh.currentAt) > s.confirmTime() {
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
