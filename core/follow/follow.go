// Package follow keeps up with a part of the platform's store.
package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/pause"
)

// ErrCompacted says that the store no longer has the history that was asked for.
var ErrCompacted = errors.New("the history of the store is gone")

// Item is a key of the store, or that it was removed.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

// Source is the seam to the store.
type Source struct {
	// List returns all items, and the revision from which a watch misses nothing.
	List func(ctx context.Context) (items []Item, revision int64, err error)
	// Watch waits for changes after a revision and returns where to go on.
	Watch func(ctx context.Context, after int64) (changes []Item, next int64, err error)
}

const (
	firstPause = 100 * time.Millisecond
	// lastPause bounds the pause after failures: news must be in force within two
	// seconds of the store's return.
	lastPause = 500 * time.Millisecond
	// gather is the pause between news and the next watch. Changes often come many
	// at a time, and each call is paid for.
	gather = 150 * time.Millisecond
)

// Follower follows a Source until its context ends.
type Follower struct {
	Source  Source
	OnList  func(items []Item, revision int64)
	OnNews  func(changes []Item)
	Log     log.Logger
	Now     func() time.Time
	Regains func(at time.Time) // Called when the store answers again. May be nil.
	// Settle is how long the first list has to do: an instance that has just started
	// does not know yet whether it is the one to watch.
	Settle time.Duration

	settled bool // Used by Run alone.

	mu       sync.Mutex
	healthy  bool
	doubtful bool // The last watch failed; the next may not.
	settling bool
	since    time.Time
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := firstPause
	for ctx.Err() == nil {
		revision, err := f.list(ctx)
		if err == nil {
			wait = firstPause
			f.settle(ctx)
			err = f.watch(ctx, revision)
		}
		if errors.Is(err, ErrCompacted) {
			_ = level.Info(f.Log).Log("msg", event.HistoryGone, "revision", revision)
			continue
		}
		f.set(ctx, false, err)
		pause.For(ctx, wait)
		wait = min(2*wait, lastPause)
	}
}

// settle waits after the first list. Others must not rely on this instance's news
// meanwhile.
func (f *Follower) settle(ctx context.Context) {
	if f.settled {
		return
	}
	f.settled = true
	f.setSettling(true)
	defer f.setSettling(false)
	pause.For(ctx, f.Settle)
}

// setSettling records whether the first list has to do.
func (f *Follower) setSettling(settling bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settling, f.doubtful = settling, settling
}

// Settling reports whether the first list has to do.
func (f *Follower) Settling() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settling
}

// list takes the whole list.
func (f *Follower) list(ctx context.Context) (int64, error) {
	items, revision, err := f.Source.List(ctx)
	if err != nil {
		return 0, err
	}
	f.set(ctx, true, nil)
	f.OnList(items, revision)
	return revision, nil
}

// watch takes news until a call fails. A watch that fails once is tried again
// from where it was, as it is cheaper than a list.
func (f *Follower) watch(ctx context.Context, revision int64) error {
	failed := false
	for ctx.Err() == nil {
		changes, next, err := f.Source.Watch(ctx, revision)
		if err != nil {
			if failed || ctx.Err() != nil || errors.Is(err, ErrCompacted) {
				return err
			}
			failed = true
			f.doubt(true)
			continue
		}
		failed = false
		f.doubt(false)
		revision = max(revision, next)
		if len(changes) > 0 {
			f.OnNews(changes)
			pause.For(ctx, gather)
		}
	}
	return ctx.Err()
}

// doubt records whether the last watch failed. Others must not rely on this
// instance's news then, but nothing has been missed yet.
func (f *Follower) doubt(doubtful bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doubtful = doubtful
}

// set records whether the store answers, and logs a change unless it is no longer
// followed.
func (f *Follower) set(ctx context.Context, healthy bool, err error) {
	f.mu.Lock()
	f.doubtful = false
	changed := f.healthy != healthy
	first := f.since.IsZero()
	if changed || first {
		f.healthy, f.since = healthy, f.Now()
	}
	f.mu.Unlock()
	switch {
	case !changed, ctx.Err() != nil:
	case healthy:
		_ = level.Info(f.Log).Log("msg", event.StoreRegained)
		if f.Regains != nil && !first {
			f.Regains(f.Now())
		}
	default:
		_ = level.Warn(f.Log).Log("msg", event.StoreLost, "err", err)
	}
}

// Healthy reports whether the store answers, and since when that is so.
func (f *Follower) Healthy() (bool, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.healthy && !f.doubtful, f.since
}
