package budget

import (
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Names of the methods between instances.
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

// message returns the wire form of a.
func (a Aged) message() *AgedInterval {
	return &AgedInterval{
		OldestNs:        a.Oldest.Nanoseconds(),
		NewestNs:        a.Newest.Nanoseconds(),
		TokensPerSecond: float64(a.Rate),
	}
}

// agedFrom decodes and checks the wire form of minted time.
func agedFrom(m *AgedInterval) (Aged, error) {
	a := Aged{
		Oldest: time.Duration(m.GetOldestNs()),
		Newest: time.Duration(m.GetNewestNs()),
		Rate:   ident.TokensPerSecond(m.GetTokensPerSecond()),
	}
	ordered := 0 <= a.Newest && a.Newest <= a.Oldest && a.Oldest <= maxMintedTime
	if !ordered || !(a.Rate > 0) {
		return Aged{}, fault.New(fault.BadRequest, "malformed minted time: ages %v to %v, rate %v", a.Oldest, a.Newest, a.Rate)
	}
	return a, nil
}

// stock returns the wire form of tokens that leave at now.
func stock(org ident.OrganisationID, now Instant, intervals []Interval) *Stock {
	s := &Stock{Organisation: string(org)}
	for _, iv := range intervals {
		if !iv.empty() {
			s.Intervals = append(s.Intervals, iv.aged(now).message())
		}
	}
	return s
}

// intervalsFrom decodes tokens that arrived. asked is the receiver's time
// before the tokens can have left.
func intervalsFrom(s *Stock, asked Instant) ([]Interval, error) {
	list := make([]Interval, 0, len(s.GetIntervals()))
	for _, m := range s.GetIntervals() {
		a, err := agedFrom(m)
		if err != nil {
			return nil, err
		}
		list = append(list, a.at(asked))
	}
	return list, nil
}
