package verb

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/orders"
	"monsoonfork/io/operator"
)

// status is the verb status, which shows the revision in force at each instance.
type status struct {
	daemonFlags
	Engines bool `help:"Also show the state of the orders to the engines of the failure domain."`
}

// Help is the usage text of the verb.
func (s *status) Help() string {
	return `Shows the newest revision, where it is in force, which instances have an older
one, and which instances and failure domains were not heard from. "Confirmed" is
the time since the store last confirmed that there is no newer revision. It grows
in a domain that is cut off from the store; with CutOffKeys set to RefuseKeyed,
"Keys" then shows that keys are refused.

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
	if s.Engines {
		_, _ = fmt.Fprintf(std.out, "\nOrders are %s\n", orderSummary(answer.Orders))
		printDiffering(std.out, answer.Orders)
	}
	return nil
}

// printStatus writes a status in readable form.
func printStatus(out io.Writer, a operator.Status) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "Instance\t%s in %s, %s\n", a.Instance, a.Domain, readiness(a))
	if a.Config.Revision == 0 {
		_, _ = fmt.Fprintln(w, "Revision\tnone yet")
	} else {
		_, _ = fmt.Fprintf(w, "Revision\t%d, edit %s\n", a.Config.Revision, a.Config.EditID)
	}
	_, _ = fmt.Fprintf(w, "Confirmed\t%s\n", confirmationAge(a.Keys))
	_, _ = fmt.Fprintf(w, "Keys\t%s\n", keySummary(a.Keys))
	_, _ = fmt.Fprintf(w, "Violations\t%d\n", a.Violations)
	_ = w.Flush()
	printInForce(out, a.Config)
	_, _ = fmt.Fprintln(w, "\nDOMAIN\tINSTANCE\tSTATE\tREVISION\tHEARD")
	for _, d := range a.Config.Domains {
		if !d.Replied {
			_, _ = fmt.Fprintf(w, "%s\t-\tnot heard from\t-\t-\n", d.Domain)
		}
		for _, i := range d.Instances {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s ago\n", d.Domain, i.Instance, i.State, i.Revision, formatMilliseconds(i.HeartbeatAgeMS))
		}
	}
	_ = w.Flush()
}

// orderSummary describes whether the instance gives orders to engines, and how many
// engines agree with the configuration text.
func orderSummary(s orders.Status) string {
	if !s.Controller {
		return "given by another instance of the domain, or by none while the store is down"
	}
	agreed := len(s.Engines) - len(s.Differing())
	return fmt.Sprintf("given by this instance, fencing number %d; %d of %d engines agree with the text", s.Fencing, agreed, len(s.Engines))
}

// printDiffering writes the engines that do not agree with the configuration text yet.
func printDiffering(out io.Writer, s orders.Status) {
	differing := s.Differing()
	if len(differing) == 0 {
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nENGINE\tORDERS\tREASON")
	for _, e := range differing {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", e.Engine, e.Phase, e.Reason)
	}
	_ = w.Flush()
}

// readiness describes whether the instance is ready for callers, and if not, why.
func readiness(a operator.Status) string {
	if a.Ready {
		return "ready"
	}
	return "not ready: " + a.NotReadyReason
}

// confirmationAge describes the time since the store last confirmed the revision.
func confirmationAge(k operator.KeyStatus) string {
	if k.SinceConfirmedMS < 0 {
		return "never"
	}
	return formatMilliseconds(k.SinceConfirmedMS) + " ago"
}

// keySummary describes whether the instance accepts callers' keys.
func keySummary(k operator.KeyStatus) string {
	if k.RefusesKeyedRequests {
		return "refused: cut off, and CutOffKeys is RefuseKeyed"
	}
	return fmt.Sprintf("accepted (CutOffKeys %s)", k.CutOffKeys)
}

// formatMilliseconds formats a duration given in milliseconds.
func formatMilliseconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}
