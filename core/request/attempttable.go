package request

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/text"
)

const (
	// abortTimeout bounds the retries of one abort. If an engine cannot be
	// reached for longer, the reaper aborts the attempt after asking this
	// instance whether it still serves it.
	abortTimeout = 2 * time.Minute
	// abortRepeatDelay is the time after which an abort is repeated at an
	// engine that had no such attempt: the call that starts the attempt may
	// have been in transit.
	abortRepeatDelay = time.Second
)

// attemptTable holds the ids of the attempts that this instance has at engines,
// and counts the aborts in progress.
type attemptTable struct {
	shards [shardCount]attemptShard

	mu            sync.Mutex
	pendingAborts int
}

// attemptShard holds the attempts whose ids hash to one shard of the table.
type attemptShard struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

// add adds an attempt. It must be called before any byte is sent to an engine, or
// a reaper could abort the attempt while it runs.
func (a *attemptTable) add(id string) {
	shard := &a.shards[shardOf(id)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.ids == nil {
		shard.ids = make(map[string]struct{})
	}
	shard.ids[id] = struct{}{}
}

// remove removes an attempt.
func (a *attemptTable) remove(id string) {
	shard := &a.shards[shardOf(id)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.ids, id)
}

// contains reports for each id, in order, whether the attempt is in the table.
func (a *attemptTable) contains(ids []string) []bool {
	held := make([]bool, len(ids))
	for i, id := range ids {
		shard := &a.shards[shardOf(id)]
		shard.mu.Lock()
		_, held[i] = shard.ids[id]
		shard.mu.Unlock()
	}
	return held
}

// count returns the number of attempts in the table.
func (a *attemptTable) count() int {
	n := 0
	for i := range a.shards {
		a.shards[i].mu.Lock()
		n += len(a.shards[i].ids)
		a.shards[i].mu.Unlock()
	}
	return n
}

// pendingAbortCount returns the number of aborts in progress.
func (a *attemptTable) pendingAbortCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pendingAborts
}

// addPendingAborts adds n to the number of aborts in progress; n may be negative.
func (a *attemptTable) addPendingAborts(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingAborts += n
}

// abort aborts an attempt at an engine in the background.
func (p *Pipeline) abort(logger log.Logger, e text.Engine, attempt string) {
	p.attempts.addPendingAborts(1)
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		defer p.attempts.addPendingAborts(-1)
		ctx, cancel := context.WithTimeout(p.abortCtx, abortTimeout)
		defer cancel()
		if err := p.abortUntilAcknowledged(ctx, e, attempt); err != nil {
			_ = level.Warn(logger).Log("msg", event.AbortUnacknowledged, "engine", string(e.Name), "attempt", attempt, "err", err)
		}
	}()
}

// abortUntilAcknowledged aborts an attempt and waits for the engine's
// acknowledgement. If the engine had no such attempt, it repeats the abort once
// after abortRepeatDelay.
func (p *Pipeline) abortUntilAcknowledged(ctx context.Context, e text.Engine, attempt string) error {
	held, err := p.Abort(ctx, e.Address, attempt)
	if err != nil || held {
		return err
	}
	select {
	case <-time.After(abortRepeatDelay):
	case <-ctx.Done():
		return nil
	}
	_, err = p.Abort(ctx, e.Address, attempt)
	return err
}
