package main

import (
	"context"
	"os"
	"time"

	"monsoonfork/lab/overhead"
)

// overheadCommand is the verb overhead, which measures the latency that monsoonfork adds
// to a call.
type overheadCommand struct {
	Seed        uint64        `default:"1" help:"Seed of the fleet."`
	Calls       int           `default:"300" help:"Calls of each kind, alternately direct and routed."`
	Concurrency int           `default:"64" help:"Concurrent callers in the throughput measurement."`
	Length      time.Duration `default:"5s" help:"Length of the throughput measurement for each kind of call."`
}

// Help is the usage text of the verb.
func (c *overheadCommand) Help() string {
	return `Measures the latency that monsoonfork adds to the first token and to a plain
call, compared with direct calls to the same stand-ins in the same run, and the
throughput of an instance on two cores in calls per second. Run it in the
repository.`
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
