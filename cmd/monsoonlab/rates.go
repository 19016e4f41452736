package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"monsoonfork/lab/rates"
)

// ratesCommand is the verb rates, which checks rate limits under faults.
type ratesCommand struct {
	Seed      uint64        `default:"1" help:"Seed of the random requests and faults."`
	Length    time.Duration `default:"100s" help:"Time during which requests are sent."`
	KillEvery time.Duration `default:"4s" help:"Time between two kills of an instance; 0 means no kills."`
	PauseFor  time.Duration `default:"12s" help:"Time for which each instance in turn is paused; 0 means no pauses."`
	CutFor    time.Duration `default:"60s" help:"Time for which a failure domain is cut off; 0 means never."`
	StoreDown bool          `help:"Let the store not answer during the whole run."`
	Keep      bool          `help:"Keep the logs of all processes."`
}

// Help is the usage text of the verb.
func (c *ratesCommand) Help() string {
	return `Starts eight instances, each as a separate process, and sends calls of three
organisations to them: one at five times its rate, two within theirs. Depending
on the flags, instances are killed and replaced or paused for longer than every
lease, a failure domain is cut off from the others and from the store, or the
store does not answer. Then checks the admission logs of all processes: no window
has more than rate and burst, and the cut-off domain has admitted its share.
Counts refusals that a single token bucket over all instances would not have
made. Run it in the repository.`
}

// Run implements the verb.
func (c *ratesCommand) Run(ctx context.Context) error {
	verdict, err := rates.Run(ctx, rates.Config{
		Seed:      c.Seed,
		Length:    c.Length,
		KillEvery: c.KillEvery,
		PauseFor:  c.PauseFor,
		CutFor:    c.CutFor,
		StoreDown: c.StoreDown,
		Keep:      c.Keep,
	}, os.Stdout)
	if err != nil {
		return err
	}
	verdict.Print(os.Stdout)
	if c.Keep {
		fmt.Println("logs:", verdict.Dir)
	}
	if n := len(verdict.Findings); n > 0 {
		return fmt.Errorf("%d findings with seed %d", n, c.Seed)
	}
	return nil
}
