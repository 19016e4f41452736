package share

import (
	"context"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
	"monsoonfork/core/reporting"
)

// Names of the methods that instances call on each other.
const (
	MethodReport   = "Share.Report"
	MethodExchange = "Share.Exchange"
)

// collectorKey is the key whose owner in a domain, by rendezvous hashing, is the
// domain's collector.
const collectorKey = "share"

// maxDomainMembers bounds the live members that a collector may report, so that the sum over
// domains is a number of members.
const maxDomainMembers = 1_000_000

// Run sends a report at each reportInterval until ctx ends.
func (s *Shares) Run(ctx context.Context) { s.newReporter().Run(ctx) }

// newReporter returns the periodic calls that report and exchange usage.
func (s *Shares) newReporter() *reporting.Reporter {
	return &reporting.Reporter{
		View: s.view, CollectorKey: collectorKey, Interval: reportInterval, CallTimeout: callTimeout,
		Report: s.reportTo, Exchange: s.exchangeWith, Log: s.log,
	}
}

// reportTo reports this instance's usage to the collector of its domain.
func (s *Shares) reportTo(ctx context.Context, collector ident.InstanceID) error {
	sentAt, validUntil := s.now(), s.bootTime().Add(reportTTL)
	reply, err := s.sendReport(ctx, collector)
	if err == nil && reply.GetResend() {
		s.acknowledged.reset("")
		reply, err = s.sendReport(ctx, collector)
	}
	if err != nil {
		return err
	}
	if part := reply.GetPart(); !(part > 0 && part <= 1) { // Also if it is not a number.
		return fault.New(fault.PeerUnavailable, "the collector answered with a share of %v", part)
	}
	s.applyReply(collector, reply, sentAt, validUntil)
	s.pressure.SetOthers(s.readWaiting(collector, reply.GetWaiting()), sentAt.Add(waitingTTL))
	return nil
}

// sendReport reports what has changed since the collector's last reply, or everything if there is
// none.
func (s *Shares) sendReport(ctx context.Context, collector ident.InstanceID) (*ReportReply, error) {
	if s.acknowledged.collector != collector {
		s.acknowledged.reset(collector)
	}
	report, reply := s.acknowledged.report(s.ownTotals()), &ReportReply{}
	report.Waiting = waitingMessages(s.pressure.Own())
	if err := s.call(ctx, collector, MethodReport, report, reply); err != nil {
		s.acknowledged.reset("")
		return nil, err
	}
	if !reply.GetResend() {
		s.acknowledged.record(report, reply)
	}
	return reply, nil
}

// exchangeWith exchanges domain totals with the collector of another domain. If that
// collector does not answer, its domain's fraction of the rates stays set aside; see
// usableFraction.
func (s *Shares) exchangeWith(ctx context.Context, _ ident.DomainID, other ident.InstanceID) error {
	reply := &ExchangeReply{}
	if err := s.call(ctx, other, MethodExchange, s.newExchange(s.view()), reply); err != nil {
		return err
	}
	s.recordExchange(other, reply.GetExchange())
	return nil
}

// newExchange returns the totals of this domain, for collectors of other domains.
func (s *Shares) newExchange(v *membership.View) *Exchange {
	admitted, members := s.totals.domainTotal(v.Self.Domain)
	waiting := waitingMessages(s.totals.waitingIn(v.Self.Domain))
	return &Exchange{Domain: string(v.Self.Domain), Admitted: admitted, Members: int64(members), Waiting: waiting}
}

// recordExchange stores the totals that the collector of another domain sent, unless its
// number of members is out of range.
func (s *Shares) recordExchange(from ident.InstanceID, e *Exchange) {
	if n := e.GetMembers(); n < 0 || n > maxDomainMembers {
		_ = level.Warn(s.log).Log("msg", event.PeerRecordIgnored, "from", string(from), "record", "exchange", "err", fault.New(fault.BadRequest, "%d members of domain %.80q are not 0 to %d", n, e.GetDomain(), maxDomainMembers))
		return
	}
	s.totals.record(from, ident.DomainID(e.GetDomain()), int(e.GetMembers()), e.GetAdmitted())
	s.totals.recordWaiting(from, s.readWaiting(from, e.GetWaiting()))
}

// ServeReport records the report of a member and answers with the usage of all other
// instances.
func (s *Shares) ServeReport(_ context.Context, from ident.InstanceID, r *Report) (proto.Message, error) {
	if r.GetReply() > 0 && !s.totals.hasReplied(from) {
		return &ReportReply{Resend: true}, nil
	}
	v := s.view()
	s.totals.record(from, v.Self.Domain, 0, r.GetAdmitted())
	s.totals.recordWaiting(from, s.readWaiting(from, r.GetWaiting()))
	sequence, others := s.totals.reply(from, r.GetReply())
	part := s.totals.usableFraction(v.Self.Domain, ExpectedInstances(v, s.registered()))
	waiting := waitingMessages(s.totals.waitingExcept(from))
	return &ReportReply{Others: others, Part: part, Sequence: sequence, Waiting: waiting}, nil
}

// ServeExchange records the totals of another domain and answers with those of this
// domain.
func (s *Shares) ServeExchange(_ context.Context, from ident.InstanceID, e *Exchange) (proto.Message, error) {
	s.recordExchange(from, e)
	return &ExchangeReply{Exchange: s.newExchange(s.view())}, nil
}
