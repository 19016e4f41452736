package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
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

// storeState is what this instance has written to the store. It is used by Run only.
type storeState struct {
	unreached bool      // A domain could not be reached when evidence was last sent.
	written   []crashID // Sorted as crashes are.
}

// updateStore writes the crashes to the store that this instance has reported and that others
// need: those for which a part is held, so that the hold outlives a restart of all instances,
// and all that are not cleared while a domain can't be reached. It writes only changes.
func (q *Quarantine) updateStore(ctx context.Context) {
	if q.store == nil {
		return
	}
	own := q.matching(func(c Crash) bool { return c.Reporter == q.self })
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
