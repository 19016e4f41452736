package budget

import (
	"sort"
	"time"

	"monsoonfork/core/ident"
)

// Dump is the state of the role for operators.
type Dump struct {
	Slots    []SlotDump
	Accounts []AccountDump
}

// SlotDump is one minting slot of the domain as this instance knows it.
type SlotDump struct {
	Slot        int
	Holder      ident.InstanceID
	Epoch       ident.Epoch
	Held        bool      // Whether this instance holds it.
	Minting     bool      // Whether it may mint now.
	StoreLease  time.Time // Until when the store has renewed it; only if held.
	MemberLease time.Time // Until when all members have promised it; only if held.
}

// AccountDump is one organisation whose home is here.
type AccountDump struct {
	Organisation     ident.OrganisationID
	Tokens           ident.Tokens // In the pool.
	Waiting          ident.Tokens // Wanted by requests that wait.
	Segments         int
	OpenReservations int
}

// Dump returns the state of the role.
func (b *Budget) Dump() Dump {
	return Dump{Slots: b.keeper.dump(), Accounts: b.home.dump()}
}

// dump returns what is known of the domain's slots, by number.
func (k *keeper) dump() []SlotDump {
	now := k.b.clock.Now()
	at := func(t Instant) time.Time { return now.Wall.Add(t.Sub(now.Age)) }
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []SlotDump
	for number, s := range k.sightings {
		d := SlotDump{Slot: number, Holder: s.holder, Epoch: s.epoch}
		if h, ok := k.held[number]; ok {
			d.Held = true
			d.Minting = h.announced && h.tenure.right(now.Age)
			d.StoreLease = at(h.tenure.renewedUntil)
			d.MemberLease = at(h.tenure.vouchedUntil)
		}
		list = append(list, d)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Slot < list[j].Slot })
	return list
}

// dump returns the accounts, by name.
func (h *home) dump() []AccountDump {
	var list []AccountDump
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		open := make(map[ident.OrganisationID]int)
		for _, res := range s.reservations.open {
			open[res.org]++
		}
		for org, a := range s.accounts {
			list = append(list, AccountDump{
				Organisation:     org,
				Tokens:           ident.Tokens(a.pool.Amount()),
				Waiting:          ident.Tokens(a.demand),
				Segments:         len(a.pool.segments),
				OpenReservations: open[org],
			})
		}
		s.mu.Unlock()
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Organisation < list[j].Organisation })
	return list
}
