package quarantine

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/sleep"
)

const (
	// storeLife is how long crashes stay in the store, so that instances which can't be reached
	// for now learn of them.
	storeLife = time.Minute
	// storeAttempts is how often a write to the store is tried.
	storeAttempts = 3
	// storeRetryDelay is the pause before it is tried again.
	storeRetryDelay = 300 * time.Millisecond
)

// writeStore writes the crashes that this instance has reported to the store.
func (q *Quarantine) writeStore(ctx context.Context) {
	if q.store == nil {
		return
	}
	own := q.matching(func(c Crash) bool { return c.Reporter == q.self })
	err := q.tryStore(ctx, q.encode(own))
	if err != nil {
		_ = level.Info(q.log).Log("msg", event.CrashesNotStored, "crashes", len(own.crashes), "err", err)
	}
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
		q.apply(from, m, toDomain, true)
	}
	return nil
}
