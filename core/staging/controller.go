package staging

import (
	"context"
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

// Status is what an engine says of its orders.
type Status struct {
	Stage  engines.Stage
	Busy   bool  // An order is being carried out.
	Orders int64 // Accepted since the engine started.
}

// Order changes an engine's stage.
type Order struct {
	To       engines.Stage
	Holder   ident.InstanceID
	Fencing  ident.Epoch
	Expected int64 // Orders that the engine must have accepted before.
	Before   boottime.Instant
}

// Controller changes stages. All seams are set before Run.
type Controller struct {
	Services func() []ident.ServiceID // Model services.
	Engines  func(ident.ServiceID) []*engines.Engine
	IsOwner  func() bool
	Acquire  Acquirer
	Status   func(ctx context.Context, e engines.Entry) (Status, error)
	Order    func(ctx context.Context, e engines.Entry, o Order) error
	Boot     func() boottime.Instant
	Pause    func(ctx context.Context, d time.Duration)

	Apart time.Duration // Least time between orders of two holders.
	Self  ident.InstanceID
	Log   log.Logger

	dueSince boottime.Instant // When a change was first due; 0 while none is.
	ordered  map[ident.EndpointID]ordered
	restTo   boottime.Instant // Until when no right is asked for.
}

// ordered is what an engine was ordered to.
type ordered struct {
	to    engines.Stage
	until boottime.Instant // It counts, and gets no other order, until then.
}

const (
	// lookEvery is the time between two looks at the split.
	lookEvery = 500 * time.Millisecond
	// settleTime is how long a change has to be due before it is ordered.
	settleTime = 1500 * time.Millisecond
	// noticeTime is how long before its order the instances are told of a change: news
	// are in force after a few hundred milliseconds, and streams for which an engine
	// has kept room have been sent to it then.
	noticeTime = time.Second
	// useTime is how long orders may leave under a right. The rest of its lease, which
	// is never renewed, keeps orders of two holders apart.
	useTime = 5 * time.Second
	// apartMargin covers orders that are on their way and clocks that run unequally.
	apartMargin = 2 * time.Second
	// restTime is how long an engine rests after an order: it changes its stage,
	// and an order without an answer may be carried out late.
	restTime = 15 * time.Second
	// failedRest is the pause after a right was not had.
	failedRest = 3 * time.Second
	// orderTime bounds one call to an engine.
	orderTime = 700 * time.Millisecond
	// movesAtOnce bounds the changes under one right.
	movesAtOnce = 4
)

// Run looks at the split until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.ordered = make(map[ident.EndpointID]ordered)
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if c.IsOwner() && c.restTo.Before(c.Boot()) && c.isDue() {
			c.change(ctx)
		}
	}
}

// isDue reports whether a change has been due for long enough.
func (c *Controller) isDue() bool {
	due := slices.ContainsFunc(c.Services(), func(s ident.ServiceID) bool {
		_, ok := Plan(c.staged(s))
		return ok
	})
	switch now := c.Boot(); {
	case !due:
		c.dueSince = 0
	case c.dueSince == 0:
		c.dueSince = now
	default:
		return c.dueSince.Add(settleTime).Before(now)
	}
	return false
}

// staged returns the engines of a service with the stages that they have or were
// ordered to.
func (c *Controller) staged(s ident.ServiceID) []Staged {
	now := c.Boot()
	var list []Staged
	for _, e := range c.Engines(s) {
		stage := e.StageNow()
		if o, ok := c.ordered[e.ID]; ok && now.Before(o.until) {
			stage = o.to
		}
		list = append(list, Staged{e, stage})
	}
	return list
}

// change takes the right and gives orders.
func (c *Controller) change(ctx context.Context) {
	started := c.Boot()
	moves := c.plan()
	if len(moves) == 0 {
		return
	}
	hold := useTime + c.Apart + apartMargin
	fencing, err := c.Acquire(ctx, hold, notice(c.Self, moves))
	if err != nil {
		c.restTo = c.Boot().Add(failedRest)
		for _, m := range moves {
			delete(c.ordered, m.Engine.ID)
		}
		_ = level.Info(c.Log).Log("msg", event.NoRightToOrder, "err", err)
		return
	}
	c.restTo = started.Add(hold)
	_ = level.Info(c.Log).Log("msg", event.RightToOrder, "fencing", fencing)
	c.Pause(ctx, noticeTime)
	until := started.Add(useTime)
	for _, m := range moves {
		c.move(ctx, m, fencing, until)
	}
}

// plan returns the changes that are due, and takes them as ordered.
func (c *Controller) plan() []Move {
	var moves []Move
	for _, s := range c.Services() {
		for range movesAtOnce {
			m, ok := Plan(c.staged(s))
			if !ok || c.isResting(m.Engine.ID) {
				break
			}
			c.ordered[m.Engine.ID] = ordered{m.To, c.Boot().Add(restTime)}
			moves = append(moves, m)
		}
	}
	return moves
}

// isResting reports whether an engine gets no order now.
func (c *Controller) isResting(id ident.EndpointID) bool {
	return c.Boot().Before(c.ordered[id].until)
}

// move orders one engine to another stage.
func (c *Controller) move(ctx context.Context, m Move, fencing ident.Epoch, until boottime.Instant) {
	ctx, cancel := context.WithTimeout(ctx, 2*orderTime)
	defer cancel()
	e := m.Engine.Entry
	s, err := c.Status(ctx, e)
	if err == nil && (s.Busy || s.Stage == m.To) {
		err = fault.New(fault.NotHolder, "busy %v, stage %v", s.Busy, s.Stage)
	}
	if err == nil {
		err = c.Order(ctx, e, Order{To: m.To, Holder: c.Self, Fencing: fencing, Expected: s.Orders, Before: until})
	}
	_ = level.Info(c.Log).Log("msg", event.StageOrdered, "engine", e.ID, "to", m.To, "fencing", fencing, "expected", s.Orders, "err", err)
}
