package membership

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/ident"
	"monsoonfork/io/instancelist"
)

// discoveryLoop looks for instances that are not known yet: at the first peers
// of the settings, in a register, and in the platform's instance list.
func (s *Service) discoveryLoop() {
	ticker := time.NewTicker(firstPeersInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		s.askUnknown(*s.firstPeers.Load())
		if f := s.registered.Load(); f != nil {
			s.askUnknown((*f)())
		}
		if round%listEvery == 0 && s.readsList() {
			s.askUnknown(s.listedAddresses(s.listed))
		}
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readsList reports whether this daemon reads the instance list: two of each
// domain do, so that the calls do not grow with the daemons.
func (s *Service) readsList() bool {
	if s.listed == nil {
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

// listedAddresses returns the peer addresses that a list shows as live.
func (s *Service) listedAddresses(listed func(context.Context) ([]instancelist.Instance, error)) []ident.Address {
	instances, err := listed(s.ctx)
	if err != nil {
		_ = level.Debug(s.log).Log("msg", event.InstanceList, "err", err)
	}
	var addresses []ident.Address
	for _, i := range instances {
		if i.State == instancelist.Live {
			addresses = append(addresses, i.PeerAddress)
		}
	}
	return addresses
}

// askUnknown asks the addresses that belong to no known member for their view.
func (s *Service) askUnknown(addresses []ident.Address) {
	known := make(map[ident.Address]bool)
	for _, m := range s.Table.View().Members() {
		if m.State != Gone {
			known[m.PeerAddress] = true
		}
	}
	for _, address := range addresses {
		if known[address] {
			continue
		}
		ctx, cancel := context.WithTimeout(s.ctx, firstPeersInterval)
		_ = s.learn(ctx, address)
		cancel()
	}
}
