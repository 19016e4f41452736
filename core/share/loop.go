package share

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/fault"
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

// Caller calls a method of another instance, or of this one.
type Caller func(ctx context.Context, to ident.InstanceID, method string, req, resp proto.Message) error

// Run reports until ctx ends.
func (s *Shares) Run(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	heard := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		v := s.view()
		owner, err := s.round(ctx, v)
		if now := err == nil; now != heard {
			heard = now
			_ = level.Info(s.log).Log("msg", "collector of rates", "collector", owner, "heard", heard, "err", err)
		}
	}
}

// round reports once to the collector of the domain. If this instance is it, it
// tells those of the other domains too.
func (s *Shares) round(ctx context.Context, v *membership.View) (collector ident.InstanceID, err error) {
	owner, ok := v.Owner(v.Self.Domain, ownerKey)
	if !ok {
		return "", fault.New(fault.PeerUnavailable, "no member collects for domain %s", v.Self.Domain)
	}
	if owner.ID == v.Self.ID {
		s.exchangeAll(ctx, v)
	}
	return owner.ID, s.reportTo(ctx, owner.ID)
}

// reportTo reports to the collector of the domain.
func (s *Shares) reportTo(ctx context.Context, collector ident.InstanceID) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	reply := &ReportReply{}
	if err := s.call(ctx, collector, MethodReport, &Report{Admitted: s.report()}, reply); err != nil {
		return err
	}
	s.heard(collector, reply)
	return nil
}

// exchangeAll tells the collectors of the other domains.
func (s *Shares) exchangeAll(ctx context.Context, v *membership.View) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var wg sync.WaitGroup
	for _, domain := range v.Domains() {
		other, ok := v.Owner(domain, ownerKey)
		if !ok || domain == v.Self.Domain {
			continue
		}
		wg.Go(func() {
			reply := &ExchangeReply{}
			// A collector that does not answer keeps its domain's part: see part.
			if err := s.call(ctx, other.ID, MethodExchange, s.exchange(v), reply); err != nil {
				_ = level.Debug(s.log).Log("msg", "no exchange of rates", "domain", domain, "err", err)
				return
			}
			s.take(other.ID, reply.GetExchange())
		})
	}
	wg.Wait()
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
