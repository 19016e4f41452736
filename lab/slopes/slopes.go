// Package slopes measures how the resource use of a daemon grows with the numbers of
// instances, engines, organisations and requests. The results are the basis for
// capacity planning.
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

// Axis is the quantity that is varied in a series of measurements.
type Axis int

//go:generate stringer -type=Axis -output=slopes_string.go

// The axes. The other quantities keep their defaults.
const (
	Instances     Axis = iota // Instances in one failure domain.
	Engines                   // Engines in the configuration.
	Organisations             // Organisations in the configuration.
	Requests                  // Requests per second and daemon.
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

// axisValues are the values measured on each axis.
var axisValues = map[Axis][]int{
	Instances:     {2, 4, 8, 16, 32, 43},
	Engines:       {4, 24, 48, 98},
	Organisations: {5, 130, 260, 520},
	Requests:      {0, 5, 10, 25},
}

// Sizes of the fleet on the axes that do not vary them.
const (
	defaultInstances     = 4
	defaultEngines       = 4
	defaultOrganisations = 5
	requestAxisEngines   = 24 // On the axis Requests; enough engines for its largest value.
)

// daemonEnv is the environment of each daemon: it limits the daemon to the 2 CPUs of
// a small instance.
const daemonEnv = "GOMAXPROCS=2"

// Point is the measurement at one value of an axis. Costs are means over the daemons
// unless stated otherwise.
type Point struct {
	Axis        Axis
	Value       int
	CPUPercent  float64     // CPU time as a percentage of one core.
	ControlCPU  float64     // Part of CPUPercent that is control plane: decisions, and messages with other instances, the store and operators.
	MemoryBytes ident.Bytes // Resident memory.
	BytesOut    float64     // Bytes per second sent to other instances.
	StoreReads  float64     // Per minute, of all daemons together.
	StoreWrites float64     // Per minute, of all daemons together.
	Watches     float64     // Long polls open at the store at the end of the window, of all daemons together.
	Served      float64     // Requests per second and daemon with a complete response.
}

// Config configures the measurements.
type Config struct {
	Axes   []Axis
	Settle time.Duration // Time from the start of a fleet to the start of its measurement.
	Window time.Duration // Duration of each measurement.
	Seed   uint64

	ProfileDir string // Directory for the CPU profiles; empty means that none are written.
}

// Run measures all values of the configured axes and returns the points. It writes
// each point as a table row to progress. On an error it also returns the points
// measured so far.
func Run(ctx context.Context, cfg Config, progress io.Writer) ([]Point, error) {
	var points []Point
	for _, axis := range cfg.Axes {
		for _, value := range axisValues[axis] {
			p, err := measurePoint(ctx, cfg, axis, value)
			if err != nil {
				return points, fmt.Errorf("%s %d: %w", axis, value, err)
			}
			_, _ = fmt.Fprintln(progress, p.Row())
			points = append(points, p)
		}
	}
	return points, nil
}

// measurePoint starts a fleet, waits for it to settle and measures one window.
func measurePoint(ctx context.Context, cfg Config, axis Axis, value int) (Point, error) {
	runner, err := process.NewRunner()
	if err != nil {
		return Point{}, err
	}
	defer func() { _ = runner.Close() }()
	f, err := fleet.Start(ctx, runner, fleetSpec(cfg, axis, value))
	if err != nil {
		return Point{}, err
	}
	defer func() { _ = f.Close() }()
	if err := wait(ctx, cfg.Settle); err != nil {
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
	served, err := runWindow(ctx, cfg, f, axis, value)
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
	p := after.costSince(before, len(f.Instances))
	p.ControlCPU = p.CPUPercent * controlShare(countByClass(profiled.profile))
	p.Axis, p.Value = axis, value
	p.Served = served / after.takenAt.Sub(before.takenAt).Seconds() / float64(len(f.Instances))
	return p, nil
}

// profileResult holds the results of profileFleet.
type profileResult struct {
	profile *profile.Profile
	err     error
}

// runWindow lasts for the window. On the axis Requests it sends requests meanwhile and
// returns how many had a complete response; on the other axes it sends none.
func runWindow(ctx context.Context, cfg Config, f *fleet.Fleet, axis Axis, value int) (float64, error) {
	if axis != Requests || value == 0 {
		return 0, wait(ctx, cfg.Window)
	}
	report := load.Run(ctx, load.Config{
		Workload:  f.Spec.Workload,
		Rate:      float64(value * len(f.Instances)),
		Seed:      cfg.Seed,
		Duration:  cfg.Window,
		Keys:      f.Keys,
		Instances: f.InUse,
		Timeout:   30 * time.Second,
	})
	return float64(report.Total(load.Complete)), nil
}

// fleetSpec returns the fleet for one point: one failure domain, with all simulated
// engines, services and the store inside this process, so that the measured processes
// are daemons only.
func fleetSpec(cfg Config, axis Axis, value int) fleet.Spec {
	sizes := map[Axis]int{Instances: defaultInstances, Engines: defaultEngines, Organisations: defaultOrganisations}
	sizes[axis] = value
	if axis == Requests {
		sizes[Engines] = requestAxisEngines
	}
	w := workload.Tatrasoft()
	w.Domains = w.Domains[:1]
	w.Prefill = max(1, sizes[Engines]/3)
	w.Decode = sizes[Engines] - w.Prefill
	w.PlainEndpoints = 2
	w.Organisations = unlimitedOrganisations(sizes[Organisations])
	return fleet.Spec{Workload: w, Instances: sizes[Instances], InProcess: true, Seed: cfg.Seed, Env: []string{daemonEnv}}
}

// unlimitedOrganisations returns n organisations with equal shares of the requests and
// rates so high that they never limit them.
func unlimitedOrganisations(n int) []workload.Organisation {
	list := make([]workload.Organisation, 0, n)
	for i := range n {
		list = append(list, workload.Organisation{
			Name:   ident.OrganisationID(fmt.Sprintf("organisation-%d", i)),
			Weight: 1,
			Rate:   100_000,
			Burst:  400_000,
		})
	}
	return list
}

// wait waits for d, or until ctx is done.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
