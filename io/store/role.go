package store

import (
	"context"

	"monsoonfork/core/kernel"
)

func init() {
	kernel.Register(kernel.Role{
		Name:    "Store",
		Summary: "calls the platform's key-value service for the other roles",
		Start:   start,
	})
}

// start provides the client. It calls nothing: the store may be down.
func start(_ context.Context, n *kernel.Node) (*kernel.Running, error) {
	c, err := New(n.Settings.StoreAddresses, WithMetrics(n.Metrics), WithNow(n.Now))
	if err != nil {
		return nil, err
	}
	kernel.Provide(n, c)
	return &kernel.Running{
		Close: c.Close,
		Dump:  func() any { return c.CallCounts() },
	}, nil
}
