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

// start creates the client and provides it to the other roles. It makes no call,
// because the store may be unavailable.
func start(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	c, err := New(n.Settings.StoreAddresses, WithMetrics(n.Metrics), WithNow(n.Now))
	if err != nil {
		return nil, err
	}
	kernel.Provide(n, c)
	kernel.Provide(n, c.KeyValue())
	return &kernel.Callbacks{
		Close: c.Close,
		Dump:  func() any { return c.CallCounts() },
	}, nil
}

// KeyValue returns the client's methods as a keyvalue.Client, the type through which
// other roles use the store.
func (c *Client) KeyValue() *keyvalue.Client {
	return &keyvalue.Client{
		Get: c.Get, List: c.List, Watch: c.Watch,
		CompareAndSwap: c.CompareAndSwap, Put: c.Put, Delete: c.Delete,
		CreateLease: c.CreateLease, RenewLease: c.RenewLease, DestroyLease: c.DestroyLease,
		Acquire: c.Acquire, Release: c.Release, CallCounts: c.CallCounts,
	}
}
