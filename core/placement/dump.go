package placement

import (
	"sort"
	"time"

	"monsoonfork/core/ident"
)

// EngineDump is the state of one engine in a dispatcher, for operators.
// ForeignSlots are slots used by work that the dispatcher did not place;
// AvoidedUntil is the end of the circuit breaker's open period.
type EngineDump struct {
	Name           ident.EndpointID
	Role           string
	Slots          int
	ReservedSlots  int
	Pieces         ident.Pieces
	ReservedPieces ident.Pieces
	ForeignSlots   int
	Slowdown       float64
	AvoidedUntil   time.Time
}

// QueueDump is the queue of one organisation. Virtual is its virtual time in
// start-time fair queueing.
type QueueDump struct {
	Organisation ident.OrganisationID
	Waiting      int
	Tokens       ident.Tokens
	Virtual      float64
}

// DispatcherDump is the state of a dispatcher. Recovering is set while it recovers
// the leases granted by its predecessor.
type DispatcherDump struct {
	Domain     ident.DomainID
	Model      ident.ModelID
	Recovering bool `json:"Learning"`
	Leases     int
	Counts     map[string]int64
	Engines    []EngineDump
	Queues     []QueueDump
}

// Dump returns the state of the dispatcher for operators.
func (d *Dispatcher) Dump() DispatcherDump {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counts
	dump := DispatcherDump{
		Domain: d.domain, Model: d.model.Name, Recovering: d.recovering, Leases: len(d.leases),
		Counts: map[string]int64{
			"Submitted": c.Submitted, "Granted": c.Granted, "Refused": c.Refused,
			"Cancelled": c.Cancelled, "Elsewhere": c.Redirected, "Closed": c.Closed, "Returned": c.Ended,
		},
	}
	for _, list := range [][]*engineState{d.prefillEngines, d.decodeEngines} {
		for _, e := range list {
			dump.Engines = append(dump.Engines, EngineDump{
				Name: e.Name, Role: e.Role.String(), Slots: e.Slots, ReservedSlots: e.reservedSlots,
				Pieces: e.MemoryPieces, ReservedPieces: e.reservedPieces, ForeignSlots: e.foreign.slots,
				Slowdown: e.prefills.slowdown, AvoidedUntil: e.breaker.openUntil,
			})
		}
	}
	for _, f := range d.queue.flowsByVirtualTime() {
		dump.Queues = append(dump.Queues, QueueDump{f.organisation, len(f.requests), f.tokens, f.virtualTime})
	}
	return dump
}

// ServiceDump is the state of placement in one instance.
type ServiceDump struct {
	OpenLeases    int
	PendingEvents int
	Dispatchers   []DispatcherDump
}

// Dump returns the state of placement in this instance as a ServiceDump.
func (p *Placement) Dump() any {
	d := ServiceDump{OpenLeases: len(p.OpenLeases()), PendingEvents: p.pendingEvents()}
	p.mu.Lock()
	var running []*runner
	for _, r := range p.dispatchers {
		running = append(running, r)
	}
	p.mu.Unlock()
	sort.Slice(running, func(i, j int) bool { return running[i].key.model < running[j].key.model })
	for _, r := range running {
		d.Dispatchers = append(d.Dispatchers, r.Dump())
	}
	return d
}
