package replication

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Serve answers a pull. Unless the caller lacks something, it waits for changes for up
// to longPollTime, or until this instance is unhealthy.
func (s *Replicator) Serve(ctx context.Context, _ ident.InstanceID, r *PullRequest) (proto.Message, error) {
	deadline := s.Now().Add(longPollTime)
	sequence := r.GetSequence()
	if ident.InstanceID(r.GetOf()) != s.View().Self.ID {
		delta := s.Table.DifferingPartitions(requestSums(r), rand.IntN(engines.PartitionCount), replyEntryLimit)
		if len(delta.Partitions) > 0 {
			return s.newReply(r, delta), nil
		}
		sequence = delta.Sequence
	}
	for {
		changed := s.changes.wait()
		delta := s.Table.Since(sequence)
		if len(delta.Changes) > 2*replyEntryLimit {
			// The whole list has changed. The caller gets no entries and compares
			// checksums in its next pulls, also with other members.
			delta.Changes, delta.Truncated = nil, true
		}
		reply := s.newReply(r, delta)
		remaining := deadline.Sub(s.Now())
		if len(reply.Engines) > 0 || len(reply.Configuration) > 0 || len(reply.Notice) > 0 || reply.More || !reply.Healthy || remaining <= 0 {
			return reply, nil
		}
		if err := awaitChange(ctx, delta.Changed, changed, remaining); err != nil {
			return nil, err
		}
	}
}

// requestSums returns the checksums of the caller's table. A request without checksums
// is treated as one of an empty table.
func requestSums(r *PullRequest) engines.Checksums {
	var s engines.Checksums
	copy(s[:], r.GetSums())
	return s
}

// newReply returns the reply to a pull: changes of engines, and the configuration and the
// notice if they are newer than the caller's.
func (s *Replicator) newReply(r *PullRequest, delta engines.TableChanges) *PullReply {
	reply := &PullReply{
		Healthy: s.isFollowing() && s.storeHealthy(), Known: delta.Complete, Sequence: delta.Sequence,
		Revision: delta.Revision, Expected: int64(s.RegisteredInstances()), More: delta.Truncated,
	}
	for _, p := range delta.Partitions {
		reply.Parts = append(reply.Parts, int32(p))
	}
	for _, c := range delta.Changes {
		reply.Engines = append(reply.Engines, changeMessage(c))
	}
	if v := s.Version(); v > ident.Revision(r.GetVersion()) {
		reply.Configuration = s.compressed.forVersion(v, s.Config)
	}
	if raw, revision := s.Notice(); revision > r.GetNoticeRevision() {
		reply.Notice, reply.NoticeRevision = raw, revision
	}
	return reply
}

// awaitChange returns when one of the channels is closed, or when the remaining time is over.
func awaitChange(ctx context.Context, engines, others <-chan struct{}, remaining time.Duration) error {
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-engines:
	case <-others:
	case <-timer.C:
	case <-ctx.Done():
		return fault.From(ctx.Err())
	}
	return nil
}

// changeMessage encodes a change.
func changeMessage(c engines.Change) *EngineRecord {
	e := c.Entry
	if c.Removed {
		return &EngineRecord{Id: string(e.ID), AsOf: e.ListRevision, Removed: true}
	}
	return &EngineRecord{
		Id: string(e.ID), Service: string(e.Service), Address: string(e.Address), Domain: string(e.Domain),
		Slots: int32(e.Slots), State: int32(e.State), Stage: int32(e.Stage), Started: e.Started, AsOf: e.ListRevision,
	}
}

// toChange decodes a change.
func (e *EngineRecord) toChange() engines.Change {
	return engines.Change{Removed: e.GetRemoved(), Entry: engines.Entry{
		ID: ident.EndpointID(e.GetId()), Service: ident.ServiceID(e.GetService()), Address: ident.Address(e.GetAddress()),
		Domain: ident.DomainID(e.GetDomain()), Slots: int(e.GetSlots()), State: engines.State(e.GetState()),
		Stage: engines.Stage(e.GetStage()), Started: e.GetStarted(), ListRevision: e.GetAsOf(),
	}}
}
