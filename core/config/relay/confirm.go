package relay

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// confirmInterval is the time between two looks at the confirmation.
const confirmInterval = time.Second

// confirm notes that the store, asked at that time, named no newer revision
// than this process has.
func (s *Service) confirm(asked time.Time) {
	at := asked.UnixMilli()
	for {
		old := s.confirmed.Load()
		if at <= old || s.confirmed.CompareAndSwap(old, at) {
			return
		}
	}
}

// Confirmed returns when the store last confirmed the newest revision, to this
// instance or to one that told it. It is zero before the first time.
func (s *Service) Confirmed() time.Time {
	at := s.confirmed.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.UnixMilli(at)
}

// confirmLoop asks relays for their confirmation. Only the policy RefuseKeyed
// needs it, so that it costs nothing otherwise.
func (s *Service) confirmLoop() {
	for s.sleep(confirmInterval) {
		c := s.holder.Current()
		if c == nil || c.Text.Policy.CutOffKeys != text.RefuseKeyed {
			continue
		}
		if s.now().Sub(s.Confirmed()) > confirmInterval {
			s.askConfirmation()
		}
	}
}

// askConfirmation asks the relays of all domains, the own one first, until one
// knows of a recent confirmation.
func (s *Service) askConfirmation() {
	v := s.table.View()
	domains := append([]ident.DomainID{v.Self.Domain}, v.Domains()...)
	for _, d := range domains {
		ranked := v.Ranked(d, relayKey)
		for _, m := range ranked[:min(relaysPerDomain, len(ranked))] {
			if m.ID != v.Self.ID && s.confirmedBy(m.ID) {
				return
			}
		}
	}
}

// confirmedBy asks one instance, and reports whether it had a recent
// confirmation.
func (s *Service) confirmedBy(id ident.InstanceID) bool {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	asked := s.now()
	reply := &ConfirmationReply{}
	if err := s.links.Call(ctx, id, methodConfirm, &ConfirmationRequest{}, reply); err != nil || !reply.GetKnown() {
		return false
	}
	age := time.Duration(reply.GetAgeMs()) * time.Millisecond
	s.confirm(asked.Add(-age))
	return age <= 2*confirmInterval
}

// serveConfirm tells the age of this instance's confirmation.
func (s *Service) serveConfirm(context.Context, ident.InstanceID, *ConfirmationRequest) (proto.Message, error) {
	at := s.Confirmed()
	if at.IsZero() {
		return &ConfirmationReply{}, nil
	}
	return &ConfirmationReply{Known: true, AgeMs: s.now().Sub(at).Milliseconds()}, nil
}
