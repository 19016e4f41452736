package main

import (
	"context"
	"os"

	"monsoonfork/lab/quickstart"
)

// quickstartCommand shows a small fleet at work.
type quickstartCommand struct{}

// Help is the usage text of the verb.
func (c *quickstartCommand) Help() string {
	return `Builds monsoonfork, starts small fleets for both workloads on loopback, sends a
handful of requests, and prints what was asked, the answers, where each request
ran and the text in force. Ends by itself and leaves nothing behind. Run it in
the repository.`
}

// Run implements the verb.
func (c *quickstartCommand) Run(ctx context.Context) error {
	return quickstart.Run(ctx, os.Stdout)
}
