package budget

import (
	"time"

	"monsoonfork/core/ident"
)

// reservation is what one request was charged, until it is settled.
type reservation struct {
	org     ident.OrganisationID
	charged ident.Tokens
	at      Instant    // When it was charged.
	minted  []Interval // The tokens charged, oldest first.
}

// refundFor returns how long from now on some of the tokens live.
func (r reservation) refundFor(now Instant, window time.Duration) time.Duration {
	if len(r.minted) == 0 {
		return 0
	}
	return max(0, r.minted[len(r.minted)-1].End.Add(window).Sub(now))
}

// charge is the outcome of an admission at a home.
type charge struct {
	id        uint64        // Of the reservation.
	refundFor time.Duration // How long a refund is worth anything.
}

// reservations holds the open reservations of a home. A settled or dropped id
// is gone for good: a second refund finds nothing.
type reservations struct {
	next uint64
	open map[uint64]reservation
}

// newReservations returns an empty table that numbers from first upwards.
func newReservations(first uint64) *reservations {
	return &reservations{next: first, open: make(map[uint64]reservation)}
}

// add opens a reservation and returns its id.
func (r *reservations) add(res reservation) uint64 {
	id := r.next
	r.next++
	r.open[id] = res
	return id
}

// settle closes a reservation and returns the unused tokens, the youngest of
// those charged, with their original times.
func (r *reservations) settle(id uint64, used ident.Tokens) (res reservation, unused []Interval, ok bool) {
	res, ok = r.open[id]
	if !ok {
		return reservation{}, nil, false
	}
	delete(r.open, id)
	_, unused = cut(res.minted, float64(used))
	return res, unused, true
}

// reservationKept is how long a reservation stays open at least.
const reservationKept = time.Minute

// dropExpired forgets old reservations whose refund would be worth nothing,
// since all their tokens are older than their organisation's window.
func (r *reservations) dropExpired(now Instant, window func(ident.OrganisationID) time.Duration) {
	for id, res := range r.open {
		n := len(res.minted)
		worthless := n == 0 || res.minted[n-1].End < now.Add(-window(res.org))
		if worthless && now >= res.at.Add(reservationKept) {
			delete(r.open, id)
		}
	}
}
