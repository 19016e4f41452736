package verb

import (
	"fmt"

	"monsoonfork/core/strictyaml"
	"monsoonfork/core/text"
)

// check is the verb check, which validates a configuration text without calling an instance.
type check struct {
	File string `arg:"" help:"File with the configuration text, or - for standard input."`
	JSON bool   `name:"json" help:"Print the result as JSON."`
}

// Help is the usage text of the verb.
func (c *check) Help() string {
	return `Validates a configuration text and reports all of its problems, each with the
line, the field, what is wrong and how to correct it. Calls no instance.

Exit code: 0 if there are no problems, else 1.

Example:
  monsoonfork check fleet.yaml`
}

// checkAnswer is the output of check in JSON.
type checkAnswer struct {
	Problems strictyaml.Problems
}

// Run implements the verb.
func (c *check) Run(std streams) error {
	raw, err := readText(c.File)
	if err != nil {
		return err
	}
	t, problems := text.Parse(raw)
	if c.JSON {
		if err := printJSON(std.out, checkAnswer{problems}); err != nil {
			return err
		}
	}
	if len(problems) > 0 {
		return problemsError(std, c.File, problems)
	}
	if !c.JSON {
		_, _ = fmt.Fprintf(std.out, "%s: no problems. %s, %s, %s, %s, %s, %s.\n", c.File,
			countNoun(len(t.Domains), "domain"), countNoun(len(t.Engines), "engine"), countNoun(len(t.Services), "service"),
			countNoun(len(t.Routes), "route"), countNoun(len(t.Organisations), "organisation"), countNoun(len(t.Keys), "key"))
	}
	return nil
}
