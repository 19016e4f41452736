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
	// abortBound is how long an abort is tried. An engine that does not hear
	// it for longer is cleared by the reaper, which asks whether the attempt
	// is still held here.
	abortBound = 2 * time.Minute
	// abortRecheck is the time after which an engine that did not know the
	// attempt is told again: the call may have been on its way.
	abortRecheck = time.Second
)

// attempts is the table of attempts that this instance serves at engines, and
// of aborts under way.
type attempts struct {
	shards [shardCount]attemptShard

	mu       sync.Mutex
	abortsUp int
}

// attemptShard is a part of the table, by attempt id.
type attemptShard struct {
	mu   sync.Mutex
	held map[string]struct{}
}

// hold enters an attempt before its first byte leaves.
func (a *attempts) hold(id string) {
	shard := &a.shards[shardOf(id)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.held == nil {
		shard.held = make(map[string]struct{})
	}
	shard.held[id] = struct{}{}
}

// letGo takes an attempt out.
func (a *attempts) letGo(id string) {
	shard := &a.shards[shardOf(id)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.held, id)
}

// holds reports which attempts are in the table.
func (a *attempts) holds(ids []string) []bool {
	held := make([]bool, len(ids))
	for i, id := range ids {
		shard := &a.shards[shardOf(id)]
		shard.mu.Lock()
		_, held[i] = shard.held[id]
		shard.mu.Unlock()
	}
	return held
}

// heldCount returns the number of attempts in the table.
func (a *attempts) heldCount() int {
	n := 0
	for i := range a.shards {
		a.shards[i].mu.Lock()
		n += len(a.shards[i].held)
		a.shards[i].mu.Unlock()
	}
	return n
}

// aborting returns the number of aborts under way.
func (a *attempts) aborting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.abortsUp
}

// countAbort adds n to the aborts under way.
func (a *attempts) countAbort(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abortsUp += n
}

// abort frees an attempt at an engine in the background.
func (p *Path) abort(logger log.Logger, e text.Engine, attempt string) {
	p.attempts.countAbort(1)
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		defer p.attempts.countAbort(-1)
		ctx, cancel := context.WithTimeout(p.background, abortBound)
		defer cancel()
		if err := p.abortSurely(ctx, e, attempt); err != nil {
			_ = level.Warn(logger).Log("msg", event.AbortUnacknowledged, "engine", string(e.Name), "attempt", attempt, "err", err)
		}
	}()
}

// abortSurely aborts until acknowledged. If the engine did not know the
// attempt, it is told once more later.
func (p *Path) abortSurely(ctx context.Context, e text.Engine, attempt string) error {
	held, err := p.Abort(ctx, e.Address, attempt)
	if err != nil || held {
		return err
	}
	select {
	case <-time.After(abortRecheck):
	case <-ctx.Done():
		return nil
	}
	_, err = p.Abort(ctx, e.Address, attempt)
	return err
}
