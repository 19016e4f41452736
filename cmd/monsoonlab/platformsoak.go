package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"monsoonfork/lab/platformsoak"
)

// platformSoakCommand is the verb platform-soak, which runs instances as on the platform
// under random faults.
type platformSoakCommand struct {
	Seed      uint64        `default:"1" help:"Seed of the random requests and faults."`
	Length    time.Duration `default:"40s" help:"Time during which requests are sent; no fault is active in the last 12 s."`
	Rate      float64       `default:"40" help:"Requests per second."`
	Instances int           `default:"8" help:"Number of monsoonfork instances."`
	Faults    []string      `help:"Faults to draw from; none means all."`
	Keep      bool          `help:"Keep the logs of all processes."`
}

// Help is the usage text of the verb.
func (c *platformSoakCommand) Help() string {
	return `Starts instances as on the platform, with stand-ins for its store, engines and
callers, sends requests, and injects faults drawn from the seed. Then checks what
callers and engines have seen. Prints each fault, the answers by status, and one
line for each broken promise; fails if there is any. Run it in the repository.`
}

// Run implements the verb.
func (c *platformSoakCommand) Run(ctx context.Context) error {
	verdict, err := platformsoak.Run(ctx, platformsoak.Config{
		Seed: c.Seed, Length: c.Length, Rate: c.Rate, Instances: c.Instances, Faults: c.Faults, KeepLogs: c.Keep,
	}, os.Stdout)
	if err != nil {
		return err
	}
	fmt.Println("answers by status (0: none):", verdict.AnswersByStatus)
	fmt.Println("without a complete answer, by excuse:", verdict.Unanswered)
	if c.Keep {
		fmt.Println("logs:", verdict.LogDir)
	}
	return printFindings(verdict.Findings, c.command())
}

// command returns the command line that repeats the run.
func (c *platformSoakCommand) command() string {
	command := fmt.Sprintf("monsoonlab platform-soak --seed %d --length %v --rate %v --instances %d", c.Seed, c.Length, c.Rate, c.Instances)
	if len(c.Faults) > 0 {
		command += " --faults " + strings.Join(c.Faults, ",")
	}
	return command
}
