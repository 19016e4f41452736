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

// The method served to other instances, and timeouts.
const (
	methodAppend           = "Claims.Append"
	claimTimeout           = 2 * time.Second        // Longest wait for a claim; after it the call is refused.
	ownerTimeout           = 800 * time.Millisecond // Longest wait for the log's owner, within claimTimeout.
	recordTimeout          = 2 * time.Minute        // How long appending a Done or Release entry is retried.
	recordAttemptTimeout   = 5 * time.Second        // Timeout of one such append.
	inProgressWait         = time.Second            // How long a repeated call waits for the running one to end; above ownerTimeout.
	inProgressPollInterval = 50 * time.Millisecond
	defaultRetention       = time.Hour
)

// Service claims calls for this instance and appends entries to the logs that this
// instance owns.
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

// serviceMetrics count claims by outcome.
type serviceMetrics struct {
	granted  metrics.Counter
	replayed metrics.Counter
	refused  metrics.Counter
	failed   metrics.Counter
}

// Call describes a call that must run at most once.
type Call struct {
	RequestID      ident.RequestID // For log lines.
	Organisation   ident.OrganisationID
	Route          string
	IdempotencyKey string
	Request        []byte    // Method, path and body, for the digest.
	Deadline       time.Time // The call has been stopped by then.
}

// Ticket is a granted claim, or the recorded answer of an earlier run.
type Ticket struct {
	Replay *Answer // If not nil, the call ran earlier with this answer.

	service *Service
	id      ident.RequestID
	entry   Entry
	once    sync.Once
}

// options contains the dependencies of a Service.
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

// newService starts a service.
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
			shard:       i,
			store:       o.store,
			now:         o.now,
			retention:   o.retention,
			holderEnded: s.holderEnded,
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

// Close stops the service and waits for its goroutines.
func (s *Service) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// Claim claims a call before it is sent. If it returns an error, this call must not be
// sent. CallInProgress, OutcomeUnknown, CallMismatch and AnswerNotKept describe an
// earlier call with the same key. StoreUnavailable and Overloaded mean that the claim
// could not be appended.
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
		return nil, s.handleClaimError(c.RequestID, e, err)
	}
	if replay != nil {
		s.metrics.replayed.Inc(1)
		if replay.BodyDropped {
			return nil, fault.New(fault.AnswerNotKept, "the call ran with status %d; its answer was too long to store", replay.Status)
		}
		return &Ticket{Replay: replay}, nil
	}
	s.metrics.granted.Inc(1)
	return &Ticket{service: s, id: c.RequestID, entry: e}, nil
}

// appendClaim appends a claim. If the call is in progress, it waits up to
// inProgressWait for its end: an answer reaches the caller before it is in the log,
// and a caller that repeats the call after the answer must get the same answer again.
func (s *Service) appendClaim(ctx context.Context, e Entry) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	until := time.Now().Add(inProgressWait)
	for {
		replay, err := s.append(ctx, e)
		if !fault.Is(err, fault.CallInProgress) || time.Now().After(until) || !sleepUntil(ctx, time.Now().Add(inProgressPollInterval)) {
			return replay, err
		}
	}
}

// handleClaimError counts a failed claim and returns its error. If the outcome of the
// append is unknown, the claim may be in the log although the call will not run, so
// it is released.
func (s *Service) handleClaimError(id ident.RequestID, e Entry, err error) error {
	if !fault.Is(err, fault.StoreUnavailable) && !fault.Is(err, fault.DeadlineExceeded) && !fault.Is(err, fault.CallerGone) {
		s.metrics.refused.Inc(1)
		return err
	}
	s.metrics.failed.Inc(1)
	e.Op = Release
	s.appendInBackground(id, e)
	return fault.Wrap(err, fault.StoreUnavailable, "the call could not be claimed in the key-value store").WithRan(fault.NotRun)
}

// Complete records the answer of the call in the background.
func (t *Ticket) Complete(a Answer) { t.finish(Done, a.withBoundedBody()) }

// Release records in the background that the call did not run. It must be used only
// if no byte of the call was sent.
func (t *Ticket) Release() { t.finish(Release, nil) }

// Abandon leaves the claim in the log without an outcome: the call may have run, and
// its outcome is unknown.
func (t *Ticket) Abandon() { t.once.Do(func() {}) }

// finish appends the Done or Release entry of the claim. Only the first call of
// finish or Abandon has an effect.
func (t *Ticket) finish(op Op, a *Answer) {
	if t.service == nil {
		return
	}
	t.once.Do(func() {
		e := t.entry
		e.Op, e.Answer = op, a
		t.service.appendInBackground(t.id, e)
	})
}

// appendInBackground appends an entry in the background. It retries failures until
// recordTimeout.
func (s *Service) appendInBackground(id ident.RequestID, e Entry) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		ctx, cancel := context.WithTimeout(s.ctx, recordTimeout)
		defer cancel()
		for ctx.Err() == nil {
			attemptCtx, cancelAttempt := context.WithTimeout(ctx, recordAttemptTimeout)
			_, err := s.append(attemptCtx, e)
			cancelAttempt()
			if err == nil {
				return
			}
			sleepUntil(ctx, time.Now().Add(time.Second))
		}
		_ = level.Warn(s.log).Log("msg", event.OutcomeNotRecorded, "request", string(id), "op", e.Op, "call", string(e.Call))
	}()
}

// append appends an entry through the owner of its log, or directly if the owner
// cannot be reached. The compare-and-swap in the store makes concurrent writers safe.
func (s *Service) append(ctx context.Context, e Entry) (*Answer, error) {
	shardNumber := shardOf(e.Call)
	owner, ok := s.view().GlobalOwner(fmt.Sprintf("%s/%d", keyPrefix, shardNumber))
	if ok && owner.ID != s.self {
		replay, err := s.appendAtOwner(ctx, owner.ID, e)
		if !shouldAppendLocally(err) {
			return replay, err
		}
	}
	v := s.shards[shardNumber].submit(ctx, e)
	return v.replay, v.err
}

// shouldAppendLocally reports whether an error of the log's owner is a failure of the
// owner or the connection, rather than a decision on the call.
func shouldAppendLocally(err error) bool {
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

// appendAtOwner asks the owner of a log, another instance, to append an entry.
func (s *Service) appendAtOwner(ctx context.Context, owner ident.InstanceID, e Entry) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	reply := &AppendReply{}
	err := s.links.Call(ctx, owner, methodAppend, &AppendRequest{Entry: e.message()}, reply)
	return answerFromMessage(reply.GetReplay()), err
}

// serveAppend appends an entry on behalf of another instance.
func (s *Service) serveAppend(ctx context.Context, _ ident.InstanceID, req *AppendRequest) (proto.Message, error) {
	e, err := entryFromMessage(req.GetEntry())
	if err != nil {
		return nil, err
	}
	v := s.shards[shardOf(e.Call)].submit(ctx, e)
	if v.err != nil {
		return nil, v.err
	}
	return &AppendReply{Replay: v.replay.message()}, nil
}

// holderEnded reports whether membership has confirmed that the process of a holder
// has ended.
func (s *Service) holderEnded(id ident.InstanceID) bool {
	m, ok := s.view().Member(id)
	return ok && m.State == membership.Gone
}
