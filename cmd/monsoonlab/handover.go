package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"monsoonfork/core/text"
	"monsoonfork/lab/bench"
)

// handoverCommand measures the hand-over of a dispatcher.
type handoverCommand struct {
	Workload   []string      `default:"tuinhulp,tatrasoft" help:"Workloads: tuinhulp, tatrasoft."`
	Load       float64       `default:"0.9" help:"Demand within the rates, over the capacity."`
	Seed       []uint64      `default:"1" help:"Seeds of the arrivals."`
	Length     time.Duration `default:"18s" help:"Length of a round's arrivals; the crash is in its middle."`
	NoLearning bool          `help:"Let the new dispatcher place without learning what is held."`
}

// Help is the usage text of the verb.
func (c *handoverCommand) Help() string {
	return `Crashes the instance that dispatches in one failure domain at peak load and
prints, in milliseconds since the crash, when the new dispatcher placed its
first request and when its count of reserved slots agreed with the engines for
good; the most slots that it missed; by how much the decode engines held more
requests than slots (most at once, and slot-seconds) before and after; and what
became of the requests in rate of the other instances in the 3 s before and
after: all, good, refused, broken. Members notice the crash after 500 ms.`
}

// Run implements the verb.
func (c *handoverCommand) Run(ctx context.Context) error {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(out, "Workload\tSeed\tLearning\tGrantedMS\tRightMS\tMissed\tOverBefore\tOverAfter\tBefore\tAfter\tWithOwner\t")
	for _, name := range c.Workload {
		w, err := bench.WorkloadNamed(name)
		if err != nil {
			return err
		}
		for _, seed := range c.Seed {
			r := bench.Round{Workload: w, Policy: text.Paired, Load: c.Load, Seed: seed, Length: c.Length, Admit: true}
			h, err := r.RunHandover(ctx, !c.NoLearning)
			if err != nil {
				return err
			}
			printHandover(out, h)
		}
	}
	return out.Flush()
}

// printHandover writes one row.
func printHandover(out *tabwriter.Writer, h *bench.Handover) {
	_, _ = fmt.Fprintf(out, "%s\t%d\t%t\t%d\t%d\t%d\t%d, %.2f\t%d, %.2f\t%v\t%v\t%d\t\n",
		h.Workload, h.Seed, h.Learning, h.Granted.Milliseconds(), h.Right.Milliseconds(), h.Wrong,
		h.Before.Most, h.Before.SlotSeconds, h.After.Most, h.After.SlotSeconds,
		h.Requests[0], h.Requests[1], h.WithOwner)
}
