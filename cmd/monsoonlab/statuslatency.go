package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"monsoonfork/lab/status"
	"monsoonfork/lab/workload"
)

// statusLatencyCommand is the verb statuslatency, which measures status calls while the
// engines are saturated.
type statusLatencyCommand struct {
	Workload    string        `default:"tatrasoft" help:"Workload: tuinhulp, tatrasoft."`
	Seed        uint64        `default:"1" help:"Seed of the fleet and of the load."`
	Length      time.Duration `default:"12s" help:"Duration of each of the two phases."`
	Rate        float64       `default:"100" help:"Status calls per second."`
	Completions float64       `default:"75" help:"Completions per second that saturate the engines."`
}

// Help is the usage text of the verb.
func (c *statusLatencyCommand) Help() string {
	return `Starts a fleet and measures the latency of status calls, through the fleet and
directly to a service: first without other load, then while completions saturate
the decode engines. Run it in the repository.`
}

// Run implements the verb.
func (c *statusLatencyCommand) Run(ctx context.Context) error {
	w, ok := workload.ByName(c.Workload)
	if !ok {
		return fmt.Errorf("unknown workload %q", c.Workload)
	}
	return status.Run(ctx, status.Config{
		Workload: w, Seed: c.Seed, Length: c.Length, Rate: c.Rate, Completions: c.Completions,
	}, os.Stdout)
}
