package orders

import "time"

// Tuning are the times and limits of a controller.
type Tuning struct {
	LeaseTTL      time.Duration // Of the lease in the store.
	LeaseMargin   time.Duration // The holder stops this long before its lease may lapse.
	RenewEvery    time.Duration // Between two renewals.
	TakeEvery     time.Duration // Between two tries to take the lease.
	Tick          time.Duration // Between two looks at what is due.
	LookEvery     time.Duration // Between two looks at an engine that agrees.
	RetryAfter    time.Duration // Before an engine is looked at again that failed or that has to wait.
	LongestRetry  time.Duration // Bound of the time between two tries that fail.
	DeliverWithin time.Duration // Longest time that a sent order may be on its way to the engine's host.
	RoleSettle    time.Duration // An engine is marked as leaving for this long before its role is changed.
	Looks         int           // Engines that are looked at, or given an order, at once.
	Loads         int           // Orders under way at once that read from the weight store.
}

// DefaultTuning returns the values for production.
func DefaultTuning() Tuning {
	return Tuning{
		LeaseTTL:      10 * time.Second,
		LeaseMargin:   200 * time.Millisecond,
		RenewEvery:    2500 * time.Millisecond,
		TakeEvery:     time.Second,
		Tick:          200 * time.Millisecond,
		LookEvery:     10 * time.Second,
		RetryAfter:    time.Second,
		LongestRetry:  time.Minute,
		DeliverWithin: time.Second,
		RoleSettle:    5 * time.Second,
		Looks:         16,
		Loads:         4,
	}
}

// WithLease returns the tuning with another lease. It is renewed often enough
// that two lost renewals do no harm.
func (t Tuning) WithLease(ttl time.Duration) Tuning {
	t.LeaseTTL = ttl
	t.RenewEvery = ttl / renewalsPerLease
	return t
}

// renewalsPerLease is how often a lease is renewed within its length.
const renewalsPerLease = 4
