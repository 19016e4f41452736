package verb

import (
	"context"
	"fmt"

	"monsoonfork/core/ident"
	"monsoonfork/io/operator"
)

// plan is the verb plan, which shows the changes that a configuration text would make.
type plan struct {
	File string `arg:"" help:"File with the configuration text, or - for standard input."`
	daemonFlags
}

// Help is the usage text of the verb.
func (p *plan) Help() string {
	return `Compares a configuration text with the one in force at an instance and lists the
differences: + added, - removed, ~ changed. Changes nothing. Apply the text with
the printed revision as its base: if someone else changes the text in the
meantime, apply refuses and shows the difference.

Example:
  monsoonfork plan fleet.yaml --operator 10.0.0.7:9002`
}

// Run implements the verb.
func (p *plan) Run(std streams) error {
	raw, err := readText(p.File)
	if err != nil {
		return err
	}
	answer, err := operator.NewClient(ident.Address(p.Operator)).Plan(context.Background(), raw)
	if err != nil {
		return err
	}
	if p.JSON {
		if err := printJSON(std.out, answer); err != nil {
			return err
		}
	}
	if len(answer.Problems) > 0 {
		return problemsError(std, p.File, answer.Problems)
	}
	if p.JSON {
		return nil
	}
	_, _ = fmt.Fprintf(std.out, "Compared with revision %d, this would make %s:\n", answer.Revision, countNoun(len(answer.Changes), "change"))
	for _, change := range answer.Changes {
		_, _ = fmt.Fprintln(std.out, change)
	}
	_, _ = fmt.Fprintf(std.out, "To apply: monsoonfork apply %s --base %d --operator %s\n", p.File, answer.Revision, p.Operator)
	return nil
}
