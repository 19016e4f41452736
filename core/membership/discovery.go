package membership

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/ident"
	"monsoonfork/core/sleep"
)

// discoveryLoop discovers instances that are not in the table: at the first peers of the
// settings, at registered addresses, and through the platform's instance list.
func (s *Service) discoveryLoop() {
	for round := 0; ; round++ {
		s.fetchUnknownViews(*s.firstPeers.Load())
		if f := s.registeredAddresses.Load(); f != nil {
			s.fetchUnknownViews((*f)())
		}
		if round < joinRounds || round%viewReadEvery == 0 {
			s.fetchNextView()
		}
		if round%listReadEvery == 0 && s.isListReader() {
			s.fetchUnknownViews(s.readInstanceList(s.listedAddresses))
		}
		sleep.For(s.ctx, s.discoveryPause(round))
		if s.ctx.Err() != nil {
			return
		}
	}
}

// discoveryPause returns the time from a round of discovery to the next one. It is short after a
// start, until another instance is found: instances that start together find the first peers not
// yet listening.
func (s *Service) discoveryPause(round int) time.Duration {
	if alone := len(s.Table.View().members) == 1; alone && round < firstRounds {
		return firstRoundInterval
	}
	return discoveryInterval
}

// fetchNextView fetches the view of a live member of another domain, round robin. Heartbeats go
// to one member of each other domain and carry no members of others, so that without it two
// parts of this domain that joined at the same time, through different members, would not
// discover each other.
func (s *Service) fetchNextView() {
	v := s.Table.View()
	var others []Member
	for _, m := range v.Members() {
		if m.Domain != v.Self.Domain && m.State == Live {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, discoveryInterval)
	defer cancel()
	// Another member is asked in a later round if this one does not answer.
	s.viewCursor++
	_ = s.fetchView(ctx, others[s.viewCursor%len(others)].PeerAddress)
}

// isListReader reports whether this daemon reads the instance list. Only listReaders
// members of each domain do, so that the number of calls does not grow with the fleet.
func (s *Service) isListReader() bool {
	if s.listedAddresses == nil {
		return false
	}
	v := s.Table.View()
	ranked := v.Ranked(v.Self.Domain, "instance-list")
	for _, m := range ranked[:min(listReaders, len(ranked))] {
		if m.ID == v.Self.ID {
			return true
		}
	}
	return false
}

// readInstanceList returns the peer addresses of the live instances in the list.
func (s *Service) readInstanceList(listed InstanceList) []ident.Address {
	addresses, err := listed(s.ctx)
	if err != nil {
		_ = level.Debug(s.log).Log("msg", event.InstanceListUnavailable, "err", err)
	}
	return addresses
}

// fetchUnknownViews fetches the views at those addresses that belong to no member of the
// table.
func (s *Service) fetchUnknownViews(addresses []ident.Address) {
	known := make(map[ident.Address]bool)
	for _, m := range s.Table.View().members {
		if m.State != Gone {
			known[m.PeerAddress] = true
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, discoveryInterval)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range addresses {
		if !known[address] {
			// An address that does not answer must not delay the others.
			wg.Go(func() { _ = s.fetchView(ctx, address) })
		}
	}
	wg.Wait()
}
