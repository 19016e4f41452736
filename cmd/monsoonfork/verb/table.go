// Package verb holds the verbs of the command line, one file for each.
package verb

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// entry is one row of the table of verbs.
type verbEntry struct {
	name    string
	summary string
	command any // A pointer to a kong command with a Run(streams) method.
}

// table lists all verbs, in the order in which help shows them.
func verbTable() []verbEntry {
	return []verbEntry{
		{"serve", "Run the daemon of an instance.", &serve{}},
		{"check", "Find the problems of a text.", &check{}},
		{"plan", "Show what a text would change.", &plan{}},
		{"apply", "Make a text the next revision.", &apply{}},
		{"text", "Write the text in force.", &showText{}},
		{"status", "Show what is in force where.", &status{}},
		{"dump", "Show the state of one instance.", &dump{}},
		{"profile", "Profile one instance.", &profile{}},
		{"key", "Make callers' keys.", &key{}},
		{"help", "Explain verbs, types and roles.", &help{}},
	}
}

// streams are where a verb writes.
type streams struct {
	out io.Writer
	err io.Writer
}

// Exit codes of the program.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// Main runs the verb that args name and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	opts := []kong.Option{
		kong.Name("monsoonfork"),
		kong.Description("Router for separate prefill and decode pools."),
		kong.Writers(out, errOut),
		kong.UsageOnError(),
	}
	for _, e := range verbTable() {
		opts = append(opts, kong.DynamicCommand(e.name, e.summary, "", e.command))
	}
	exited, code := false, exitOK
	opts = append(opts, kong.Exit(func(c int) { exited, code = true, c }))
	parser, err := kong.New(&struct{}{}, opts...)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "monsoonfork:", err)
		return exitError
	}
	call, err := parser.Parse(args)
	if exited {
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "monsoonfork:", err)
		return exitUsage
	}
	if err := call.Run(streams{out, errOut}); err != nil {
		_, _ = fmt.Fprintln(errOut, "monsoonfork:", err)
		return exitError
	}
	return exitOK
}
