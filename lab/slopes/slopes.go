// Package slopes measures what a daemon costs against the number of instances,
// engines, organisations and requests, for the capacity page.
package slopes

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/google/pprof/profile"

	"monsoonfork/core/ident"
	"monsoonfork/lab/fleet"
	"monsoonfork/lab/load"
	"monsoonfork/lab/process"
	"monsoonfork/lab/workload"
)

// Axis is what varies along a line of measurements.
type Axis int

//go:generate stringer -type=Axis -output=slopes_string.go

// The axes.
const (
	Instances     Axis = iota // Instances in one failure domain.
	Engines                   // Engines in the text.
	Organisations             // Organisations in the text.
	Requests                  // Requests a second and daemon.
	axisCount
)

// Axes returns all axes, in order.
func Axes() []Axis {
	axes := make([]Axis, 0, axisCount)
	for a := Instances; a < axisCount; a++ {
		axes = append(axes, a)
	}
	return axes
}

// values are the points of each line.
var values = map[Axis][]int{
	Instances:     {2, 4, 8, 16, 32, 43},
	Engines:       {4, 24, 48, 98},
	Organisations: {5, 130, 260, 520},
	Requests:      {0, 5, 10, 25},
}

// Sizes of a fleet where they do not vary.
const (
	fixedInstances     = 4
	fixedEngines       = 4
	fixedOrganisations = 5
	requestEngines     = 24 // Enough for the most requests.
)

// smallInstance gives each daemon the processors of a small instance.
const smallInstance = "GOMAXPROCS=2"

// Point is one measurement. Costs are means over the daemons.
type Point struct {
	Axis       Axis
	Value      int
	CPUPercent float64     // Of one core, all work.
	ControlCPU float64     // Of that, decisions and messages between instances and with the store.
	Memory     ident.Bytes // Resident.
	BytesOut   float64     // To other instances, a second.
	Reads      float64     // Of the store by all daemons together, a minute.
	Writes     float64     // To the store by all daemons together, a minute.
	Watches    float64     // Long polls that wait at the store.
	Served     float64     // Requests a second and daemon that were answered whole.
}

// Config says how to measure.
type Config struct {
	Axes   []Axis
	Settle time.Duration // Time before each measurement.
	Window time.Duration // Length of each measurement.
	Seed   uint64

	ProfileDir string // Directory for the profiles; empty means that none are kept.
}

// Run measures all lines and returns their points.
func Run(ctx context.Context, cfg Config, progress io.Writer) ([]Point, error) {
	var points []Point
	for _, axis := range cfg.Axes {
		for _, value := range values[axis] {
			p, err := measure(ctx, cfg, axis, value)
			if err != nil {
				return points, fmt.Errorf("%s %d: %w", axis, value, err)
			}
			_, _ = fmt.Fprintln(progress, p.Row())
			points = append(points, p)
		}
	}
	return points, nil
}

// measure starts a fleet, lets it settle and measures one window.
func measure(ctx context.Context, cfg Config, axis Axis, value int) (Point, error) {
	runner, err := process.NewRunner()
	if err != nil {
		return Point{}, err
	}
	defer func() { _ = runner.Close() }()
	f, err := fleet.Start(ctx, runner, spec(cfg, axis, value))
	if err != nil {
		return Point{}, err
	}
	defer func() { _ = f.Close() }()
	if err := pause(ctx, cfg.Settle); err != nil {
		return Point{}, err
	}
	before, err := sampleFleet(ctx, f)
	if err != nil {
		return Point{}, err
	}
	profiles := make(chan profileResult, 1)
	go func() {
		p, err := profileFleet(ctx, f, cfg.Window)
		profiles <- profileResult{p, err}
	}()
	served, err := loadFor(ctx, cfg, f, axis, value)
	if err != nil {
		return Point{}, err
	}
	after, err := sampleFleet(ctx, f)
	if err != nil {
		return Point{}, err
	}
	profiled := <-profiles
	if profiled.err != nil {
		return Point{}, profiled.err
	}
	if cfg.ProfileDir != "" {
		name := fmt.Sprintf("%s-%d.prof", axis, value)
		if err := writeProfile(filepath.Join(cfg.ProfileDir, name), profiled.profile); err != nil {
			return Point{}, err
		}
	}
	p := after.since(before, len(f.Instances))
	p.ControlCPU = p.CPUPercent * shareOf(count(profiled.profile))
	p.Axis, p.Value = axis, value
	p.Served = served / after.at.Sub(before.at).Seconds() / float64(len(f.Instances))
	return p, nil
}

// profileResult is what profileFleet returns.
type profileResult struct {
	profile *profile.Profile
	err     error
}

// loadFor passes the window, with requests if the axis is theirs, and returns
// how many were answered whole.
func loadFor(ctx context.Context, cfg Config, f *fleet.Fleet, axis Axis, value int) (float64, error) {
	if axis != Requests || value == 0 {
		return 0, pause(ctx, cfg.Window)
	}
	report := load.Run(ctx, load.Config{
		Workload:  f.Spec.Workload,
		Rate:      float64(value * len(f.Instances)),
		Seed:      cfg.Seed,
		Length:    cfg.Window,
		Keys:      f.Keys,
		Instances: f.InUse,
		Timeout:   30 * time.Second,
	})
	return float64(report.Total(load.Whole)), nil
}

// spec returns the fleet for one point: one failure domain, all stand-ins in
// this process, so that only daemons are measured.
func spec(cfg Config, axis Axis, value int) fleet.Spec {
	sizes := map[Axis]int{Instances: fixedInstances, Engines: fixedEngines, Organisations: fixedOrganisations}
	sizes[axis] = value
	if axis == Requests {
		sizes[Engines] = requestEngines
	}
	w := workload.Tatrasoft()
	w.Domains = w.Domains[:1]
	w.Prefill = max(1, sizes[Engines]/3)
	w.Decode = sizes[Engines] - w.Prefill
	w.Services = 2
	w.Organisations = organisations(sizes[Organisations])
	return fleet.Spec{Workload: w, Instances: sizes[Instances], Embedded: true, Seed: cfg.Seed, Env: []string{smallInstance}}
}

// organisations returns organisations of equal share whose rates never limit.
func organisations(n int) []workload.Organisation {
	list := make([]workload.Organisation, 0, n)
	for i := range n {
		list = append(list, workload.Organisation{
			Name:  ident.OrganisationID(fmt.Sprintf("organisation-%d", i)),
			Share: 1,
			Rate:  100_000,
			Burst: 400_000,
		})
	}
	return list
}

// pause waits for d.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
