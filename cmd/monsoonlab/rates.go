package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"monsoonfork/lab/rates"
)

// ratesCommand runs a fleet with one organisation above its rate.
type ratesCommand struct {
	Seed      uint64        `default:"1" help:"Seed of requests and faults."`
	Length    time.Duration `default:"100s" help:"Time during which requests are sent."`
	KillEvery time.Duration `default:"4s" help:"Time between two kills; 0 means none."`
	PauseFor  time.Duration `default:"12s" help:"Time for which one instance after the other is paused; 0 means none."`
	CutFor    time.Duration `default:"60s" help:"Time for which a domain is cut off; 0 means none."`
	StoreDown bool          `help:"Keep the store silent throughout."`
	Keep      bool          `help:"Keep the logs of all processes."`
}

// Help is the usage text of the verb.
func (c *ratesCommand) Help() string {
	return `Starts eight instances, each a process of its own, and sends the calls of three
organisations through them: one at five times its rate, two inside theirs.
Meanwhile instances are killed and replaced, paused past every lease, a domain is
cut off from the others and from the store, and the store is silent, as the flags
say. Then checks the admission logs of all processes: in no window more than rate
and burst, and the cut-off domain has admitted its part. Counts refusals that one
exact bucket over all instances would not have made. Run it in the repository.`
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
