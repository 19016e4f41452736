package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"monsoonfork/cmd/monsoonfork/verb"
)

// update makes the tests write their expected outputs instead of comparing with them.
var update = flag.Bool("update", false, "update the expected outputs and the examples in the documentation")

// mask replaces output that differs from run to run, such as random values and times.
type mask struct {
	pattern     *regexp.Regexp
	replacement string
}

// masks are applied to the output of every command.
var masks = []mask{
	{regexp.MustCompile(`mf_planner_[0-9A-Za-z_-]+`), "mf_planner_SECRET"},
	{regexp.MustCompile(`("?Salt"?: "?)[0-9a-f]+`), "${1}0123456789abcdef0123456789abcdef"},
	{regexp.MustCompile(`("?Digest"?: "?)[0-9a-f]+`), "${1}0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"},
	{regexp.MustCompile(`\b(entry-[0-9]|edit)-[0-9a-f]{16}\b`), "${1}-0123456789abcdef"},
	{regexp.MustCompile(`\b[0-9.]+(ms|s) ago`), "80ms ago"},
	{regexp.MustCompile(`Waited [0-9.]+m?s`), "Waited 210ms"},
}

// runCommand runs a command line of monsoonfork and returns its masked output, with
// the exit code appended if that is not 0.
func runCommand(line string) string {
	args := strings.Fields(line)
	var out bytes.Buffer
	code := verb.Main(args[1:], &out, &out)
	printed := out.String()
	for _, m := range masks {
		printed = m.pattern.ReplaceAllString(printed, m.replacement)
	}
	if code != 0 {
		printed += fmt.Sprintf("(exit code %d)\n", code)
	}
	return printed
}

// TestCases compares the output of the command in each directory of testdata/cases with
// its expected output.
func TestCases(t *testing.T) {
	t.Setenv("COLUMNS", "80")
	commands, err := filepath.Glob("testdata/cases/*/cmd")
	if err != nil || len(commands) == 0 {
		t.Fatalf("%d cases: %v", len(commands), err)
	}
	for _, path := range commands {
		dir := filepath.Dir(path)
		t.Run(filepath.Base(dir), func(t *testing.T) {
			t.Chdir(dir)
			line, err := os.ReadFile("cmd")
			if err != nil {
				t.Fatal(err)
			}
			got := runCommand(string(line))
			if *update {
				if err := os.WriteFile("expected_output", []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			want, err := os.ReadFile("expected_output")
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("%s\nprinted:\n%s\nwant:\n%s", line, got, want)
			}
		})
	}
}
