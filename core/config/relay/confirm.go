package relay

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// confirmationInterval is the time between two checks of the confirmation's age.
// An older confirmation is requested again from the relays.
const confirmationInterval = time.Second

// maxConfirmationAge bounds the age of another instance's confirmation. A negative one, after
// a step of that instance's clock, would lie in the future.
const maxConfirmationAge = 365 * 24 * time.Hour

// recordConfirmation records that the store, in a call begun at requestedAt,
// returned no newer revision than this process has. Earlier times than the
// recorded one are ignored.
func (s *Service) recordConfirmation(requestedAt time.Time) {
	at := requestedAt.UnixMilli()
	for {
		old := s.confirmedUnixMS.Load()
		if at <= old || s.confirmedUnixMS.CompareAndSwap(old, at) {
			return
		}
	}
}

// LastConfirmed returns the time at which the store last confirmed the newest
// revision to this instance, directly or through another instance. It is zero
// before the first confirmation.
func (s *Service) LastConfirmed() time.Time {
	at := s.confirmedUnixMS.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.UnixMilli(at)
}

// confirmLoop requests confirmations from relays while the policy RefuseKeyed is
// set. It makes no calls otherwise, as no other policy uses confirmations.
func (s *Service) confirmLoop() {
	for s.sleep(confirmationInterval) {
		c := s.holder.Current()
		if c == nil || c.Text.Policy.CutOffKeys != text.RefuseKeyed {
			continue
		}
		if s.now().Sub(s.LastConfirmed()) > confirmationInterval {
			s.requestConfirmation()
		}
	}
}

// requestConfirmation requests the confirmation from the relays of all domains,
// its own domain first, until one returns a recent one.
func (s *Service) requestConfirmation() {
	v := s.table.View()
	domains := append([]ident.DomainID{v.Self.Domain}, v.Domains()...)
	for _, d := range domains {
		ranked := v.Ranked(d, relayRankKey)
		for _, m := range ranked[:min(relaysPerDomain, len(ranked))] {
			if m.ID != v.Self.ID && s.requestConfirmationFrom(m.ID) {
				return
			}
		}
	}
}

// requestConfirmationFrom requests the confirmation from one instance, and
// reports whether it is recent. The confirmation's time is taken from its age and
// the start of the call, so that clocks need not agree and the time is never
// later than the real one.
func (s *Service) requestConfirmationFrom(id ident.InstanceID) bool {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	requestedAt := s.now()
	reply := &ConfirmationReply{}
	if err := s.links.Call(ctx, id, methodConfirm, &ConfirmationRequest{}, reply); err != nil || !reply.GetKnown() {
		return false
	}
	ageMS := reply.GetAgeMs()
	if ageMS < 0 || ageMS > maxConfirmationAge.Milliseconds() {
		err := fault.New(fault.BadRequest, "the confirmation is %d ms old", ageMS)
		_ = level.Warn(s.log).Log("msg", event.PeerRecordIgnored, "from", string(id), "record", "confirmation", "err", err)
		return false
	}
	age := time.Duration(ageMS) * time.Millisecond
	s.recordConfirmation(requestedAt.Add(-age))
	return age <= 2*confirmationInterval
}

// serveConfirm returns the age of this instance's confirmation.
func (s *Service) serveConfirm(context.Context, ident.InstanceID, *ConfirmationRequest) (proto.Message, error) {
	at := s.LastConfirmed()
	if at.IsZero() {
		return &ConfirmationReply{}, nil
	}
	return &ConfirmationReply{Known: true, AgeMs: s.now().Sub(at).Milliseconds()}, nil
}
