package claims

import (
	"context"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/keyvalue"
)

// Limits of a shard.
const (
	maxPending       = 4096                  // Queued operations; more are refused.
	minWriteInterval = 40 * time.Millisecond // Minimum time between two writes to a log.
	maxBatch         = 64                    // Largest number of operations in one write.
)

// operation is an entry to be appended, with the context and result of the request
// that waits for it.
type operation struct {
	entry  Entry
	ctx    context.Context //nolint:containedctx // The context of the waiting request, not of the shard.
	result chan decision   // Buffered for one decision, so that the shard never blocks.
}

// shard appends operations to one log, in batches of one write each.
type shard struct {
	log         *shardLog
	pending     chan *operation
	retries     []*operation // Operations to repeat after a failed read or write.
	nextWriteAt time.Time    // Earliest time of the next write.
}

// newShard returns a shard; the caller must start run.
func newShard(l *shardLog) *shard {
	return &shard{log: l, pending: make(chan *operation, maxPending)}
}

// submit queues an entry and waits for the decision on it.
func (s *shard) submit(ctx context.Context, e Entry) decision {
	op := &operation{entry: e, ctx: ctx, result: make(chan decision, 1)}
	select {
	case s.pending <- op:
	default:
		return decision{err: fault.New(fault.Overloaded, "too many claims are waiting for the store")}
	}
	select {
	case v := <-op.result:
		return v
	case <-ctx.Done():
		return decision{err: fault.Wrap(ctx.Err(), fault.StoreUnavailable, "the store did not answer in time")}
	}
}

// run processes operations until ctx is cancelled.
func (s *shard) run(ctx context.Context) {
	for {
		batch, ok := s.nextBatch(ctx)
		if !ok {
			return
		}
		s.processBatch(ctx, batch)
	}
}

// nextBatch waits for an operation and for the time of the next write, and returns
// the operations queued by then. It returns false if ctx was cancelled.
func (s *shard) nextBatch(ctx context.Context) ([]*operation, bool) {
	batch := s.retries
	s.retries = nil
	if len(batch) == 0 {
		select {
		case <-ctx.Done():
			return nil, false
		case op := <-s.pending:
			batch = append(batch, op)
		}
	}
	if !sleepUntil(ctx, s.nextWriteAt) {
		return nil, false
	}
	for len(batch) < maxBatch {
		select {
		case op := <-s.pending:
			batch = append(batch, op)
		default:
			return batch, true
		}
	}
	return batch, true
}

// sleepUntil waits until the given time, and returns false if ctx was cancelled
// before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// processBatch decides on a batch of operations and appends the entries that need a
// write. Operations whose write failed or had an unknown outcome are evaluated again
// after the next read of the log, which shows whether their entries were written.
//
// Decisions that lead to a write may use the log as last read: the compare-and-swap
// fails if anything was appended since. Decisions without a write have no such check,
// so the log is read before they are delivered.
func (s *shard) processBatch(ctx context.Context, batch []*operation) {
	batch = withoutCancelled(batch)
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, latestDeadline(batch))
	defer cancel()
	s.nextWriteAt = time.Now().Add(minWriteInterval)
	if !s.log.upToDate || !s.allNeedWrite(batch) {
		if err := s.log.refresh(ctx); err != nil {
			s.retryLater(batch)
			return
		}
	}
	entries, waiting := s.evaluateBatch(batch)
	if len(entries) == 0 {
		return
	}
	outcome, _ := s.log.write(ctx, entries)
	if outcome != keyvalue.Written {
		s.retryLater(waiting)
		return
	}
	unwritten, unresolved := s.evaluateBatch(waiting)
	if len(unwritten) > 0 {
		s.retryLater(unresolved)
	}
	// The decisions are delivered. This read gets the modification index of the
	// new head for the next write; if it fails, the next batch reads first.
	if err := s.log.refresh(ctx); err != nil {
		return
	}
	s.log.deleteExpiredSegment(ctx)
	s.log.removeExpired()
}

// allNeedWrite reports whether every operation of a batch needs a write, according to
// the log as last read.
func (s *shard) allNeedWrite(batch []*operation) bool {
	now := s.log.now()
	for _, op := range batch {
		if !s.log.calls.evaluate(&op.entry, now, s.log.expired, s.log.holderEnded).needsWrite {
			return false
		}
	}
	return true
}

// evaluateBatch delivers the decisions on operations that need no write. It returns
// the entries that must be written and their operations.
func (s *shard) evaluateBatch(batch []*operation) ([]Entry, []*operation) {
	var entries []Entry
	var waiting []*operation
	now := s.log.now()
	// Later entries of the batch are evaluated as if the earlier ones were written.
	tentative := make(callIndex)
	for _, op := range batch {
		e := &op.entry
		state := s.log.calls
		if _, ok := tentative[e.Call]; ok {
			state = tentative
		}
		v := state.evaluate(e, now, s.log.expired, s.log.holderEnded)
		if !v.needsWrite {
			op.result <- v
			continue
		}
		if r, ok := s.log.calls[e.Call]; ok {
			tentative[e.Call] = r
		}
		tentative.apply(e, s.log.expired)
		entries = append(entries, *e)
		waiting = append(waiting, op)
	}
	return entries, waiting
}

// retryLater adds operations to the next batch.
func (s *shard) retryLater(batch []*operation) { s.retries = append(s.retries, batch...) }

// withoutCancelled returns the operations whose requests are still waiting.
func withoutCancelled(batch []*operation) []*operation {
	var open []*operation
	for _, op := range batch {
		if op.ctx.Err() == nil {
			open = append(open, op)
		}
	}
	return open
}

// latestDeadline returns the latest deadline of a batch's operations, and at least
// minWriteInterval from now.
func latestDeadline(batch []*operation) time.Time {
	latest := time.Now().Add(minWriteInterval)
	for _, op := range batch {
		if d, ok := op.ctx.Deadline(); ok && d.After(latest) {
			latest = d
		}
	}
	return latest
}
