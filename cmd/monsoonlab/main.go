// Command monsoonlab serves stand-ins for the systems around monsoonfork, and runs
// load tests and experiments against it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commandLine is the root of the command line. The verbs are added by newParser.
type commandLine struct{}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run runs one verb and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser, err := newParser(ctx)
	if err != nil {
		return fail(err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		parser.FatalIfErrorf(err)
	}
	if err := parsed.Run(); err != nil {
		return fail(err)
	}
	return 0
}

// newParser returns the parser of all verbs.
func newParser(ctx context.Context) (*kong.Kong, error) {
	options := []kong.Option{
		kong.Name("monsoonlab"),
		kong.Description("Stand-ins, load tests and experiments for monsoonfork."),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)),
	}
	for _, v := range verbs() {
		options = append(options, kong.DynamicCommand(v.name, v.summary, "", v.command))
	}
	return kong.New(&commandLine{}, options...)
}

// fail prints err and returns the exit code for failures.
func fail(err error) int {
	_, _ = os.Stderr.WriteString("monsoonlab: " + err.Error() + "\n")
	return 1
}
