package main

import (
	"fmt"

	"github.com/alecthomas/kong"
)

// helpCommand is the verb help, which prints the usage text of a verb.
type helpCommand struct {
	Verb string `arg:"" optional:"" help:"Name of a verb."`
}

// Help is the usage text of the verb.
func (c *helpCommand) Help() string {
	return `Prints the usage text of a verb, or lists all verbs.`
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
			fmt.Println(v.command.(kong.HelpProvider).Help())
			fmt.Printf("\nFlags: monsoonlab %s --help\n", v.name)
			return nil
		}
	}
	return fmt.Errorf("unknown verb %q", c.Verb)
}
