package verb

import (
	"fmt"

	"monsoonfork/core/strictyaml"
	"monsoonfork/core/text"
)

// check finds the problems of a text without calling anything.
type check struct {
	File string `arg:"" help:"The text, or - for standard input."`
	JSON bool   `name:"json" help:"Answer in JSON."`
}

// Help is the usage text of the verb.
func (c *check) Help() string {
	return `Reads a text and reports all of its problems, each with its line, its field,
what is wrong and what would be right. Calls no instance.

Exit code: 0 without problems, 1 with.

Example:
  monsoonfork check fleet.yaml`
}

// checkAnswer is the answer in JSON.
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
