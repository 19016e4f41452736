package placement

import (
	"context"

	"monsoonfork/core/config"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/kernel"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
)

func init() {
	kernel.Register(kernel.Role{
		Name:      "Placement",
		Summary:   "assigns requests to pairs of prefill and decode engines, with fair queueing",
		DependsOn: []string{"Membership", "Engines"},
		Start:     start,
	})
}

// start creates and starts the Placement of an instance.
func start(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	var (
		links  *link.Links
		table  *membership.Table
		holder *config.Holder
		calls  *engineapi.Calls
	)
	if err := n.Require(&links, &table, &holder, &calls); err != nil {
		return nil, err
	}
	p := New(links, table, holder, n.Log, WithRegistry(n.Metrics), WithEngines(NewEngineQueries(calls)))
	kernel.Provide(n, p)
	p.Start()
	return &kernel.Callbacks{Drain: p.Drain, Close: p.Close, Dump: p.Dump}, nil
}
