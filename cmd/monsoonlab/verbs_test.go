package main

import (
	"testing"

	"github.com/alecthomas/kong"
)

func TestEveryVerbParsesAndHasHelp(t *testing.T) {
	parser, err := newParser(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range verbs() {
		if _, err := parser.Parse([]string{v.name}); err != nil {
			t.Errorf("%s: %v", v.name, err)
		}
		if help, ok := v.command.(kong.HelpProvider); !ok || help.Help() == "" || v.summary == "" {
			t.Errorf("%s has no help or no summary", v.name)
		}
	}
}

func TestInvalidArgumentsAreRejected(t *testing.T) {
	parser, err := newParser(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"engine", "--nothing"}, {"engine", "--role", "both"}, {"nothing"}} {
		if _, err := parser.Parse(args); err == nil {
			t.Errorf("%v was accepted", args)
		}
	}
}
