package main

import (
	"context"
	"time"

	"monsoonfork/io/standin/service"
)

// serviceCommand is the verb service, which serves a stand-in plain service.
type serviceCommand struct {
	listenFlags
	Name    string        `default:"service" help:"Name of the service, included in answers."`
	RunTime time.Duration `default:"2ms" help:"Duration of each call."`
	RunLog  string        `help:"File that preserves the recorded runs over restarts; empty means none."`
}

// Help is the usage text of the verb.
func (c *serviceCommand) Help() string {
	return `Serves a planning or ordering application that records each run of a call:
POST /bookings, POST /orders, DELETE /bookings/ID, GET /status and
GET /addresses/ID. Prints one line of JSON with its addresses once it serves.
GET /control/record on the control address lists the runs.`
}

// Run implements the verb.
func (c *serviceCommand) Run(ctx context.Context) error {
	return serveUntilDone(ctx, service.New(
		service.WithAddresses(c.addresses()),
		service.WithName(c.Name),
		service.WithProcessingTime(c.RunTime),
		service.WithRunLog(c.RunLog),
	))
}
