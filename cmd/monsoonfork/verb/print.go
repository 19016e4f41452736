package verb

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"monsoonfork/core/config/relay"
	"monsoonfork/core/fault"
	"monsoonfork/core/strictyaml"
)

// daemonFlags are the flags of verbs that call a daemon.
type daemonFlags struct {
	Operator string `required:"" env:"MONSOONFORK_OPERATOR" placeholder:"ADDRESS" help:"Operator address of any instance."`
	JSON     bool   `name:"json" help:"Print the result as JSON."`
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode the answer")
	}
	_, err = fmt.Fprintf(w, "%s\n", raw)
	return err
}

// problemsError prints the problems of a file and returns the verb's error.
func problemsError(std streams, file string, problems strictyaml.Problems) error {
	for _, p := range problems {
		_, _ = fmt.Fprintf(std.err, "%s: %s\n", file, p)
	}
	return fault.New(fault.BadText, "%s has %s", file, countNoun(len(problems), "problem"))
}

// countNoun returns a number with a noun in singular or plural.
func countNoun(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// printInForce prints where a revision is in force and where that is not known.
func printInForce(w io.Writer, s relay.Status) {
	if s.InForce {
		instances := 0
		for _, d := range s.Domains {
			instances += len(d.Instances)
		}
		_, _ = fmt.Fprintf(w, "In force everywhere: %s in %s.\n", countNoun(instances, "instance"), countNoun(len(s.Domains), "domain"))
		return
	}
	_, _ = fmt.Fprintln(w, "Not known to be in force everywhere.")
	if len(s.Outdated) > 0 {
		_, _ = fmt.Fprintf(w, "Behind:         %s\n", strings.Join(s.Outdated, ", "))
	}
	if len(s.Unreachable) > 0 {
		_, _ = fmt.Fprintf(w, "Not heard from: %s\n", strings.Join(s.Unreachable, ", "))
	}
}
