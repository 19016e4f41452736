package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"monsoonfork/lab/soak"
	"monsoonfork/lab/workload"
)

// soakCommand is the verb soak, which runs a fleet under random faults.
type soakCommand struct {
	Workload  string        `enum:"tuinhulp,tatrasoft" default:"tuinhulp" help:"Workload to send."`
	Seed      uint64        `default:"1" help:"Seed of the random requests and faults."`
	Length    time.Duration `default:"35s" help:"Time during which requests are sent."`
	Rate      float64       `default:"15" help:"Requests per second."`
	Instances int           `default:"8" help:"Number of monsoonfork instances."`
	Faults    []string      `help:"Faults to draw from; none means all."`
	Alone     bool          `help:"Never have two faults active at a time."`
	Loud      float64       `default:"30" help:"Multiplier of the traffic of the last organisation."`
	TimeScale float64       `default:"1" help:"Multiplier of all times of the engines."`
	Keep      bool          `help:"Keep the logs of all processes."`
}

// Help is the usage text of the verb.
func (c *soakCommand) Help() string {
	return `Starts a fleet sized for a workload, with every stand-in and instance as a
separate process, sends requests, and injects faults drawn from the seed.
Meanwhile operators edit the configuration text: they withdraw keys, edit
concurrently and mark endpoints as leaving. One organisation sends several times
its rate. Then checks answers, runs, refusals, keys, memory, rates and orders
against the records of the stand-ins. Prints each fault, the counts, and one line
for each broken promise; fails if there is any. Run it in the repository.`
}

// Run implements the verb.
func (c *soakCommand) Run(ctx context.Context) error {
	w, _ := workload.ByName(c.Workload)
	verdict, err := soak.Run(ctx, soak.Config{
		Workload:     w,
		Seed:         c.Seed,
		Length:       c.Length,
		Rate:         c.Rate,
		Instances:    c.Instances,
		Faults:       c.Faults,
		SingleFaults: c.Alone,
		LoudFactor:   c.Loud,
		TimeScale:    c.TimeScale,
		KeepLogs:     c.Keep,
	}, os.Stdout)
	if err != nil {
		return err
	}
	if err := verdict.Report.Print(os.Stdout); err != nil {
		return err
	}
	if c.Keep {
		fmt.Println("logs:", verdict.LogDir)
	}
	return printFindings(verdict.Findings, c.command())
}

// command returns the command line that repeats the run.
func (c *soakCommand) command() string {
	parts := []string{
		"monsoonlab soak",
		"--workload", c.Workload,
		"--seed", fmt.Sprint(c.Seed),
		"--length", c.Length.String(),
		"--rate", fmt.Sprint(c.Rate),
		"--instances", fmt.Sprint(c.Instances),
		"--loud", fmt.Sprint(c.Loud),
		"--time-scale", fmt.Sprint(c.TimeScale),
	}
	if len(c.Faults) > 0 {
		parts = append(parts, "--faults", strings.Join(c.Faults, ","))
	}
	if c.Alone {
		parts = append(parts, "--alone")
	}
	return strings.Join(parts, " ")
}
