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

// handoverCommand is the verb handover, which measures the failover of a dispatcher.
type handoverCommand struct {
	Workload   []string      `default:"tuinhulp,tatrasoft" help:"Workloads: tuinhulp, tatrasoft."`
	Load       float64       `default:"0.9" help:"Load factor: demand within the organisations' rates, divided by the capacity."`
	Seed       []uint64      `default:"1" help:"Seeds of the request arrivals."`
	Length     time.Duration `default:"18s" help:"Time during which requests arrive; the crash is in the middle of it."`
	NoLearning bool          `help:"Let the new dispatcher place requests without learning which slots are held."`
}

// Help is the usage text of the verb.
func (c *handoverCommand) Help() string {
	return `Crashes the dispatcher of one failure domain at peak load. Prints, in
milliseconds since the crash, when the new dispatcher placed its first request
and from when on its count of reserved slots agreed with the engines; the
largest number of slots missing from that count; by how much the decode engines
held more requests than they have slots (the maximum, and in slot-seconds)
before and after the crash; and the outcomes of the requests within their rate at
the other instances in the 3 s before and after: all, good, refused, broken. The
other instances detect the crash after 500 ms.`
}

// Run implements the verb.
func (c *handoverCommand) Run(ctx context.Context) error {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(out, "Workload\tSeed\tLearning\tGrantedMS\tRightMS\tMissed\tOverBefore\tOverAfter\tBefore\tAfter\tWithOwner\t")
	for _, name := range c.Workload {
		w, err := bench.FindWorkload(name)
		if err != nil {
			return err
		}
		for _, seed := range c.Seed {
			r := bench.Round{Workload: w, Policy: text.Paired, Load: c.Load, Seed: seed, Length: c.Length, EnforceRates: true}
			h, err := r.RunHandover(ctx, !c.NoLearning)
			if err != nil {
				return err
			}
			printHandover(out, h)
		}
	}
	return out.Flush()
}

// printHandover writes one row of the table.
func printHandover(out *tabwriter.Writer, h *bench.Handover) {
	_, _ = fmt.Fprintf(out, "%s\t%d\t%t\t%d\t%d\t%d\t%d, %.2f\t%d, %.2f\t%v\t%v\t%d\t\n",
		h.Workload, h.Seed, h.Learning, h.FirstGrantDelay.Milliseconds(), h.ReconcileDelay.Milliseconds(), h.MaxUncountedSlots,
		h.OvercommitBefore.MaxSlots, h.OvercommitBefore.SlotSeconds, h.OvercommitAfter.MaxSlots, h.OvercommitAfter.SlotSeconds,
		h.Requests[0], h.Requests[1], h.LeasesAtCrash)
}
