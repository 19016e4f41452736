// Package verb implements the verbs of the command monsoonfork, one file each.
package verb

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// verbEntry is one verb of the command line.
type verbEntry struct {
	name    string
	summary string
	command any // A pointer to a kong command with a Run(streams) method.
}

// verbTable returns all verbs, in the order in which help lists them.
func verbTable() []verbEntry {
	return []verbEntry{
		{"serve", "Run the daemon of an instance.", &serve{}},
		{"check", "Validate a configuration text.", &check{}},
		{"plan", "Show the changes that a configuration text would make.", &plan{}},
		{"apply", "Make a configuration text the next revision.", &apply{}},
		{"text", "Print the configuration text in force.", &showText{}},
		{"status", "Show the revision in force at each instance.", &status{}},
		{"dump", "Print the internal state of one instance as JSON.", &dump{}},
		{"held", "Show or release parts of prompts that are held back from engines.", &held{}},
		{"profile", "Record a CPU profile of one instance.", &profile{}},
		{"key", "Create callers' keys.", &key{}},
		{"help", "Show the usage of verbs, and the reference of types, roles and events.", &help{}},
	}
}

// streams are the outputs of a verb.
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

// Main runs the verb named by args and returns the exit code.
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
