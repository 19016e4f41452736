package main

import (
	"context"
	"os"
	"time"

	"monsoonfork/lab/overhead"
)

// overheadCommand measures what monsoonfork adds to a call.
type overheadCommand struct {
	Seed        uint64        `default:"1" help:"Seed of the fleet."`
	Calls       int           `default:"300" help:"Calls of each sort, direct and routed in turn."`
	Concurrency int           `default:"64" help:"Callers at once when looking for the most that an instance carries."`
	Length      time.Duration `default:"5s" help:"Length of that look, for each sort of call."`
}

// Help is the usage text of the verb.
func (c *overheadCommand) Help() string {
	return `Measures the time that monsoonfork adds to the first token and to a plain call,
against calling the same stand-ins directly in the same run, and the calls a
second that an instance carries on two cores. Run it in the repository.`
}

// Run implements the verb.
func (c *overheadCommand) Run(ctx context.Context) error {
	return overhead.Run(ctx, overhead.Config{
		Seed:        c.Seed,
		Calls:       c.Calls,
		Concurrency: c.Concurrency,
		Length:      c.Length,
	}, os.Stdout)
}
