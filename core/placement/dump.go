package placement

import (
	"sort"
	"time"

	"monsoonfork/core/ident"
)

// EngineDump is the state of one engine at a dispatcher.
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

// QueueDump is the queue of one organisation.
type QueueDump struct {
	Organisation ident.OrganisationID
	Waiting      int
	Tokens       ident.Tokens
	Virtual      float64
}

// DispatcherDump is the state of a dispatcher.
type DispatcherDump struct {
	Domain   ident.DomainID
	Model    ident.ModelID
	Learning bool
	Leases   int
	Counts   map[string]int64
	Engines  []EngineDump
	Queues   []QueueDump
}

// Dump returns the state of the dispatcher.
func (d *Dispatcher) Dump() DispatcherDump {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counts
	dump := DispatcherDump{
		Domain: d.domain, Model: d.model.Name, Learning: d.learning, Leases: len(d.leases),
		Counts: map[string]int64{
			"Submitted": c.Submitted, "Granted": c.Granted, "Refused": c.Refused,
			"Cancelled": c.Cancelled, "Elsewhere": c.Elsewhere, "Closed": c.Closed, "Returned": c.Returned,
		},
	}
	for _, list := range [][]*engineState{d.prefills, d.decodes} {
		for _, e := range list {
			dump.Engines = append(dump.Engines, EngineDump{
				Name: e.Name, Role: e.Role.String(), Slots: e.Slots, ReservedSlots: e.slots,
				Pieces: e.MemoryPieces, ReservedPieces: e.pieces, ForeignSlots: e.foreign.slots,
				Slowdown: e.prefills.slowdown, AvoidedUntil: e.breaker.until,
			})
		}
	}
	for _, f := range d.queue.order() {
		dump.Queues = append(dump.Queues, QueueDump{f.organisation, len(f.requests), f.tokens, f.virtual})
	}
	return dump
}

// ServiceDump is the state of placement in a daemon.
type ServiceDump struct {
	OpenLeases    int
	PendingEvents int
	Dispatchers   []DispatcherDump
}

// Dump returns the state of placement.
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
