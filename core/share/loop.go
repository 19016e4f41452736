package share

import (
	"context"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/collect"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// Names of the methods that instances call.
const (
	MethodReport   = "Share.Report"
	MethodExchange = "Share.Exchange"
)

// ownerKey is what the owner of, by rendezvous hashing, collects for its domain.
const ownerKey = "share"

// Run reports until ctx ends.
func (s *Shares) Run(ctx context.Context) { s.rounds().Run(ctx) }

// rounds returns the rounds of reports.
func (s *Shares) rounds() *collect.Rounds {
	return &collect.Rounds{
		View: s.view, Key: ownerKey, Every: reportEvery, CallTime: callTime,
		Report: s.reportTo, Exchange: s.exchangeWith, Log: s.log,
	}
}

// reportTo reports to the collector of the domain.
func (s *Shares) reportTo(ctx context.Context, collector ident.InstanceID) error {
	reply := &ReportReply{}
	if err := s.call(ctx, collector, MethodReport, &Report{Admitted: s.report()}, reply); err != nil {
		return err
	}
	s.heard(collector, reply)
	return nil
}

// exchangeWith tells the collector of another domain. One that does not answer
// keeps its domain's part: see part.
func (s *Shares) exchangeWith(ctx context.Context, _ ident.DomainID, other ident.InstanceID) error {
	reply := &ExchangeReply{}
	if err := s.call(ctx, other, MethodExchange, s.exchange(s.view()), reply); err != nil {
		return err
	}
	s.take(other, reply.GetExchange())
	return nil
}

// exchange returns what this instance tells collectors of other domains.
func (s *Shares) exchange(v *membership.View) *Exchange {
	admitted, members := s.sums.ofDomain(v.Self.Domain)
	return &Exchange{Domain: string(v.Self.Domain), Admitted: admitted, Members: int64(members)}
}

// take takes over what another domain's collector tells.
func (s *Shares) take(from ident.InstanceID, e *Exchange) {
	s.sums.take(from, ident.DomainID(e.GetDomain()), int(e.GetMembers()), e.GetAdmitted())
}

// ServeReport answers a member's report.
func (s *Shares) ServeReport(_ context.Context, from ident.InstanceID, r *Report) (proto.Message, error) {
	v := s.view()
	s.sums.take(from, v.Self.Domain, 0, r.GetAdmitted())
	return &ReportReply{Others: s.sums.others(from), Part: s.sums.part(v.Self.Domain, Expected(v, s.listed()))}, nil
}

// ServeExchange answers the collector of another domain.
func (s *Shares) ServeExchange(_ context.Context, from ident.InstanceID, e *Exchange) (proto.Message, error) {
	s.take(from, e)
	return &ExchangeReply{Exchange: s.exchange(s.view())}, nil
}
