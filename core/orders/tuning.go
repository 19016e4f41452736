package orders

import "time"

// Tuning holds the intervals, timeouts and limits of a controller.
type Tuning struct {
	LeaseTTL        time.Duration // Time to live of the lease in the store.
	LeaseMargin     time.Duration // The holder stops sending orders this long before its lease may expire.
	RenewInterval   time.Duration // Interval between two renewals of the lease.
	AcquireInterval time.Duration // Interval between two attempts to acquire the lease, or to renew it after an error.
	TickInterval    time.Duration // Interval between two checks for work that is due.
	ResyncInterval  time.Duration // Interval between two comparisons of an engine that agrees.
	RetryDelay      time.Duration // Delay before an engine is compared again after a failure or when its order has to wait.
	MaxRetryDelay   time.Duration // Upper bound of the delay after repeated failures.
	DeliveryTimeout time.Duration // Longest time that a sent order may take to reach the engine's host.
	RoleChangeDelay time.Duration // An engine must be marked as Leaving for this long before its role is changed.
	MaxReconciles   int           // Maximum number of engines that are compared or changed at once.
	MaxLoads        int           // Maximum number of orders in progress that read from the weight store.
}

// DefaultTuning returns the values for production.
func DefaultTuning() Tuning {
	return Tuning{
		LeaseTTL:        10 * time.Second,
		LeaseMargin:     200 * time.Millisecond,
		RenewInterval:   2500 * time.Millisecond,
		AcquireInterval: time.Second,
		TickInterval:    200 * time.Millisecond,
		ResyncInterval:  10 * time.Second,
		RetryDelay:      time.Second,
		MaxRetryDelay:   time.Minute,
		DeliveryTimeout: time.Second,
		RoleChangeDelay: 5 * time.Second,
		MaxReconciles:   16,
		MaxLoads:        4,
	}
}

// WithLease returns the tuning with another time to live of the lease. The renewal
// interval is a quarter of it, so that two lost renewals do no harm.
func (t Tuning) WithLease(ttl time.Duration) Tuning {
	t.LeaseTTL = ttl
	t.RenewInterval = ttl / renewalsPerLease
	return t
}

// renewalsPerLease is the number of renewal intervals in the time to live of a
// lease.
const renewalsPerLease = 4
