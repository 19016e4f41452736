package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"monsoonfork/lab/status"
	"monsoonfork/lab/workload"
)

// statusLatencyCommand measures status calls while the engines are full.
type statusLatencyCommand struct {
	Workload    string        `default:"tatrasoft" help:"Workload: tuinhulp, tatrasoft."`
	Seed        uint64        `default:"1" help:"Seed of the fleet and the load."`
	Length      time.Duration `default:"12s" help:"Length of each of the two parts."`
	Rate        float64       `default:"100" help:"Status calls a second."`
	Completions float64       `default:"75" help:"Completions a second that fill the engines."`
}

// Help is the usage text of the verb.
func (c *statusLatencyCommand) Help() string {
	return `Starts a whole fleet and measures status calls, through the fleet and straight
to a service: first while nothing else runs, then while completions fill the
decode engines. Run it in the repository.`
}

// Run implements the verb.
func (c *statusLatencyCommand) Run(ctx context.Context) error {
	w, ok := workload.ByName(c.Workload)
	if !ok {
		return fmt.Errorf("no workload %q", c.Workload)
	}
	return status.Run(ctx, status.Config{
		Workload: w, Seed: c.Seed, Length: c.Length, Rate: c.Rate, Completions: c.Completions,
	}, os.Stdout)
}
