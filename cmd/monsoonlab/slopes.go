package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"monsoonfork/lab/slopes"
)

// slopesCommand measures what a daemon costs.
type slopesCommand struct {
	Axis     []string      `help:"Axes to measure: Instances, Engines, Organisations, Requests; none means all."`
	Settle   time.Duration `default:"8s" help:"Time before each measurement."`
	Window   time.Duration `default:"15s" help:"Length of each measurement."`
	Seed     uint64        `default:"1" help:"Seed of the requests."`
	CSV      string        `help:"File for the points as CSV."`
	Profiles string        `help:"Directory for the processor profiles." type:"path"`
}

// Help is the usage text of the verb.
func (c *slopesCommand) Help() string {
	return `Measures the processor time, memory, bytes sent and store calls of daemons at
several sizes of a fleet, and prints a line of least squares for each cost. Run it
in the repository, on a machine that does nothing else.

Example:
  monsoonlab slopes --axis Instances,Requests --csv slopes.csv`
}

// Run implements the verb.
func (c *slopesCommand) Run(ctx context.Context) error {
	axes, err := c.axes()
	if err != nil {
		return err
	}
	fmt.Println(slopes.Header)
	points, err := slopes.Run(ctx, slopes.Config{Axes: axes, Settle: c.Settle, Window: c.Window, Seed: c.Seed, ProfileDir: c.Profiles}, os.Stdout)
	if err != nil {
		return err
	}
	if err := slopes.Print(os.Stdout, slopes.Lines(points)); err != nil {
		return err
	}
	if c.CSV == "" {
		return nil
	}
	return slopes.WriteCSV(c.CSV, points)
}

// axes returns the axes that were asked for.
func (c *slopesCommand) axes() ([]slopes.Axis, error) {
	if len(c.Axis) == 0 {
		return slopes.Axes(), nil
	}
	var axes []slopes.Axis
	for _, name := range c.Axis {
		found := false
		for _, a := range slopes.Axes() {
			if strings.EqualFold(name, a.String()) {
				axes, found = append(axes, a), true
			}
		}
		if !found {
			return nil, fmt.Errorf("--axis: %q is not an axis; give Instances, Engines, Organisations or Requests", name)
		}
	}
	return axes, nil
}
