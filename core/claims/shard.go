package claims

import (
	"context"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/keyvalue"
)

// Limits of a shard.
const (
	maxPending      = 4096                  // Operations that wait for the store.
	minWriteSpacing = 40 * time.Millisecond // Least time between two writes of a log.
	maxBatch        = 64                    // Operations in one write.
)

// operation is an entry that waits to be written, and its waiter.
type operation struct {
	entry Entry
	ctx   context.Context //nolint:containedctx // It belongs to the waiter, not to the shard.
	done  chan verdict    // Has room for one verdict.
}

// shard writes the operations of one log, several in one write.
type shard struct {
	log     *shardLog
	pending chan *operation
	carry   []*operation // Operations that a failed write left over.
	nextAt  time.Time    // No write before this time.
}

// newShard returns a shard whose loop does not run yet.
func newShard(l *shardLog) *shard {
	return &shard{log: l, pending: make(chan *operation, maxPending)}
}

// do queues an entry and waits for its verdict.
func (s *shard) do(ctx context.Context, e Entry) verdict {
	op := &operation{entry: e, ctx: ctx, done: make(chan verdict, 1)}
	select {
	case s.pending <- op:
	default:
		return verdict{err: fault.New(fault.Overloaded, "too many calls wait for their claims")}
	}
	select {
	case v := <-op.done:
		return v
	case <-ctx.Done():
		return verdict{err: fault.Wrap(ctx.Err(), fault.StoreUnavailable, "no answer from the store in time")}
	}
}

// run handles operations until ctx ends.
func (s *shard) run(ctx context.Context) {
	for {
		batch, ok := s.collect(ctx)
		if !ok {
			return
		}
		s.handle(ctx, batch)
	}
}

// collect waits for operations and returns those that wait now.
func (s *shard) collect(ctx context.Context) ([]*operation, bool) {
	batch := s.carry
	s.carry = nil
	if len(batch) == 0 {
		select {
		case <-ctx.Done():
			return nil, false
		case op := <-s.pending:
			batch = append(batch, op)
		}
	}
	if !sleepUntil(ctx, s.nextAt) {
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

// sleepUntil waits for a time and reports whether ctx is still open.
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

// handle judges a batch against the log and writes what has to be written.
// Operations whose write had an unclear or lost outcome are judged again
// against the log as it then stands: an entry that did get there is found.
//
// What has to be written is judged against the log as it was last read: the
// write is refused if anything was appended since. A verdict without a write
// has no such check, so the log is read before it is given.
func (s *shard) handle(ctx context.Context, batch []*operation) {
	batch = stillAwaited(batch)
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, latestDeadline(batch))
	defer cancel()
	s.nextAt = time.Now().Add(minWriteSpacing)
	if !s.log.current || !s.allWritten(batch) {
		if err := s.log.refresh(ctx); err != nil {
			s.retryLater(batch)
			return
		}
	}
	entries, writing := s.judge(batch)
	if len(entries) == 0 {
		return
	}
	outcome, _ := s.log.write(ctx, entries)
	if outcome != keyvalue.Written {
		s.retryLater(writing)
		return
	}
	rest, again := s.judge(writing)
	if len(rest) > 0 {
		s.retryLater(again)
	}
	// The waiters have their verdicts. The index of the new head is learned for
	// the next write; if this read fails, that one reads first.
	if err := s.log.refresh(ctx); err != nil {
		return
	}
	s.log.prune(ctx)
	s.log.sweep()
}

// allWritten reports whether every operation of a batch has to be written, by
// the log as it was last read.
func (s *shard) allWritten(batch []*operation) bool {
	now := s.log.now()
	for _, op := range batch {
		if !s.log.index.judge(&op.entry, now, s.log.expired, s.log.holderGone).write {
			return false
		}
	}
	return true
}

// judge answers the operations that need no write, and returns the entries to
// write with the operations that wait for them.
func (s *shard) judge(batch []*operation) ([]Entry, []*operation) {
	var entries []Entry
	var writing []*operation
	now := s.log.now()
	// Entries of this batch count for those after them.
	tentative := make(index)
	for _, op := range batch {
		e := &op.entry
		view := s.log.index
		if _, ok := tentative[e.Call]; ok {
			view = tentative
		}
		v := view.judge(e, now, s.log.expired, s.log.holderGone)
		if !v.write {
			op.done <- v
			continue
		}
		if r, ok := s.log.index[e.Call]; ok {
			tentative[e.Call] = r
		}
		tentative.apply(e, s.log.expired)
		entries = append(entries, *e)
		writing = append(writing, op)
	}
	return entries, writing
}

// retryLater keeps operations for the next write.
func (s *shard) retryLater(batch []*operation) { s.carry = append(s.carry, batch...) }

// stillAwaited returns the operations whose waiters still wait.
func stillAwaited(batch []*operation) []*operation {
	var open []*operation
	for _, op := range batch {
		if op.ctx.Err() == nil {
			open = append(open, op)
		}
	}
	return open
}

// latestDeadline returns until when the batch may take.
func latestDeadline(batch []*operation) time.Time {
	latest := time.Now().Add(minWriteSpacing)
	for _, op := range batch {
		if d, ok := op.ctx.Deadline(); ok && d.After(latest) {
			latest = d
		}
	}
	return latest
}
