package verb

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/io/operator"
)

// status shows what is in force where.
type status struct {
	remote
}

// Help is the usage text of the verb.
func (s *status) Help() string {
	return `Shows the newest revision, where it is in force, which instances are behind,
and which instances and domains were not heard from. "Confirmed" is how long ago
the store said that there is no newer revision; a cut-off domain shows a growing
age there, and under the policy RefuseKeyed it says that keys are refused.

Example:
  monsoonfork status --operator 10.0.0.7:9002`
}

// Run implements the verb.
func (s *status) Run(std streams) error {
	answer, err := operator.NewClient(ident.Address(s.Operator)).Status(context.Background())
	if err != nil {
		return err
	}
	if s.JSON {
		return printJSON(std.out, answer)
	}
	printStatus(std.out, answer)
	return nil
}

// printStatus writes a status for people.
func printStatus(out io.Writer, a operator.Status) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "Instance\t%s in %s, %s\n", a.Instance, a.Domain, readiness(a))
	if a.Config.Revision == 0 {
		_, _ = fmt.Fprintln(w, "Revision\tnone yet")
	} else {
		_, _ = fmt.Fprintf(w, "Revision\t%d, edit %s\n", a.Config.Revision, a.Config.EditID)
	}
	_, _ = fmt.Fprintf(w, "Confirmed\t%s\n", confirmation(a.Keys))
	_, _ = fmt.Fprintf(w, "Keys\t%s\n", keyState(a.Keys))
	_, _ = fmt.Fprintf(w, "Violations\t%d\n", a.Violations)
	_ = w.Flush()
	printForce(out, a.Config)
	_, _ = fmt.Fprintln(w, "\nDOMAIN\tINSTANCE\tSTATE\tREVISION\tHEARD")
	for _, d := range a.Config.Domains {
		if !d.Heard {
			_, _ = fmt.Fprintf(w, "%s\t-\tnot heard from\t-\t-\n", d.Domain)
		}
		for _, i := range d.Instances {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s ago\n", d.Domain, i.Instance, i.State, i.Revision, milliseconds(i.HeardMS))
		}
	}
	_ = w.Flush()
}

// readiness says whether the instance gets callers, and why not.
func readiness(a operator.Status) string {
	if a.Ready {
		return "ready"
	}
	return "not ready: " + a.NotReady
}

// confirmation says how old the store's last word is.
func confirmation(k operator.KeyStatus) string {
	if k.ConfirmedMS < 0 {
		return "never"
	}
	return milliseconds(k.ConfirmedMS) + " ago"
}

// keyState says what the instance does with keys.
func keyState(k operator.KeyStatus) string {
	if k.RefusesKeyed {
		return "refused: cut off, and CutOffKeys is RefuseKeyed"
	}
	return fmt.Sprintf("accepted (CutOffKeys %s)", k.CutOffKeys)
}

// milliseconds writes a time in milliseconds.
func milliseconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}
