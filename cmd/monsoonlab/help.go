package main

import (
	"fmt"
	"strings"
)

const helpUsage = `Usage: monsoonlab help [VERB]

Explains VERB, or lists all verbs.
`

// helpCommand explains verbs.
type helpCommand struct {
	Verb string `arg:"" optional:"" help:"Verb to explain."`
}

// Run implements the verb.
func (c *helpCommand) Run() error {
	if c.Verb == "" {
		for _, v := range verbs() {
			fmt.Printf("%-12s %s\n", v.name, v.summary)
		}
		return nil
	}
	for _, v := range verbs() {
		if v.name == c.Verb {
			fmt.Print(strings.TrimLeft(v.usage, "\n"))
			return nil
		}
	}
	return fmt.Errorf("no verb %q", c.Verb)
}
