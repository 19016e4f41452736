package staging

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// changeTime is how long an engine is spared that is about to change its stage, unless
// the list says before that it has. It ends its streams first, which takes seconds, and
// refuses work all the while, though it still grants reservations.
const changeTime = 18 * time.Second

// Notice says which engines are about to change their stages. It is written with the
// right to give the orders.
type Notice struct {
	Holder  ident.InstanceID
	Changes []Change
}

// Change is one engine of a notice.
type Change struct {
	Engine ident.EndpointID
	To     engines.Stage
}

// notice returns the notice of moves.
func notice(holder ident.InstanceID, moves []Move) Notice {
	n := Notice{Holder: holder}
	for _, m := range moves {
		n.Changes = append(n.Changes, Change{m.Engine.ID, m.To})
	}
	return n
}

// Board holds the newest notice and marks its engines.
type Board struct {
	Spare func(id ident.EndpointID, to engines.Stage, until time.Time)
	Now   func() time.Time

	mu       sync.Mutex
	raw      []byte
	revision int64
}

// Put takes a notice of a revision of the store. Older ones are dropped. The error has
// kind BadText.
func (b *Board) Put(raw []byte, revision int64) error {
	b.mu.Lock()
	if revision <= b.revision {
		b.mu.Unlock()
		return nil
	}
	b.raw, b.revision = raw, revision
	b.mu.Unlock()
	var n Notice
	if err := json.Unmarshal(raw, &n); err != nil {
		return fault.Wrap(err, fault.BadText, "a notice of changes of stage can't be read")
	}
	until := b.Now().Add(changeTime)
	for _, c := range n.Changes {
		b.Spare(c.Engine, c.To, until)
	}
	return nil
}

// Newest returns the newest notice and its revision; 0 if there was none.
func (b *Board) Newest() ([]byte, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.raw, b.revision
}

// Acquirer takes the right to give orders for a time, and publishes the notice with it.
// The number grows with each holder.
type Acquirer func(ctx context.Context, ttl time.Duration, n Notice) (ident.Epoch, error)
