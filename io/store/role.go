package store

import (
	"context"

	"monsoonfork/core/kernel"
	"monsoonfork/core/keyvalue"
)

func init() {
	kernel.Register(kernel.Role{
		Name:    "Store",
		Summary: "calls the platform's key-value service for the other roles",
		Start:   start,
	})
}

// start provides the client. It calls nothing: the store may be down.
func start(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	c, err := New(n.Settings.StoreAddresses, WithMetrics(n.Metrics), WithNow(n.Now))
	if err != nil {
		return nil, err
	}
	kernel.Provide(n, c)
	kernel.Provide(n, c.Seam())
	return &kernel.Callbacks{
		Close: c.Close,
		Dump:  func() any { return c.CallCounts() },
	}, nil
}

// Seam returns the calls as roles name them.
func (c *Client) Seam() *keyvalue.Client {
	return &keyvalue.Client{
		Get: c.Get, List: c.List, Watch: c.Watch,
		CompareAndSwap: c.CompareAndSwap, Put: c.Put, Delete: c.Delete,
		CreateLease: c.CreateLease, RenewLease: c.RenewLease, DestroyLease: c.DestroyLease,
		Acquire: c.Acquire, Release: c.Release, CallCounts: c.CallCounts,
	}
}
