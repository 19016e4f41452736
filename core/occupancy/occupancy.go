// Package occupancy tells an instance what the others have at the engines.
package occupancy

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/collect"
	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// Names of the methods that instances call.
const (
	MethodReport   = "Occupancy.Report"
	MethodExchange = "Occupancy.Exchange"
)

const (
	// ownerKey is what the owner of, by rendezvous hashing, collects for its domain.
	ownerKey = "occupancy"
	// reportEvery is the time between two reports. A prompt is read in about this
	// time, a stream takes seconds.
	reportEvery = 150 * time.Millisecond
	// unheardAfter is how long what was told last counts.
	unheardAfter = 800 * time.Millisecond
	// callTime bounds one report.
	callTime = 300 * time.Millisecond
)

// Caller calls a method of another instance, or of this one.
type Caller func(ctx context.Context, to ident.InstanceID, method string, req, resp proto.Message) error

// Occupancy keeps the loads of a table of engines up to date.
type Occupancy struct {
	table     *engines.Table
	view      func() *membership.View
	call      Caller
	log       log.Logger
	now       func() time.Time
	collector *collector
}

// New returns the occupancy of the engines of a table.
func New(table *engines.Table, view func() *membership.View, call Caller, logger log.Logger, now func() time.Time) *Occupancy {
	return &Occupancy{
		table: table, view: view, call: call, now: now,
		log:       log.With(logger, "part", "Occupancy"),
		collector: newCollector(now),
	}
}

// Run reports until ctx ends.
func (o *Occupancy) Run(ctx context.Context) { o.rounds().Run(ctx) }

// rounds returns the rounds of reports.
func (o *Occupancy) rounds() *collect.Rounds {
	return &collect.Rounds{
		View: o.view, Key: ownerKey, Every: reportEvery, CallTime: callTime,
		Report: o.report, Exchange: o.exchange, Log: o.log,
	}
}

// report tells the collector what this instance has at engines, and takes over what
// the others have.
func (o *Occupancy) report(ctx context.Context, to ident.InstanceID) error {
	own := make(loads)
	all := o.table.All()
	for _, e := range all {
		if l := e.Load(); l.Memory > 0 || l.Prefill > 0 {
			own[e.ID] = l
		}
	}
	reply := &ReportReply{}
	if err := o.call(ctx, to, MethodReport, &Report{Own: records(own)}, reply); err != nil {
		return err
	}
	o.heard(all, reply)
	return nil
}

// heard takes over a collector's reply. Of an engine in another domain the mean of
// its pool is known.
func (o *Occupancy) heard(all []*engines.Engine, r *ReportReply) {
	near := fromRecords(r.GetNear())
	far := make(map[ident.DomainID]map[ident.ServiceID]*PoolLoad)
	for _, d := range r.GetFar() {
		pools := make(map[ident.ServiceID]*PoolLoad)
		for _, p := range d.GetPools() {
			pools[ident.ServiceID(p.GetService())] = p
		}
		far[ident.DomainID(d.GetDomain())] = pools
	}
	own, now := o.view().Self.Domain, o.now()
	for _, e := range all {
		if e.Domain == own {
			e.SetOthers(near[e.ID], now)
			continue
		}
		if p := far[e.Domain][e.Service]; p != nil {
			e.SetOthers(engines.Load{Memory: ident.Tokens(p.GetMemory()), Prefill: ident.Tokens(p.GetPrefill())}, now)
		}
	}
}

// exchange tells the collector of another domain.
func (o *Occupancy) exchange(ctx context.Context, domain ident.DomainID, to ident.InstanceID) error {
	reply := &ExchangeReply{}
	if err := o.call(ctx, to, MethodExchange, o.tell(domain), reply); err != nil {
		return err
	}
	o.take(reply.GetExchange())
	return nil
}

// tell returns what the collector of another domain is told.
func (o *Occupancy) tell(domain ident.DomainID) *Exchange {
	own := o.view().Self.Domain
	return &Exchange{
		Own:   &DomainLoad{Domain: string(own), Pools: o.pools(own)},
		There: records(o.collector.here(o.isIn(domain))),
	}
}

// take takes over what another domain's collector tells.
func (o *Occupancy) take(e *Exchange) {
	o.collector.takeDomain(ident.DomainID(e.GetOwn().GetDomain()), fromRecords(e.GetThere()), e.GetOwn().GetPools())
}

// isIn returns whether an engine is in a domain.
func (o *Occupancy) isIn(domain ident.DomainID) func(ident.EndpointID) bool {
	in := make(map[ident.EndpointID]bool)
	for _, e := range o.table.All() {
		in[e.ID] = e.Domain == domain
	}
	return func(id ident.EndpointID) bool { return in[id] }
}

// pool adds up the engines of a service.
type pool struct {
	decode, prefill int // Engines.
	sum             engines.Load
}

// pools returns the means of the own domain's engines.
func (o *Occupancy) pools(own ident.DomainID) []*PoolLoad {
	known := o.collector.others("", o.isIn(own))
	byService := make(map[ident.ServiceID]*pool)
	for _, e := range o.table.All() {
		if e.Domain != own || !e.Usable() {
			continue
		}
		p := byService[e.Service]
		if p == nil {
			p = &pool{}
			byService[e.Service] = p
		}
		switch e.StageNow() {
		case engines.Decode:
			p.decode++
			p.sum.Memory += known[e.ID].Memory
		case engines.Prefill:
			p.prefill++
			p.sum.Prefill += known[e.ID].Prefill
		case engines.AnyStage:
		}
	}
	var list []*PoolLoad
	for service, p := range byService {
		if p.decode+p.prefill > 0 {
			list = append(list, &PoolLoad{
				Service: string(service),
				Memory:  float64(p.sum.Memory) / float64(max(1, p.decode)),
				Prefill: float64(p.sum.Prefill) / float64(max(1, p.prefill)),
			})
		}
	}
	return list
}

// ServeReport answers a member's report.
func (o *Occupancy) ServeReport(_ context.Context, from ident.InstanceID, r *Report) (proto.Message, error) {
	o.collector.takeMember(from, fromRecords(r.GetOwn()))
	near := o.collector.others(from, o.isIn(o.view().Self.Domain))
	return &ReportReply{Near: records(near), Far: o.collector.far()}, nil
}

// ServeExchange answers the collector of another domain.
func (o *Occupancy) ServeExchange(_ context.Context, _ ident.InstanceID, e *Exchange) (proto.Message, error) {
	o.take(e)
	return &ExchangeReply{Exchange: o.tell(ident.DomainID(e.GetOwn().GetDomain()))}, nil
}

// records returns loads as messages.
func records(l loads) []*EngineLoad {
	list := make([]*EngineLoad, 0, len(l))
	for id, load := range l {
		list = append(list, &EngineLoad{Engine: string(id), Memory: int64(load.Memory), Prefill: int64(load.Prefill)})
	}
	return list
}

// fromRecords returns the loads of messages.
func fromRecords(list []*EngineLoad) loads {
	l := make(loads, len(list))
	for _, e := range list {
		l.add(ident.EndpointID(e.GetEngine()), engines.Load{Memory: ident.Tokens(e.GetMemory()), Prefill: ident.Tokens(e.GetPrefill())})
	}
	return l
}
