package budget

import (
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Names of the methods called between instances.
const (
	methodAdmit    = "Budget.Admit"
	methodSettle   = "Budget.Settle"
	methodTake     = "Budget.Take"
	methodSpare    = "Budget.Spare"
	methodOffer    = "Budget.Offer"
	methodPull     = "Budget.Pull"
	methodAnnounce = "Budget.Announce"
	methodRenew    = "Budget.Renew"
	methodReleased = "Budget.Released"
)

// toProto returns the protobuf form of a.
func (a IntervalAges) toProto() *AgedInterval {
	return &AgedInterval{
		OldestNs:        a.Oldest.Nanoseconds(),
		NewestNs:        a.Newest.Nanoseconds(),
		TokensPerSecond: float64(a.Rate),
	}
}

// maxIntervalRate bounds the rate of a received interval, so that sums of tokens are finite.
const maxIntervalRate = 1e12

// decodeAges decodes and validates the protobuf form of an interval.
func decodeAges(m *AgedInterval) (IntervalAges, error) {
	a := IntervalAges{
		Oldest: time.Duration(m.GetOldestNs()),
		Newest: time.Duration(m.GetNewestNs()),
		Rate:   ident.TokensPerSecond(m.GetTokensPerSecond()),
	}
	ordered := 0 <= a.Newest && a.Newest <= a.Oldest && a.Oldest <= maxIntervalLength
	if !ordered || !(a.Rate > 0 && a.Rate <= maxIntervalRate) {
		return IntervalAges{}, fault.New(fault.BadRequest, "malformed token interval: ages %v to %v, rate %v", a.Oldest, a.Newest, a.Rate)
	}
	return a, nil
}

// encodeStock returns the protobuf form of tokens that are sent at now.
func encodeStock(org ident.OrganisationID, now Instant, intervals []Interval) *Stock {
	s := &Stock{Organisation: string(org)}
	for _, iv := range intervals {
		if !iv.empty() {
			s.Intervals = append(s.Intervals, iv.ages(now).toProto())
		}
	}
	return s
}

// decodeStock decodes the tokens received from an instance, without those that are out of range.
// sentAt is the receiver's time before it sent the request, so before the tokens can have been
// sent.
func (b *Budget) decodeStock(from ident.InstanceID, s *Stock, sentAt Instant) []Interval {
	list := make([]Interval, 0, len(s.GetIntervals()))
	for _, m := range s.GetIntervals() {
		a, err := decodeAges(m)
		if err != nil {
			_ = level.Warn(b.log).Log("msg", event.PeerRecordIgnored, "from", string(from), "record", "tokens", "err", err)
			continue
		}
		list = append(list, a.interval(sentAt))
	}
	return list
}
