package placement

import (
	"sync"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Lease is a placed attempt on the instance that runs it: the attempt may use the
// reserved engines until Close.
type Lease struct {
	ID         LeaseID // Also the request id of the attempt in engine calls.
	Domain     ident.DomainID
	Prefill    text.Engine
	Decode     text.Engine
	FirstToken time.Time // Predicted time; zero if the policy makes no predictions.

	placement *Placement
	record    LeaseRecord
	outbox    *outbox // Nil if the policy has no dispatcher.

	mu     sync.Mutex
	phase  Phase
	closed bool
}

// PrefillDone reports to the dispatcher that the prefill engine has answered. It
// does not block.
func (l *Lease) PrefillDone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.phase != Prefilling {
		return
	}
	l.phase = Decoding
	if l.outbox != nil {
		l.outbox.enqueue(&Event{Lease: string(l.ID), PrefillDone: true})
	}
}

// Close ends the lease. It does not block: the event is sent in the background
// until the dispatcher acknowledges it. Later calls have no effect.
func (l *Lease) Close(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	l.placement.removeLease(l.ID)
	if l.outbox != nil {
		l.outbox.enqueue(&Event{Lease: string(l.ID), Result: int32(o.Result), OutputTokens: int64(o.OutputTokens)})
	}
}

// openRecord returns the record from which a new dispatcher restores the lease,
// and whether the lease is still open.
func (l *Lease) openRecord() (LeaseRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.record
	h.Phase = l.phase
	return h, !l.closed
}
