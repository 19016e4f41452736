package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"monsoonfork/core/placement"
	"monsoonfork/core/text"
	"monsoonfork/lab/bench"
)

// benchCommand measures placement policies.
type benchCommand struct {
	Workload    []string      `default:"tuinhulp,tatrasoft" help:"Workloads: tuinhulp, tatrasoft."`
	Policy      []string      `default:"Paired,RoundRobin,LeastLoad,TwoChoices" help:"Placement policies."`
	Load        []float64     `default:"0.6,0.9,1.1" help:"Demand within the rates, over the capacity."`
	Faults      []string      `default:"NoFaults" help:"NoFaults, EngineDies, LinkStalls, InstanceReplaced, ReportsLag."`
	Seed        []uint64      `default:"1" help:"Seeds of the arrivals."`
	Length      time.Duration `default:"20s" help:"Length of a round's arrivals."`
	Warmup      time.Duration `default:"5s" help:"Arrivals of this time are not measured."`
	NoPrefixes  bool          `help:"Ignore cached prefixes."`
	NoLearning  bool          `help:"Let new dispatchers place without learning what is held."`
	Headroom    int           `default:"-1" help:"Decode slots kept from organisations above their share; -1 takes the default."`
	EarlyFactor float64       `default:"-1" help:"Predicted wait over slack at which a request is refused at once; -1 takes the default."`
	Unlimited   bool          `help:"Let requests above the rates through to placement."`
	Parallel    int           `default:"1" help:"Rounds that run at the same time; each needs about half a core."`
	CSV         string        `help:"File for the results as CSV."`
	Plot        string        `help:"File for the plot (PNG or SVG)."`
}

// Help is the usage text of the verb.
func (c *benchCommand) Help() string {
	return `Runs the placement policies one after the other under the same seeded
open-loop load, with stand-in engines as processes, and prints, and writes as
CSV and as a plot: requests a second within both targets, wasted prefill, the
organisation that fares worst, wrongful refusals, and times. Times are those of
the engines; nothing is scaled. Example:
  monsoonlab bench --workload tuinhulp --load 0.6,0.9,1.1 --seed 1,2,3`
}

// Run implements the verb.
func (c *benchCommand) Run(ctx context.Context) error {
	rounds, err := c.rounds()
	if err != nil {
		return err
	}
	results, err := bench.RunAll(ctx, rounds, c.Parallel, func(r *bench.Result) {
		_, _ = fmt.Fprintln(os.Stderr, r.Row())
	})
	if err != nil {
		return err
	}
	if err := bench.Print(os.Stdout, results); err != nil {
		return err
	}
	if c.CSV != "" {
		if err := bench.WriteCSV(c.CSV, results); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		return bench.WritePlot(c.Plot, results)
	}
	return nil
}

// rounds returns the rounds: all policies of a setting next to each other.
func (c *benchCommand) rounds() ([]bench.Round, error) {
	var list []bench.Round
	for _, name := range c.Workload {
		w, err := bench.WorkloadNamed(name)
		if err != nil {
			return nil, err
		}
		for _, load := range c.Load {
			for _, seed := range c.Seed {
				for _, faults := range c.Faults {
					more, err := c.policies(bench.Round{
						Workload: w, Load: load, Seed: seed, Length: c.Length, Warmup: c.Warmup, Admit: !c.Unlimited,
						Placement: c.placement(),
					}, faults)
					if err != nil {
						return nil, err
					}
					list = append(list, more...)
				}
			}
		}
	}
	return list, nil
}

// placement returns the options of placement that the flags ask for.
func (c *benchCommand) placement() []placement.ServiceOption {
	tuning := placement.DefaultTuning()
	tuning.Prefixes = !c.NoPrefixes
	if c.Headroom >= 0 {
		tuning.Headroom = c.Headroom
	}
	if c.EarlyFactor >= 0 {
		tuning.EarlyFactor = c.EarlyFactor
	}
	options := []placement.ServiceOption{placement.WithServiceTuning(tuning)}
	if c.NoLearning {
		options = append(options, placement.WithoutRecovery())
	}
	return options
}

// policies returns the round for each policy.
func (c *benchCommand) policies(r bench.Round, faults string) ([]bench.Round, error) {
	if err := r.Faults.UnmarshalText([]byte(faults)); err != nil {
		return nil, err
	}
	var list []bench.Round
	for _, name := range c.Policy {
		var p text.PlacementPolicy
		if err := p.UnmarshalText([]byte(name)); err != nil {
			return nil, err
		}
		r.Policy = p
		list = append(list, r)
	}
	return list, nil
}
