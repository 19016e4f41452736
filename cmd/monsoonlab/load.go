package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/lab/fleet"
	"monsoonfork/lab/load"
	"monsoonfork/lab/process"
	"monsoonfork/lab/workload"
)

// fleetStartTimeout bounds the building and starting of a fleet.
const fleetStartTimeout = 2 * time.Minute

// loadCommand is the verb load, which starts a fleet and sends a workload to it.
type loadCommand struct {
	Workload  string             `enum:"tuinhulp,tatrasoft" default:"tuinhulp" help:"Workload to send."`
	Rate      float64            `default:"20" help:"Requests per second."`
	Length    time.Duration      `default:"10s" help:"Time during which requests are sent."`
	Seed      uint64             `default:"1" help:"Seed of the random requests."`
	Instances int                `default:"8" help:"Number of monsoonfork instances."`
	Loud      map[string]float64 `help:"Traffic multipliers of organisations, such as families=5."`
	TimeScale float64            `default:"1" help:"Multiplier of all times of the engines."`
}

// Help is the usage text of the verb.
func (c *loadCommand) Help() string {
	return `Starts a fleet sized for a workload, with every stand-in and instance as a
separate process, sends requests in an open loop, checks every answer token by
token and prints counts and latencies. Fails if an answer was wrong. Run it in the
repository.`
}

// Run implements the verb.
func (c *loadCommand) Run(ctx context.Context) (err error) {
	runner, err := process.NewRunner()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, runner.Close()) }()
	w, _ := workload.ByName(c.Workload)
	startCtx, cancel := context.WithTimeout(ctx, fleetStartTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, runner, fleet.Spec{Workload: w, Instances: c.Instances, TimeScale: c.TimeScale, Seed: c.Seed})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	report := load.Run(ctx, c.config(f))
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if n := report.Total(load.Incorrect); n > 0 {
		return fmt.Errorf("%d answers were wrong", n)
	}
	return nil
}

// config returns the configuration of the load generator.
func (c *loadCommand) config(f *fleet.Fleet) load.Config {
	factors := make(map[ident.OrganisationID]float64, len(c.Loud))
	for name, factor := range c.Loud {
		factors[ident.OrganisationID(name)] = factor
	}
	return load.Config{
		Workload:       f.Spec.Workload,
		Rate:           c.Rate,
		Seed:           c.Seed,
		Duration:       c.Length,
		TrafficFactors: factors,
		Keys:           f.Keys,
		Instances:      f.InUse,
		Timeout:        time.Minute,
		MaxRetries:     2,
		Targets:        load.DefaultTargets(),
	}
}
