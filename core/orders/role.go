package orders

import (
	"context"
	"time"

	"monsoonfork/core/config"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/kernel"
	"monsoonfork/core/keyvalue"
	"monsoonfork/core/membership"
)

// ownerKey identifies this role when its owner is chosen among the live members
// of the domain.
const ownerKey = "orders"

func init() {
	kernel.Register(kernel.Role{
		Name:      "Orders",
		Summary:   "sends orders to the domain's engines until they serve what the configuration text declares",
		DependsOn: []string{"Membership", "Config", "Engines", "Store"},
		Start:     start,
	})
}

// start creates and runs the role's controller.
func start(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	var (
		table   *membership.Table
		holder  *config.Holder
		engines *engineapi.Calls
		client  *keyvalue.Client
	)
	if err := n.Require(&table, &holder, &engines, &client); err != nil {
		return nil, err
	}
	domain := n.Settings.Domain
	tuning := DefaultTuning()
	if ms := n.Settings.OrderLeaseMS; ms > 0 {
		tuning = tuning.WithLease(time.Duration(ms) * time.Millisecond)
	}
	c := newController(domain, n.ID, newLeaseStore(client, domain, n.ID), n.Log,
		WithMetrics(n.Metrics), WithNow(n.Now), WithTuning(tuning))
	c.IsOwner = func() bool {
		owner, ok := table.View().Owner(domain, ownerKey)
		return ok && owner.ID == n.ID
	}
	c.Snapshot = holder.Current
	c.State, c.Requests, c.Send = engines.State, engines.Requests, engines.Order
	kernel.Provide(n, c)
	c.Run()
	return &kernel.Callbacks{
		AnnounceStop: func(time.Time) { c.Leave() },
		Drain:        c.Drain,
		Close:        c.Close,
		Dump:         func() any { return c.Status() },
	}, nil
}
