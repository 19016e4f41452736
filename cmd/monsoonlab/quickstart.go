package main

import (
	"context"
	"os"

	"monsoonfork/lab/quickstart"
)

// quickstartCommand is the verb quickstart, which demonstrates a small fleet.
type quickstartCommand struct{}

// Help is the usage text of the verb.
func (c *quickstartCommand) Help() string {
	return `Builds monsoonfork, starts small fleets for both workloads on loopback, sends a
few requests, and prints the requests, their answers, where each request ran and
the configuration text in force. Exits by itself and removes all it created. Run
it in the repository.`
}

// Run implements the verb.
func (c *quickstartCommand) Run(ctx context.Context) error {
	return quickstart.Run(ctx, os.Stdout)
}
