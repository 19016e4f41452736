package budget

import (
	"sort"
	"time"

	"monsoonfork/core/ident"
)

// Dump is the state of the Budget role, shown to operators.
type Dump struct {
	Slots    []SlotDump
	Accounts []AccountDump
}

// SlotDump is one minting slot of the domain, as known to this instance.
type SlotDump struct {
	Slot        int
	Holder      ident.InstanceID
	Epoch       ident.Epoch
	Held        bool      // Whether this instance holds the slot.
	Minting     bool      // Whether this instance may mint the slot's tokens now.
	StoreLease  time.Time // End of the renewal in the store; only if held.
	MemberLease time.Time // End of the members' promises not to claim the slot; only if held.
}

// AccountDump is one organisation whose account is on this instance.
type AccountDump struct {
	Organisation     ident.OrganisationID
	Tokens           ident.Tokens // In the pool.
	Waiting          ident.Tokens // Cost of the requests that wait for tokens.
	Segments         int          // Intervals of minted time in the pool.
	OpenReservations int          // Not settled and not expired yet.
}

// Dump returns the state of the Budget role.
func (b *Budget) Dump() Dump {
	return Dump{Slots: b.slots.dump(), Accounts: b.accounts.dump()}
}

// dump returns the known slots of the domain, sorted by number.
func (k *slotManager) dump() []SlotDump {
	now := k.b.clock.Now()
	at := func(t Instant) time.Time { return now.Wall.Add(t.Sub(now.ExpiryTime)) }
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []SlotDump
	for number, s := range k.slotViews {
		d := SlotDump{Slot: number, Holder: s.holder, Epoch: s.epoch}
		if h, ok := k.heldSlots[number]; ok {
			d.Held = true
			d.Minting = h.announced && h.lease.mayMint(now.ExpiryTime)
			d.StoreLease = at(h.lease.storeUntil)
			d.MemberLease = at(h.lease.membersUntil)
		}
		list = append(list, d)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Slot < list[j].Slot })
	return list
}

// dump returns the accounts, sorted by organisation.
func (h *accountOwner) dump() []AccountDump {
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
				Waiting:          ident.Tokens(a.waitingTokens),
				Segments:         len(a.pool.segments),
				OpenReservations: open[org],
			})
		}
		s.mu.Unlock()
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Organisation < list[j].Organisation })
	return list
}
