package quarantine

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
	"monsoonfork/core/sleep"
)

const (
	// storeLife is how long crashes stay in the store after they were written: the longest time
	// to live that a lease may have.
	storeLife = 10 * time.Minute
	// storeAttempts is how often a write to the store is tried.
	storeAttempts = 3
	// storeRetryDelay is the pause before it is tried again.
	storeRetryDelay = 300 * time.Millisecond
)

// storeState is what this instance has written to the store. Only lost is used outside of Run.
type storeState struct {
	unreached bool        // A domain could not be reached when evidence was last sent.
	written   []crashID   // Sorted as crashes are.
	reset     bool        // The store has come back from an older copy.
	lost      atomic.Bool // The store may have lost what was written.
}

// StoreReset is called when the store is known to have come back from an older copy. What this
// instance had written is written again, and also what instances had written that have ended since.
func (q *Quarantine) StoreReset() {
	q.stored.lost.Store(true)
	q.outbox.wake()
}

// updateStore writes the crashes to the store that this instance writes and that others
// need: those for which a part is held, so that the hold outlives a restart of all instances,
// and all that are not cleared while a domain can't be reached. It writes only changes.
func (q *Quarantine) updateStore(ctx context.Context) {
	if q.store == nil {
		return
	}
	if q.stored.lost.Swap(false) {
		q.stored.written, q.stored.reset = nil, true
	}
	own := q.matching(q.isWriter)
	needed := batch{crashes: slices.DeleteFunc(own.crashes, func(c Crash) bool { return !q.isNeeded(c) })}
	ids := make([]crashID, len(needed.crashes))
	for i, c := range needed.crashes {
		ids[i] = c.id()
	}
	if slices.Equal(ids, q.stored.written) {
		return
	}
	if err := q.tryStore(ctx, q.encode(needed)); err != nil {
		_ = level.Info(q.log).Log("msg", event.CrashesNotStored, "crashes", len(ids), "err", err)
		return
	}
	q.stored.written = ids
}

// isWriter reports whether this instance writes a crash to the store: one that it has reported, or,
// once the store has come back from an older copy, one whose reporter has ended.
func (q *Quarantine) isWriter(c Crash) bool {
	if c.Reporter == q.self || !q.stored.reset || q.peers.View == nil {
		return c.Reporter == q.self
	}
	v := q.peers.View()
	if m, known := v.Member(c.Reporter); known && m.State != membership.Gone {
		return false
	}
	writer, ok := v.GlobalOwner("crashes/" + string(c.Reporter))
	return ok && writer.ID == q.self
}

// isNeeded reports whether other instances need a crash from the store.
func (q *Quarantine) isNeeded(c Crash) bool {
	e := q.existing(c.Scope)
	if _, held := e.held(c.Parts, q.now()); held {
		return true
	}
	return q.stored.unreached && !e.clearedSince(c)
}

// tryStore writes a message to the store, several times if that fails.
func (q *Quarantine) tryStore(ctx context.Context, m *Exchange) error {
	value, err := proto.Marshal(m)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot encode the crashes")
	}
	for attempt := 1; ; attempt++ {
		if err = q.store(ctx, value, storeLife); err == nil || attempt == storeAttempts || ctx.Err() != nil {
			return err
		}
		sleep.For(ctx, storeRetryDelay)
	}
}

// ApplyStored applies the crashes that another instance has written to the store, and sends what
// is new to the members of the own domain, of which only one reads the store. The error has kind
// BadText.
func (q *Quarantine) ApplyStored(from ident.InstanceID, value []byte) error {
	m := &Exchange{}
	if err := proto.Unmarshal(value, m); err != nil {
		return fault.Wrap(err, fault.BadText, "cannot decode the crashes that %.200q has written", from)
	}
	if from != q.self {
		q.apply(from, m, toDomain)
	}
	return nil
}
