package quickstart

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"monsoonfork/core/text"
	"monsoonfork/lab/fleet"
)

// showText prints a summary of the configuration text in force.
func showText(ctx context.Context, out io.Writer, f *fleet.Fleet) error {
	printed, err := f.RunCommand(ctx, "text", "--operator", string(f.Instances[0].Settings.OperatorAddress))
	if err != nil {
		return err
	}
	revision, raw, _ := strings.Cut(printed, "\n")
	t, err := text.ParseValid([]byte(raw))
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "\nThe text in force (monsoonfork text), %s, in short:\n", revision)
	for _, e := range t.Engines {
		_, _ = fmt.Fprintf(w, "  engine\t%s\t%s\t%s of %v\n", e.Name, e.Domain, e.Role, e.Models)
	}
	for _, s := range t.Services {
		for _, e := range s.Endpoints {
			_, _ = fmt.Fprintf(w, "  endpoint\t%s\t%s\tof service %s\n", e.Name, e.Domain, s.Name)
		}
	}
	for _, r := range t.Routes {
		_, _ = fmt.Fprintf(w, "  route\t%s\t%s %s\tto service %s, %s\n", r.Name, r.Method, r.Path, r.Service, routeRules(r))
	}
	for _, o := range t.Organisations {
		_, _ = fmt.Fprintf(w, "  organisation\t%s\t%.0f tokens a second\tburst %d\n", o.Name, o.Rate, o.Burst)
	}
	return w.Flush()
}

// routeRules describes who may call a route, and whether a call may be repeated.
func routeRules(r text.Route) string {
	repeated := "at most once"
	if r.Idempotent {
		repeated = "may be repeated"
	}
	return strings.ToLower(r.Access.String()) + ", " + repeated
}
