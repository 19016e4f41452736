package engineload

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/reporting"
)

// Names of the methods that instances call on each other.
const (
	MethodReport   = "EngineLoad.Report"
	MethodExchange = "EngineLoad.Exchange"
)

// collectorKey is the key whose owner in a domain, by rendezvous hashing, is the domain's
// collector.
const collectorKey = "engine load"

// errIncomplete is the error of a receiver that lacks earlier reports after it has got all.
var errIncomplete = fault.New(fault.PeerUnavailable, "the collector has not recorded a complete report")

// Run sends a report at each reportInterval until ctx ends.
func (r *Reports) Run(ctx context.Context) { r.newReporter().Run(ctx) }

// newReporter returns the periodic calls that report and exchange loads.
func (r *Reports) newReporter() *reporting.Reporter {
	return &reporting.Reporter{
		View: r.view, CollectorKey: collectorKey, Interval: reportInterval, CallTimeout: callTimeout,
		Report: r.reportTo, Exchange: r.exchangeWith, Log: r.log,
	}
}

// reportTo reports this instance's load to the collector of its domain, and applies the load of
// the others to the engines. Without engines to report it does nothing.
func (r *Reports) reportTo(ctx context.Context, collector ident.InstanceID) error {
	if len(r.engines()) == 0 {
		r.own.reset("")
		return nil
	}
	if r.own.collector != collector {
		r.own.reset(collector)
	}
	sentAt := r.now()
	reply, err := r.sendReport(ctx, collector, sentAt)
	if err == nil && reply.GetResend() {
		r.own.reset(collector)
		reply, err = r.sendReport(ctx, collector, sentAt)
	}
	if err == nil && reply.GetResend() {
		err = errIncomplete
	}
	if err != nil {
		r.own.reset("")
		return err
	}
	r.applyOthers(sentAt)
	return nil
}

// sendReport sends what has changed since the collector's last reply, and records the reply.
func (r *Reports) sendReport(ctx context.Context, collector ident.InstanceID, sentAt time.Time) (*ReportReply, error) {
	changes := r.own.changes(r.ownLoads())
	report, reply := &Report{Reply: r.own.reply, Loads: message(changes)}, &ReportReply{}
	if err := r.call(ctx, collector, MethodReport, report, reply); err != nil || reply.GetResend() {
		return reply, err
	}
	others, err := r.decode(collector, reply.GetOthers())
	if err != nil {
		return nil, err
	}
	r.others.apply(others, report.GetReply() == 0, sentAt)
	r.own.acknowledge(reply.GetSequence(), changes)
	return reply, nil
}

// applyOthers sets what the other instances report at the engines.
func (r *Reports) applyOthers(sentAt time.Time) {
	for _, e := range r.engines() {
		e.SetOthers(r.others.at(e.ID).report(), sentAt.Add(-reportInterval), sentAt.Add(reportTTL))
	}
}

// decode returns the values in a message of another instance, and logs invalid ones.
func (r *Reports) decode(from ident.InstanceID, m *Loads) ([]engineValues, error) {
	list, err := fromMessage(m)
	if err != nil {
		_ = level.Warn(r.log).Log("msg", event.PeerRecordIgnored, "from", string(from), "record", "engine loads", "err", err)
	}
	return list, err
}

// exchangeState is what the collector of another domain has of the load of this domain.
type exchangeState struct {
	collector ident.InstanceID
	reply     int64 // Sequence of its last reply; 0 if there is none.
	sweep     sweep
	resets    int // Number of resets of the sums when the state began.
	nextAt    time.Time
}

// restart forgets what the other collector has.
func (s *exchangeState) restart() { s.reply, s.sweep = 0, sweep{} }

// exchangeWith sends the changes of this domain's load to the collector of another domain, unless
// the last exchange was less than exchangeInterval ago or there are no engines to report.
func (r *Reports) exchangeWith(ctx context.Context, domain ident.DomainID, other ident.InstanceID) error {
	if len(r.engines()) == 0 {
		return nil
	}
	state, due := r.exchangeState(domain, other)
	if !due {
		return nil
	}
	resend, err := r.sendExchange(ctx, state)
	if err == nil && resend {
		state.restart()
		resend, err = r.sendExchange(ctx, state)
	}
	if err == nil && resend {
		err = errIncomplete
	}
	if err != nil {
		state.restart()
	}
	return err
}

// exchangeState returns the state of the exchange with a domain, which only the caller uses
// until its return, and whether the next exchange is due.
func (r *Reports) exchangeState(domain ident.DomainID, other ident.InstanceID) (state *exchangeState, due bool) {
	now, resets := r.now(), r.collector.resetCount()
	r.mu.Lock()
	defer r.mu.Unlock()
	state = r.exchanges[domain]
	if state == nil || state.collector != other || state.resets != resets {
		state = &exchangeState{collector: other, resets: resets}
		r.exchanges[domain] = state
	}
	if now.Before(state.nextAt) {
		return state, false
	}
	state.nextAt = now.Add(exchangeInterval - reportInterval/2) // Reports do not come at exact intervals.
	return state, true
}

// sendExchange sends the next changes of this domain's load, and reports whether the receiver
// lacks the earlier ones.
func (r *Reports) sendExchange(ctx context.Context, state *exchangeState) (resend bool, err error) {
	e := &Exchange{Domain: string(r.view().Self.Domain), Reply: state.reply, Loads: message(r.collector.domainChanges(&state.sweep))}
	reply := &ExchangeReply{}
	if err := r.call(ctx, state.collector, MethodExchange, e, reply); err != nil || reply.GetResend() {
		return true, err
	}
	state.reply = reply.GetSequence()
	return false, nil
}

// ServeReport records the report of a member, and answers with the load of all other instances.
func (r *Reports) ServeReport(_ context.Context, from ident.InstanceID, m *Report) (proto.Message, error) {
	list, err := r.decode(from, m.GetLoads())
	if err != nil {
		return nil, err
	}
	sequence, others, ok := r.collector.recordMember(from, m.GetReply(), list)
	return &ReportReply{Sequence: sequence, Resend: !ok, Others: message(others)}, nil
}

// ServeExchange records the load of another domain.
func (r *Reports) ServeExchange(_ context.Context, from ident.InstanceID, m *Exchange) (proto.Message, error) {
	list, err := r.decode(from, m.GetLoads())
	if err != nil {
		return nil, err
	}
	domain, v := ident.DomainID(m.GetDomain()), r.view()
	if member, ok := v.Member(from); ok && member.Domain != domain || domain == v.Self.Domain {
		return nil, fault.New(fault.BadRequest, "instance %.80q does not report for domain %.80q", string(from), string(domain))
	}
	sequence, ok := r.collector.recordDomain(from, domain, m.GetReply(), list)
	return &ExchangeReply{Sequence: sequence, Resend: !ok}, nil
}
