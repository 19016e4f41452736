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

// benchCommand is the verb bench, which compares placement policies under load.
type benchCommand struct {
	Workload    []string      `default:"tuinhulp,tatrasoft" help:"Workloads: tuinhulp, tatrasoft."`
	Policy      []string      `default:"Paired,RoundRobin,LeastLoad,TwoChoices" help:"Placement policies."`
	Load        []float64     `default:"0.6,0.9,1.1" help:"Load factors: demand within the organisations' rates, divided by the capacity."`
	Faults      []string      `default:"NoFaults" help:"Faults to inject: NoFaults, EngineDies, LinkStalls, InstanceReplaced, ReportsLag."`
	Seed        []uint64      `default:"1" help:"Seeds of the request arrivals."`
	Length      time.Duration `default:"20s" help:"Time during which requests arrive in a round."`
	Warmup      time.Duration `default:"5s" help:"Time at the start of a round whose requests are not measured."`
	NoPrefixes  bool          `help:"Ignore cached prefixes."`
	NoLearning  bool          `help:"Let a new dispatcher place requests without learning which slots are held."`
	Headroom    int           `default:"-1" help:"Decode slots reserved against organisations above their share; -1 uses the default."`
	EarlyFactor float64       `default:"-1" help:"Ratio of predicted wait to the remaining time to the target at which a request is refused at once; -1 uses the default."`
	Unlimited   bool          `help:"Admit requests above the organisations' rates."`
	Parallel    int           `default:"1" help:"Number of concurrent rounds; each needs about half a core."`
	CSV         string        `help:"File to write the results to as CSV."`
	Plot        string        `help:"File to write the plot to (PNG or SVG)."`
}

// Help is the usage text of the verb.
func (c *benchCommand) Help() string {
	return `Runs each placement policy under the same seeded open-loop load, with stand-in
engines as separate processes. Prints, and optionally writes as CSV and as a
plot: goodput (requests per second that meet both latency targets), wasted
prefill, the worst-served organisation, wrongful refusals, and latencies. All
times are real times of the engines; nothing is scaled. Example:
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

// rounds returns all rounds. Those that differ only in their policy are adjacent.
func (c *benchCommand) rounds() ([]bench.Round, error) {
	var list []bench.Round
	for _, name := range c.Workload {
		w, err := bench.FindWorkload(name)
		if err != nil {
			return nil, err
		}
		for _, load := range c.Load {
			for _, seed := range c.Seed {
				for _, faults := range c.Faults {
					policyRounds, err := c.policies(bench.Round{
						Workload: w, Load: load, Seed: seed, Length: c.Length, Warmup: c.Warmup, EnforceRates: !c.Unlimited,
						Placement: c.placement(),
					}, faults)
					if err != nil {
						return nil, err
					}
					list = append(list, policyRounds...)
				}
			}
		}
	}
	return list, nil
}

// placement returns the placement options selected by the flags.
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

// policies returns a copy of the round for each policy.
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
