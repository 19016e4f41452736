package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/lab/ratelog"
)

// judgeRatesCommand is the verb judge-rates, which compares logged admissions with one exact bucket.
type judgeRatesCommand struct {
	Log       string        `arg:"" default:"-" help:"File with the log lines of all instances; - reads standard input."`
	PlainCost int64         `default:"200" help:"Tokens that a request without a prompt is charged with."`
	Window    time.Duration `default:"8s" help:"Window in which the admitted tokens are summed."`
	Plot      string        `help:"SVG file to draw the organisation with most wrongful refusals in."`
}

// Help is the usage text of the verb.
func (c *judgeRatesCommand) Help() string {
	return `Reads the log lines of instances and gives the requests of each organisation
of which one was refused for its rate to one exact token bucket, in the order of
their times. Prints for each how many were refused by the instances, by the exact
bucket, and by the instances alone, and the most tokens in a window as a multiple
of what the rate and burst allow.

Example:

    monsoonlab judge-rates --plot org.svg instances.log`
}

// Run implements the verb.
func (c *judgeRatesCommand) Run() error {
	var in io.Reader = os.Stdin
	if c.Log != "-" {
		f, err := os.Open(c.Log)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	tries, err := ratelog.Read(in, ident.Tokens(c.PlainCost))
	if err != nil {
		return err
	}
	verdicts := ratelog.Judge(tries, c.Window)
	if len(verdicts) == 0 {
		fmt.Println("no request was refused for the rate of its organisation")
		return nil
	}
	if c.Plot != "" {
		if err := ratelog.WritePlot(c.Plot, verdicts[0]); err != nil {
			return err
		}
	}
	return ratelog.Print(os.Stdout, verdicts)
}
