package placement

import (
	"sync"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Lease is a placed attempt: the engines that it may use until Close.
type Lease struct {
	ID         LeaseID // Also the request id of the attempt at the engines.
	Domain     ident.DomainID
	Prefill    text.Engine
	Decode     text.Engine
	FirstToken time.Time // Predicted; zero when the policy predicts nothing.

	placement *Placement
	held      Held
	outbox    *outbox // Nil under a policy without a dispatcher.

	mu     sync.Mutex
	phase  Phase
	closed bool
}

// PrefillDone says that the prefill engine has answered. It does not wait.
func (l *Lease) PrefillDone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.phase != Prefilling {
		return
	}
	l.phase = Decoding
	if l.outbox != nil {
		l.outbox.put(&Event{Lease: string(l.ID), PrefillDone: true})
	}
}

// Close ends the lease. It does not wait: the dispatcher is told until it
// acknowledges. Later calls have no effect.
func (l *Lease) Close(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	l.placement.forget(l.ID)
	if l.outbox != nil {
		l.outbox.put(&Event{Lease: string(l.ID), Result: int32(o.Result), OutputTokens: int64(o.OutputTokens)})
	}
}

// snapshot returns what a new dispatcher has to know of the lease, and false
// when the lease has ended.
func (l *Lease) snapshot() (Held, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held
	h.Phase = l.phase
	return h, !l.closed
}
