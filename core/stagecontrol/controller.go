package stagecontrol

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/boottime"
	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Status is an engine's answer about its stage and its orders.
type Status struct {
	Stage          engines.Stage
	Busy           bool  // The engine is carrying out an order.
	AcceptedOrders int64 // Orders accepted since the engine started.
}

// Order tells an engine to change its stage.
type Order struct {
	Stage      engines.Stage
	Holder     ident.InstanceID
	Fencing    ident.Epoch
	Expected   int64            // Number of orders that the engine must have accepted so far.
	ValidUntil boottime.Instant // The order must be written before this time.
}

// Controller changes the stages of engines to reach the split between prefill and decode.
// All exported fields are set before Run.
type Controller struct {
	Services func() []ident.ServiceID // Services that run models.
	Engines  func(ident.ServiceID) []*engines.Engine
	IsOwner  func() bool // Whether this instance controls the split.
	Acquire  LeaseAcquirer
	Status   func(ctx context.Context, e engines.Entry) (Status, error)
	Order    func(ctx context.Context, e engines.Entry, o Order) error
	BootTime func() boottime.Instant                    // Reads the boot clock.
	Pause    func(ctx context.Context, d time.Duration) // Waits for d or until ctx ends.

	// WhileHeld returns a context that also ends once the store is known to have lost the lease with
	// a fencing number, as it came back from an older copy.
	WhileHeld func(ctx context.Context, fencing ident.Epoch) (context.Context, context.CancelFunc)
	// StoreResetAt returns when this instance last learned that the store had come back from an older
	// copy; 0 if it never did.
	StoreResetAt func() boottime.Instant

	ChangeTime      func() time.Duration // How long engines take for a change of stage; 0 if unknown.
	OrderSeparation time.Duration        // Least time between orders of two lease holders.
	Self            ident.InstanceID
	Log             log.Logger

	dueSince    boottime.Instant                  // Time since which a change has been due; 0 if none is.
	pending     map[ident.EndpointID]pendingOrder // Last order of each engine that has had one lately; kept if Run is called again.
	pausedUntil boottime.Instant                  // No lease is requested until then.
	heldUntil   boottime.Instant                  // End of the last lease that was acquired.
}

// pendingOrder is a stage to which an engine was ordered.
type pendingOrder struct {
	to    engines.Stage
	until boottime.Instant // Until then the engine counts as being at that stage and gets no other order.
}

const (
	// checkInterval is the time between two checks of the split.
	checkInterval = 500 * time.Millisecond
	// minDueTime is how long a change must have been due before it is ordered.
	minDueTime = 1500 * time.Millisecond
	// noticeLead is the time between the notice of a change and its order. The notice
	// reaches the instances within a few hundred milliseconds, and the streams for which
	// the engine has granted a reservation have been sent to it by then.
	noticeLead = time.Second
	// orderWindow is how long orders may be sent under a lease. The lease is never
	// renewed; the rest of its time keeps the orders of two holders apart.
	orderWindow = 5 * time.Second
	// separationMargin covers orders in transit and clocks that run at different rates.
	separationMargin = 2 * time.Second
	// orderCooldown is how long an engine gets no other order after one, unless a change of
	// stage takes longer: an order without an answer may be carried out late.
	orderCooldown = 15 * time.Second
	// acquireRetryDelay is the pause after the lease could not be acquired.
	acquireRetryDelay = 3 * time.Second
	// callTimeout bounds one call to an engine.
	callTimeout = 700 * time.Millisecond
	// maxChangesPerService bounds the changes of one service under one lease.
	maxChangesPerService = 4
)

// Run checks the split at each checkInterval, and changes it if this instance is the owner,
// until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if c.IsOwner() && c.mayAcquire() && c.isDue() {
			c.orderChanges(ctx)
		}
	}
}

// mayAcquire reports whether the lease may be requested now.
func (c *Controller) mayAcquire() bool {
	return c.pausedUntil.Before(c.BootTime()) && !c.otherMayHold()
}

// otherMayHold reports whether another instance may still send orders under a lease that the store
// has lost. It may for as long as a lease lasts, unless this instance held the lease then.
func (c *Controller) otherMayHold() bool {
	reset := c.StoreResetAt()
	if reset == 0 || reset.Before(c.heldUntil) {
		return false
	}
	return c.BootTime().Before(reset.Add(c.leaseTime()))
}

// leaseTime returns the time to live of a lease.
func (c *Controller) leaseTime() time.Duration {
	return orderWindow + c.OrderSeparation + separationMargin
}

// isDue reports whether a change has been due for minDueTime.
func (c *Controller) isDue() bool {
	due := slices.ContainsFunc(c.Services(), func(s ident.ServiceID) bool {
		_, ok := NextChange(c.enginesWithStages(s))
		return ok
	})
	switch now := c.BootTime(); {
	case !due:
		c.dueSince = 0
	case c.dueSince == 0:
		c.dueSince = now
	default:
		return c.dueSince.Add(minDueTime).Before(now)
	}
	return false
}

// enginesWithStages returns the engines of a service, each with the stage of its pending
// order or else with its present stage.
func (c *Controller) enginesWithStages(s ident.ServiceID) []StagedEngine {
	now := c.BootTime()
	var list []StagedEngine
	for _, e := range c.Engines(s) {
		stage := e.CurrentStage()
		if o, ok := c.pending[e.ID]; ok && now.Before(o.until) {
			stage = o.to
		}
		list = append(list, StagedEngine{e, stage})
	}
	return list
}

// orderChanges acquires the lease with the notice of the changes, waits until the notice
// has reached all instances, and sends the orders. If the store loses the lease meanwhile, the
// changes that are left are ordered under a new one.
func (c *Controller) orderChanges(ctx context.Context) {
	started := c.BootTime()
	changes := c.planChanges()
	if len(changes) == 0 {
		return
	}
	fencing, err := c.Acquire(ctx, c.leaseTime(), newNotice(c.Self, changes))
	if err == nil && c.otherMayHold() {
		err = fault.New(fault.NotHolder, "the store came back from an older copy; another instance may still send orders under a lost lease")
	}
	if err != nil {
		c.pausedUntil = c.BootTime().Add(acquireRetryDelay)
		c.forget(changes)
		_ = level.Info(c.Log).Log("msg", event.OrderLeaseNotAcquired, "err", err)
		return
	}
	c.heldUntil = started.Add(c.leaseTime())
	c.pausedUntil = c.heldUntil
	_ = level.Info(c.Log).Log("msg", event.OrderLeaseAcquired, "fencing", fencing)
	held, stop := c.WhileHeld(ctx, fencing)
	defer stop()
	c.Pause(held, noticeLead)
	deadline := started.Add(orderWindow)
	left := c.sendOrders(held, changes, fencing, deadline, 2*callTimeout)
	left = c.sendOrders(held, left, fencing, deadline, orderWindow)
	if held.Err() != nil && ctx.Err() == nil {
		c.forget(left)
		c.pausedUntil = 0
		_ = level.Warn(c.Log).Log("msg", event.OrderLeaseLost, "fencing", fencing, "left", len(left))
	}
}

// sendOrders orders changes until ctx ends, and returns those that were not ordered since ctx had
// ended or their engine was silent.
func (c *Controller) sendOrders(ctx context.Context, changes []StageChange, fencing ident.Epoch, deadline boottime.Instant, timeout time.Duration) (left []StageChange) {
	for _, change := range changes {
		if ctx.Err() != nil || !c.sendOrder(ctx, change, fencing, deadline, timeout) {
			left = append(left, change)
		}
	}
	return left
}

// forget removes the pending orders of changes that were not ordered.
func (c *Controller) forget(changes []StageChange) {
	for _, change := range changes {
		delete(c.pending, change.Engine.ID)
	}
}

// planChanges returns the changes that are due, and records them as pending orders.
func (c *Controller) planChanges() []StageChange {
	var changes []StageChange
	for _, s := range c.Services() {
		for range maxChangesPerService {
			change, ok := NextChange(c.enginesWithStages(s))
			if !ok || c.inCooldown(change.Engine.ID) {
				break
			}
			c.setPending(change.Engine.ID, pendingOrder{change.To, c.BootTime().Add(c.cooldown())})
			changes = append(changes, change)
		}
	}
	return changes
}

// setPending records an order, and forgets those that are no longer pending.
func (c *Controller) setPending(id ident.EndpointID, o pendingOrder) {
	now := c.BootTime()
	maps.DeleteFunc(c.pending, func(_ ident.EndpointID, o pendingOrder) bool { return !now.Before(o.until) })
	if c.pending == nil {
		c.pending = make(map[ident.EndpointID]pendingOrder)
	}
	c.pending[id] = o
}

// cooldown returns how long an engine gets no other order after one.
func (c *Controller) cooldown() time.Duration { return max(orderCooldown, orderWindow+c.ChangeTime()) }

// inCooldown reports whether an engine must not get an order now.
func (c *Controller) inCooldown(id ident.EndpointID) bool {
	return c.BootTime().Before(c.pending[id].until)
}

// sendOrder orders one engine to change its stage, unless the engine is busy or at that
// stage already. It takes no longer than the timeout, and not until after the deadline. It
// returns false if nothing was ordered, since the engine has not answered about its stage and may
// only pause, or since held has ended.
func (c *Controller) sendOrder(held context.Context, change StageChange, fencing ident.Epoch, deadline boottime.Instant, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(held, min(timeout, time.Duration(deadline-c.BootTime())))
	defer cancel()
	e := change.Engine.Entry
	s, err := c.Status(ctx, e)
	if held.Err() != nil {
		return false
	}
	answered := !fault.Is(err, fault.EndpointTimeout) && !fault.Is(err, fault.DeadlineExceeded)
	if err == nil && (s.Busy || s.Stage == change.To) {
		err = fault.New(fault.NotHolder, "not ordered: engine busy %v, stage %v", s.Busy, s.Stage)
	}
	if err == nil {
		err = c.Order(ctx, e, Order{Stage: change.To, Holder: c.Self, Fencing: fencing, Expected: s.AcceptedOrders, ValidUntil: deadline})
	}
	_ = level.Info(c.Log).Log("msg", event.StageOrdered, "engine", e.ID, "to", change.To, "fencing", fencing, "expected", s.AcceptedOrders, "err", err)
	return answered
}
