package quarantine

import (
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// recipients are the instances that evidence is sent to.
type recipients int

const (
	toAll    recipients = iota // The members of the own domain, and through one member the other domains.
	toDomain                   // The members of the own domain: the evidence came from another domain.
	toNobody                   // All have it, or get it from its sender.
	recipientsCount
)

// clearedPart is a part that was in an answered prompt.
type clearedPart struct {
	Scope
	Part ident.PartID
	At   time.Time
}

// batch is evidence to be sent.
type batch struct {
	crashes []Crash
	cleared []clearedPart
}

// isEmpty reports whether there is nothing to send.
func (b batch) isEmpty() bool { return len(b.crashes) == 0 && len(b.cleared) == 0 }

// outbox collects evidence that is to be sent.
type outbox struct {
	changed chan struct{} // Holds an element after the evidence has changed.

	mu      sync.Mutex
	pending [recipientsCount]batch
}

// newOutbox returns an empty outbox.
func newOutbox() outbox { return outbox{changed: make(chan struct{}, 1)} }

// maxPending bounds the crashes, and the cleared parts, that wait to be sent. What is dropped
// reaches the others by the periodic comparison.
const maxPending = 1024

// add adds evidence.
func (o *outbox) add(to recipients, b batch) {
	if to == toNobody || b.isEmpty() {
		return
	}
	o.mu.Lock()
	p := &o.pending[to]
	p.crashes = append(p.crashes, b.crashes...)
	p.cleared = append(p.cleared, b.cleared...)
	p.crashes = p.crashes[max(0, len(p.crashes)-maxPending):]
	p.cleared = p.cleared[max(0, len(p.cleared)-maxPending):]
	o.mu.Unlock()
	o.wake()
}

// wake makes Run send what is pending and update the store.
func (o *outbox) wake() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// take returns the evidence for some recipients and removes it.
func (o *outbox) take(to recipients) batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.pending[to]
	o.pending[to] = batch{}
	return b
}
