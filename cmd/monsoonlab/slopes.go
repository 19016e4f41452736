package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"monsoonfork/lab/slopes"
)

// slopesCommand is the verb slopes, which measures how the resource use of a daemon
// grows with the fleet.
type slopesCommand struct {
	Axis     []string      `help:"Axes to measure: Instances, Engines, Organisations, Requests; none means all."`
	Settle   time.Duration `default:"8s" help:"Time before each measurement."`
	Window   time.Duration `default:"15s" help:"Duration of each measurement."`
	Seed     uint64        `default:"1" help:"Seed of the random requests."`
	CSV      string        `help:"File to write the data points to as CSV."`
	Profiles string        `help:"Directory to write the CPU profiles to." type:"path"`
}

// Help is the usage text of the verb.
func (c *slopesCommand) Help() string {
	return `Measures the CPU time, memory, bytes sent and store calls of daemons at several
fleet sizes, and prints a least-squares fit for each of them. Run it in the
repository, on an otherwise idle machine.

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
	if err := slopes.Print(os.Stdout, slopes.FitLines(points)); err != nil {
		return err
	}
	if c.CSV == "" {
		return nil
	}
	return slopes.WriteCSV(c.CSV, points)
}

// axes returns the axes selected by the flag, or all.
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
