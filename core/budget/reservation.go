package budget

import (
	"time"

	"monsoonfork/core/ident"
)

// reservation is the charge of one request until it is settled.
type reservation struct {
	org       ident.OrganisationID
	charged   ident.Tokens
	chargedAt Instant
	intervals []Interval // The charged tokens, oldest first.
}

// refundableFor returns the time from now until the youngest charged token
// expires.
func (r reservation) refundableFor(now Instant, window time.Duration) time.Duration {
	if len(r.intervals) == 0 {
		return 0
	}
	return max(0, r.intervals[len(r.intervals)-1].End.Add(window).Sub(now))
}

// admissionResult is the result of a successful admission on the instance
// that owns the account.
type admissionResult struct {
	reservationID uint64
	refundableFor time.Duration // After this time, all charged tokens have expired.
}

// reservations holds the open reservations of a shard. Ids are not reused, so
// that a second settlement of the same id has no effect.
type reservations struct {
	nextID uint64
	open   map[uint64]reservation
}

// newReservations returns an empty table that assigns ids from first on.
func newReservations(first uint64) *reservations {
	return &reservations{nextID: first, open: make(map[uint64]reservation)}
}

// add opens a reservation and returns its id.
func (r *reservations) add(res reservation) uint64 {
	id := r.nextID
	r.nextID++
	r.open[id] = res
	return id
}

// settle closes a reservation and returns the unused tokens, the youngest of
// those charged, with their original minting times.
func (r *reservations) settle(id uint64, used ident.Tokens) (res reservation, unused []Interval, ok bool) {
	res, ok = r.open[id]
	if !ok {
		return reservation{}, nil, false
	}
	delete(r.open, id)
	_, unused = splitOldest(res.intervals, float64(used))
	return res, unused, true
}

// minReservationAge is how long a reservation stays open at least.
const minReservationAge = time.Minute

// dropExpired drops old reservations whose tokens have all expired, so that a
// refund would have no effect.
func (r *reservations) dropExpired(now Instant, window func(ident.OrganisationID) time.Duration) {
	for id, res := range r.open {
		n := len(res.intervals)
		expired := n == 0 || res.intervals[n-1].End < now.Add(-window(res.org))
		if expired && now >= res.chargedAt.Add(minReservationAge) {
			delete(r.open, id)
		}
	}
}
