package replication

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/boottime"
	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/storeera"
)

// Serve answers a pull. Unless the caller lacks something, it waits for changes for up
// to longPollTime, or until this instance is unhealthy or can confirm the caller's copy.
func (s *Replicator) Serve(ctx context.Context, _ ident.InstanceID, r *PullRequest) (proto.Message, error) {
	deadline, arrived := s.Now().Add(longPollTime), s.BootTime()
	sequence := r.GetSequence()
	if ident.InstanceID(r.GetOf()) != s.View().Self.ID {
		age := s.ageAt(arrived)
		delta := s.Table.DifferingPartitions(requestSums(r), rand.IntN(engines.PartitionCount), replyEntryLimit)
		if len(delta.Partitions) > 0 {
			return s.newReply(r, delta, age), nil
		}
		sequence = delta.Sequence
	}
	for {
		changed := s.changes.wait()
		age := s.ageAt(arrived) // Before the changes are read: they may not be older than it says.
		delta := s.Table.Since(sequence)
		if len(delta.Changes) > 2*replyEntryLimit {
			// The whole list has changed. The caller gets no entries and compares
			// checksums in its next pulls, also with other members.
			delta.Changes, delta.Truncated = nil, true
		}
		reply := s.newReply(r, delta, age)
		remaining := deadline.Sub(s.Now())
		if len(reply.Engines) > 0 || len(reply.Configuration) > 0 || len(reply.Notice) > 0 || reply.Evacuations != nil || reply.More || !reply.Healthy || confirms(age, r.AgeUs) || remaining <= 0 {
			return reply, nil
		}
		if err := awaitChange(ctx, delta.Changed, changed, remaining); err != nil {
			return nil, err
		}
	}
}

// ageAt returns the age that this instance's copy had at a time, in microseconds; nil if it has no
// copy. It is negative if the copy has become current since.
func (s *Replicator) ageAt(at boottime.Instant) *int64 {
	current := s.currentAt()
	if current == 0 {
		return nil
	}
	return proto.Int64(at.Sub(current).Microseconds())
}

// confirms reports whether a reply tells a caller that its copy is current at a much later time than
// the caller knows. Both ages are in microseconds, and nil without a copy.
func confirms(age, callers *int64) bool {
	return age != nil && (callers == nil || *callers-*age > minAgeGain.Microseconds())
}

// requestSums returns the checksums of the caller's table. A request without checksums
// is treated as one of an empty table.
func requestSums(r *PullRequest) engines.Checksums {
	var s engines.Checksums
	copy(s[:], r.GetSums())
	return s
}

// newReply returns the reply to a pull: changes of engines, the configuration, the notice and
// the evacuations if they are newer than the caller's, and the age of this instance's copy.
func (s *Replicator) newReply(r *PullRequest, delta engines.TableChanges, age *int64) *PullReply {
	reply := &PullReply{
		Healthy: s.isHealthy(), Known: delta.Complete, Sequence: delta.Sequence,
		Revision: delta.Revision, Expected: int64(s.RegisteredInstances()), More: delta.Truncated, AgeUs: age,
		HoldsRemovals: s.HoldsRemovals(), Evacuations: s.newerEvacuations(r), Registered: s.registeredRecords(),
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
	raw, revision := s.Notice()
	if !r.GetOrderedRevisions() {
		revision = storeRevision(revision)
		removeEras(reply)
	}
	if revision > r.GetNoticeRevision() {
		reply.Notice, reply.NoticeRevision = raw, revision
	}
	return reply
}

// removeEras removes the era of all revisions of a reply.
func removeEras(r *PullReply) {
	r.Revision = storeRevision(r.GetRevision())
	for _, e := range r.GetEngines() {
		e.AsOf = storeRevision(e.GetAsOf())
	}
}

// storeRevision returns an ordered revision without its era.
func storeRevision(ordered int64) int64 {
	_, revision := storeera.Split(ordered)
	return revision
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
		ColdMs: e.Cold.Milliseconds(), ColdRemainingMs: e.ColdRemaining.Milliseconds(),
	}
}

// toChange decodes a change.
func (e *EngineRecord) toChange() engines.Change {
	return engines.Change{Removed: e.GetRemoved(), Entry: engines.Entry{
		ID: ident.EndpointID(e.GetId()), Service: ident.ServiceID(e.GetService()), Address: ident.Address(e.GetAddress()),
		Domain: ident.DomainID(e.GetDomain()), Slots: int(e.GetSlots()), State: engines.State(e.GetState()),
		Stage: engines.Stage(e.GetStage()), Started: e.GetStarted(), ListRevision: e.GetAsOf(),
		Cold: engines.ColdTime(e.GetColdMs()), ColdRemaining: engines.ColdTime(e.GetColdRemainingMs()),
	}}
}
