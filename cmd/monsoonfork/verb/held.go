package verb

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"monsoonfork/core/ident"
	"monsoonfork/io/operator"
)

// held is the verb held, which shows and releases parts of prompts that are held back from
// engines.
type held struct {
	Free    string `placeholder:"PART" help:"Release this part at all instances."`
	Service string `placeholder:"NAME" help:"Service of the part to release."`
	Model   string `placeholder:"NAME" help:"Model of the part to release."`
	daemonFlags
}

// Help is the usage text of the verb.
func (h *held) Help() string {
	return `Shows the parts of prompts under which engines have crashed and that are held back from
engines, for instances on the platform. After the time under RETRY IN one request may try the
part. With --free a part is released at all instances, for instance after the engines were
replaced by a build that serves it. If it still crashes engines, it is held again after three
crashes.

Example:
  monsoonfork held --operator 10.0.0.7:8224
  monsoonfork held --operator 10.0.0.7:8224 --service draft --model m --free 5c1e07a2`
}

// Run implements the verb.
func (h *held) Run(std streams) error {
	client := operator.NewClient(ident.Address(h.Operator))
	if h.Free != "" {
		name := operator.PartName{Service: ident.ServiceID(h.Service), Model: ident.ModelID(h.Model), Part: ident.PartID(h.Free)}
		if err := client.FreePart(context.Background(), name); err != nil {
			return err
		}
		_, err := fmt.Fprintf(std.out, "part %s is released\n", h.Free)
		return err
	}
	list, err := client.Held(context.Background())
	if err != nil {
		return err
	}
	if h.JSON {
		return printJSON(std.out, list)
	}
	printHeld(std.out, list)
	return nil
}

// printHeld writes the held parts as a table.
func printHeld(out io.Writer, list []operator.HeldPart) {
	if len(list) == 0 {
		_, _ = fmt.Fprintln(out, "no part is held")
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tMODEL\tPART\tCRASHES\tREPORTED BY\tLAST CRASH\tRETRY IN")
	for _, p := range list {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s ago\t%s\n", p.Service, p.Model, p.Part, p.Crashes, p.Reporters,
			formatMilliseconds(p.LastCrashMS), formatMilliseconds(p.RetryInMS))
	}
	_ = w.Flush()
}
