package placement

import (
	"context"

	"monsoonfork/core/config"
	"monsoonfork/core/kernel"
	"monsoonfork/core/membership"
	"monsoonfork/io/engine"
	"monsoonfork/io/peer"
)

func init() {
	kernel.Register(kernel.Role{
		Name:    "Placement",
		Summary: "pairs prefill and decode engines, and queues fairly",
		After:   []string{"Membership", "Engines"},
		Start:   start,
	})
}

// start is the role's constructor.
func start(_ context.Context, n *kernel.Node) (*kernel.Running, error) {
	links, err := kernel.Need[*peer.Links](n)
	if err != nil {
		return nil, err
	}
	table, err := kernel.Need[*membership.Table](n)
	if err != nil {
		return nil, err
	}
	holder, err := kernel.Need[*config.Holder](n)
	if err != nil {
		return nil, err
	}
	client, err := kernel.Need[*engine.Client](n)
	if err != nil {
		return nil, err
	}
	p := New(links, table, holder, n.Log, WithRegistry(n.Metrics), WithEngines(EngineCalls(client)))
	kernel.Provide(n, p)
	p.Start()
	return &kernel.Running{Drain: p.Drain, Close: p.Close, Dump: p.Dump}, nil
}
