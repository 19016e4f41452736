package main

import (
	"context"
	"time"

	"monsoonfork/io/standin/list"
)

// listCommand serves an instance list.
type listCommand struct {
	listenFlags
	Lag time.Duration `default:"2s" help:"Time after which a change shows."`
}

// Help is the usage text of the verb.
func (c *listCommand) Help() string {
	return `Serves the platform's list of instances. Prints one line of JSON with its
addresses when it serves. The list is set by POST /control/instances on the
control address, and shows changes after a lag.`
}

// Run implements the verb.
func (c *listCommand) Run(ctx context.Context) error {
	return serveUntilDone(ctx, list.New(
		list.WithAddresses(c.addresses()),
		list.WithLag(c.Lag),
	))
}
