package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
)

// Times and names of the service.
const (
	methodAppend     = "Claims.Append"
	claimTimeout     = 2 * time.Second        // Longest wait for a claim before the call is refused.
	ownerTimeout     = 800 * time.Millisecond // Of that, the wait for the owner of the log.
	completeTimeout  = 2 * time.Minute        // How long Done and Release are tried.
	completeAttempt  = 5 * time.Second
	endWait          = time.Second // Longest wait of a repetition for the end of the call; above ownerTimeout.
	endPoll          = 50 * time.Millisecond
	defaultRetention = time.Hour
)

// Service claims calls for this process.
type Service struct {
	self    ident.InstanceID
	log     log.Logger
	now     func() time.Time
	view    func() *membership.View
	links   *link.Links
	shards  [shardCount]*shard
	metrics serviceMetrics

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// serviceMetrics count what became of claims.
type serviceMetrics struct {
	granted  metrics.Counter
	replayed metrics.Counter
	refused  metrics.Counter
	failed   metrics.Counter
}

// Call is a call that may not be repeated.
type Call struct {
	ID             ident.RequestID // For the log.
	Organisation   ident.OrganisationID
	Route          string
	IdempotencyKey string
	Request        []byte    // Method, path and body, for the digest.
	Deadline       time.Time // After it the call does not run any more.
}

// Ticket is a claim that was granted, or the answer of an earlier run.
type Ticket struct {
	Replay *Answer // Not nil: the call ran before; answer this.

	service *Service
	id      ident.RequestID
	entry   Entry
	once    sync.Once
}

// options are what a Service is made of.
type options struct {
	self      ident.InstanceID
	logger    log.Logger
	now       func() time.Time
	view      func() *membership.View
	links     *link.Links
	store     Store
	retention func() time.Duration
	registry  metrics.Registry
}

// newService returns a running service.
func newService(o options) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		self:  o.self,
		log:   log.With(o.logger, "part", "Claims"),
		now:   o.now,
		view:  o.view,
		links: o.links,
		metrics: serviceMetrics{
			granted:  metrics.GetOrRegisterCounter("Claims.Granted", o.registry),
			replayed: metrics.GetOrRegisterCounter("Claims.Replayed", o.registry),
			refused:  metrics.GetOrRegisterCounter("Claims.Refused", o.registry),
			failed:   metrics.GetOrRegisterCounter("Claims.StoreFailed", o.registry),
		},
		ctx:    ctx,
		cancel: cancel,
	}
	for i := range s.shards {
		s.shards[i] = newShard(&shardLog{
			shard:      i,
			store:      o.store,
			now:        o.now,
			retention:  o.retention,
			holderGone: s.holderGone,
		})
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.shards[i].run(ctx)
		}()
	}
	link.Handle(o.links, methodAppend, s.serveAppend)
	return s
}

// Close stops the service and waits.
func (s *Service) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// Claim claims a call before it runs. The errors say that this call did not
// run: CallInProgress, OutcomeUnknown, CallMismatch or StoreUnavailable; of an
// earlier call with the same key they say what is known.
func (s *Service) Claim(ctx context.Context, c Call) (*Ticket, error) {
	digest := sha256.Sum256(c.Request)
	e := Entry{
		Op:       Claim,
		Call:     HashCall(c.Organisation, c.Route, c.IdempotencyKey),
		Claim:    ClaimID(ident.NewRequestID()),
		Request:  hex.EncodeToString(digest[:hashBytes]),
		Holder:   s.self,
		At:       s.now().UnixMilli(),
		Deadline: c.Deadline.UnixMilli(),
	}
	replay, err := s.appendClaim(ctx, e)
	if err != nil {
		return nil, s.claimFailed(c.ID, e, err)
	}
	if replay != nil {
		s.metrics.replayed.Inc(1)
		if replay.BodyDropped {
			return nil, fault.New(fault.AnswerNotKept, "the call ran with status %d; its answer was too long to keep", replay.Status)
		}
		return &Ticket{Replay: replay}, nil
	}
	s.metrics.granted.Inc(1)
	return &Ticket{service: s, id: c.ID, entry: e}, nil
}

// appendClaim appends a claim. If the call is running it waits a moment for the
// end: an answer reaches its caller before it stands in the log, and a caller
// that has it and repeats the call must get it again.
func (s *Service) appendClaim(ctx context.Context, e Entry) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	until := time.Now().Add(endWait)
	for {
		replay, err := s.append(ctx, e)
		if !fault.Is(err, fault.CallInProgress) || time.Now().After(until) || !sleepUntil(ctx, time.Now().Add(endPoll)) {
			return replay, err
		}
	}
}

// claimFailed counts a refused claim. If the store's answer is missing, the
// claim may stand although the call will not run, so it is released.
func (s *Service) claimFailed(id ident.RequestID, e Entry, err error) error {
	if !fault.Is(err, fault.StoreUnavailable) && !fault.Is(err, fault.DeadlineExceeded) && !fault.Is(err, fault.CallerGone) {
		s.metrics.refused.Inc(1)
		return err
	}
	s.metrics.failed.Inc(1)
	e.Op = Release
	s.appendLater(id, e)
	return fault.Wrap(err, fault.StoreUnavailable, "the call could not be claimed in the store").WithRan(fault.NotRun)
}

// Complete records the answer of the call, in the background.
func (t *Ticket) Complete(a Answer) { t.finish(Done, a.trimmed()) }

// Release records that the call did not run, in the background. It is only
// for calls of which no byte was sent.
func (t *Ticket) Release() { t.finish(Release, nil) }

// Abandon leaves the claim as it stands: the call may have run, and what came
// of it is not known.
func (t *Ticket) Abandon() { t.once.Do(func() {}) }

// finish appends the end of the claim, once.
func (t *Ticket) finish(op Op, a *Answer) {
	if t.service == nil {
		return
	}
	t.once.Do(func() {
		e := t.entry
		e.Op, e.Answer = op, a
		t.service.appendLater(t.id, e)
	})
}

// appendLater appends an entry in the background, and tries again while the
// store does not answer.
func (s *Service) appendLater(id ident.RequestID, e Entry) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		ctx, cancel := context.WithTimeout(s.ctx, completeTimeout)
		defer cancel()
		for ctx.Err() == nil {
			attempt, done := context.WithTimeout(ctx, completeAttempt)
			_, err := s.append(attempt, e)
			done()
			if err == nil {
				return
			}
			sleepUntil(ctx, time.Now().Add(time.Second))
		}
		_ = level.Warn(s.log).Log("msg", event.EntryNotRecorded, "request", string(id), "op", e.Op, "call", string(e.Call))
	}()
}

// append has an entry written by the owner of its log, or by this process
// when the owner cannot be reached: the store's compare-and-swap keeps several
// appenders apart.
func (s *Service) append(ctx context.Context, e Entry) (*Answer, error) {
	n := shardOf(e.Call)
	owner, ok := s.view().GlobalOwner(fmt.Sprintf("%s/%d", keyPrefix, n))
	if ok && owner.ID != s.self {
		replay, err := s.appendAt(ctx, owner.ID, e)
		if !ownerFailed(err) {
			return replay, err
		}
	}
	v := s.shards[n].do(ctx, e)
	return v.replay, v.err
}

// ownerFailed reports whether an error says nothing about the call itself.
func ownerFailed(err error) bool {
	if err == nil {
		return false
	}
	switch fault.KindOf(err) {
	case fault.CallInProgress, fault.CallMismatch, fault.OutcomeUnknown:
		return false
	default:
		return true
	}
}

// appendAt asks another process to append an entry.
func (s *Service) appendAt(ctx context.Context, owner ident.InstanceID, e Entry) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	reply := &AppendReply{}
	err := s.links.Call(ctx, owner, methodAppend, &AppendRequest{Entry: e.message()}, reply)
	return answerFrom(reply.GetReplay()), err
}

// serveAppend appends an entry for another process.
func (s *Service) serveAppend(ctx context.Context, _ ident.InstanceID, req *AppendRequest) (proto.Message, error) {
	e, err := entryFrom(req.GetEntry())
	if err != nil {
		return nil, err
	}
	v := s.shards[shardOf(e.Call)].do(ctx, e)
	if v.err != nil {
		return nil, v.err
	}
	return &AppendReply{Replay: v.replay.message()}, nil
}

// holderGone reports whether the process of a holder has ended for sure.
func (s *Service) holderGone(id ident.InstanceID) bool {
	m, ok := s.view().Member(id)
	return ok && m.State == membership.Gone
}
