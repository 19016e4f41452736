package main

import (
	"context"

	"monsoonfork/io/standin/store"
)

// storeCommand is the verb store, which serves a stand-in key-value service.
type storeCommand struct {
	listenFlags
	ReadLimit  float64 `default:"2000" help:"Limit of reads per second; 0 means no limit."`
	WriteLimit float64 `default:"500" help:"Limit of writes per second; 0 means no limit."`
}

// Help is the usage text of the verb.
func (c *storeCommand) Help() string {
	return `Serves a stand-in for the key-value service: keys with compare-and-swap, sessions
and long polls. Prints one line of JSON with its addresses once it serves.
GET /control/record on the control address returns the counts of calls.`
}

// Run implements the verb.
func (c *storeCommand) Run(ctx context.Context) error {
	return serveUntilDone(ctx, store.New(
		store.WithAddresses(c.addresses()),
		store.WithLimits(c.ReadLimit, c.WriteLimit),
	))
}
