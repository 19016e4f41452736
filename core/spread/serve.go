package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Serve answers a call for news. It waits until there are some.
func (s *Spread) Serve(ctx context.Context, _ ident.InstanceID, r *PullRequest) (proto.Message, error) {
	until := s.Now().Add(pullWait)
	sequence := r.GetSequence()
	if ident.InstanceID(r.GetOf()) != s.View().Self.ID {
		news := s.Table.Differing(sumsOf(r), rand.IntN(engines.Parts), replyEntries)
		if len(news.Parts) > 0 {
			return s.reply(r, news), nil
		}
		sequence = news.Sequence
	}
	for {
		news := s.Table.Since(sequence)
		if len(news.Changes) > 2*replyEntries {
			// A list has come. Whoever lacks it compares its own, and asks others too.
			news.Changes, news.More = nil, true
		}
		reply := s.reply(r, news)
		left := until.Sub(s.Now())
		if len(reply.Engines) > 0 || len(reply.Configuration) > 0 || len(reply.Notice) > 0 || reply.More || !reply.Healthy || left <= 0 {
			return reply, nil
		}
		if err := s.await(ctx, news.Next, r, left); err != nil {
			return nil, err
		}
	}
}

// sumsOf returns the sums of a caller's table. One that names none knows nothing.
func sumsOf(r *PullRequest) engines.Sums {
	var s engines.Sums
	copy(s[:], r.GetSums())
	return s
}

// reply returns news as a message.
func (s *Spread) reply(r *PullRequest, news engines.News) *PullReply {
	reply := &PullReply{
		Healthy: s.isFollowing() && s.healthyNow(), Known: news.Known, Sequence: news.Sequence,
		Revision: news.Revision, Expected: int64(s.Expect()), More: news.More,
	}
	for _, p := range news.Parts {
		reply.Parts = append(reply.Parts, int32(p))
	}
	for _, c := range news.Changes {
		reply.Engines = append(reply.Engines, record(c))
	}
	if v := s.Version(); v > ident.Revision(r.GetVersion()) {
		reply.Configuration = s.packed.of(v, s.Config)
	}
	if raw, revision := s.Notice(); revision > r.GetNoticeRevision() {
		reply.Notice, reply.NoticeRevision = raw, revision
	}
	return reply
}

// configPoll is the time between two looks at the configuration and at notices while a
// call waits.
const configPoll = 50 * time.Millisecond

// await returns when there may be news for a caller.
func (s *Spread) await(ctx context.Context, next <-chan struct{}, r *PullRequest, left time.Duration) error {
	timer := time.NewTimer(left)
	defer timer.Stop()
	ticker := time.NewTicker(configPoll)
	defer ticker.Stop()
	for {
		select {
		case <-next:
			return nil
		case <-timer.C:
			return nil
		case <-ticker.C:
			_, notice := s.Notice()
			if s.Version() > ident.Revision(r.GetVersion()) || notice > r.GetNoticeRevision() || !s.healthyNow() {
				return nil
			}
		case <-ctx.Done():
			return fault.From(ctx.Err())
		}
	}
}

// record returns a change as a message.
func record(c engines.Change) *EngineRecord {
	e := c.Entry
	if c.Removed {
		return &EngineRecord{Id: string(e.ID), AsOf: e.AsOf, Removed: true}
	}
	return &EngineRecord{
		Id: string(e.ID), Service: string(e.Service), Address: string(e.Address), Domain: string(e.Domain),
		Slots: int32(e.Slots), State: int32(e.State), Stage: int32(e.Stage), Started: e.Started, AsOf: e.AsOf,
	}
}

// change returns the change that a message describes.
func (e *EngineRecord) change() engines.Change {
	return engines.Change{Removed: e.GetRemoved(), Entry: engines.Entry{
		ID: ident.EndpointID(e.GetId()), Service: ident.ServiceID(e.GetService()), Address: ident.Address(e.GetAddress()),
		Domain: ident.DomainID(e.GetDomain()), Slots: int(e.GetSlots()), State: engines.State(e.GetState()),
		Stage: engines.Stage(e.GetStage()), Started: e.GetStarted(), AsOf: e.GetAsOf(),
	}}
}
