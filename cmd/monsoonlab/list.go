package main

import (
	"context"
	"time"

	"monsoonfork/io/standin/list"
)

// listCommand is the verb list, which serves a stand-in list of instances.
type listCommand struct {
	listenFlags
	Lag time.Duration `default:"2s" help:"Delay until a change is visible."`
}

// Help is the usage text of the verb.
func (c *listCommand) Help() string {
	return `Serves a stand-in for the platform's list of instances. Prints one line of JSON
with its addresses once it serves. The list is set with POST /control/instances
on the control address; changes become visible after a delay.`
}

// Run implements the verb.
func (c *listCommand) Run(ctx context.Context) error {
	return serveUntilDone(ctx, list.New(
		list.WithAddresses(c.addresses()),
		list.WithLag(c.Lag),
	))
}
