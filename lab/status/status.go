// Package status measures the latency of status calls while completions saturate
// the engines, compared with an idle fleet.
package status

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"monsoonfork/lab/fleet"
	"monsoonfork/lab/load"
	"monsoonfork/lab/process"
	"monsoonfork/lab/workload"
)

// Parameters of a measurement.
const (
	startTimeout  = 2 * time.Minute
	callTimeout   = time.Minute
	fillTime      = 6 * time.Second // Time that completions need to fill the engines.
	instanceCount = 8
	unlimited     = 1e9 // Rate and burst in tokens, so that rate limits do not affect the measurement.
)

// Config configures a measurement.
type Config struct {
	Workload    workload.Workload
	Seed        uint64
	Length      time.Duration // Duration of each of the two phases, idle and full.
	Rate        float64       // Status calls per second.
	Completions float64       // Completions per second that fill the engines.
}

// measurement holds the fleet and the client of a measurement.
type measurement struct {
	cfg    Config
	fleet  *fleet.Fleet
	client *http.Client
}

// Run measures the latency of status calls and prints it to out.
func Run(ctx context.Context, cfg Config, out io.Writer) (err error) {
	runner, err := process.NewRunner()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, runner.Close()) }()
	for i := range cfg.Workload.Organisations {
		cfg.Workload.Organisations[i].Rate, cfg.Workload.Organisations[i].Burst = unlimited, unlimited
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, runner, fleet.Spec{
		Workload: cfg.Workload, Instances: instanceCount, LogLevel: "warn", Seed: cfg.Seed,
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	m := &measurement{cfg: cfg, fleet: f, client: &http.Client{Timeout: callTimeout}}
	defer m.client.CloseIdleConnections()
	return m.run(ctx, out)
}

// run measures the idle fleet, and then the fleet under completions.
func (m *measurement) run(ctx context.Context, out io.Writer) error {
	idle, err := m.measurePhase(ctx, out, "idle")
	if err != nil {
		return err
	}
	fillCtx, stop := context.WithCancel(ctx)
	defer stop()
	filled := make(chan *load.Report, 1)
	go func() {
		filled <- load.Run(fillCtx, m.config(workload.Completion, m.cfg.Completions, fillTime+m.cfg.Length))
	}()
	select {
	case <-time.After(fillTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	full, err := m.measurePhase(ctx, out, "engines full")
	if err != nil {
		return err
	}
	report := <-filled
	_, err = fmt.Fprintf(out, "99th of status calls, full over idle: routed %.2f, direct %.2f; completions: %d of %d whole\n",
		ratio(full.routed, idle.routed), ratio(full.direct, idle.direct),
		report.Count(workload.Completion, load.Complete), len(report.Results))
	return err
}

// phaseLatencies holds the latencies of the calls of one phase.
type phaseLatencies struct {
	routed, direct []time.Duration
}

// measurePhase sends status calls through the fleet and, in parallel, directly to a
// service. It prints and returns their latencies.
func (m *measurement) measurePhase(ctx context.Context, out io.Writer, name string) (phaseLatencies, error) {
	var t phaseLatencies
	var directErr error
	var wg sync.WaitGroup
	wg.Go(func() { t.direct, directErr = m.directCalls(ctx) })
	report := load.Run(ctx, m.config(workload.Status, m.cfg.Rate, m.cfg.Length))
	wg.Wait()
	t.routed = report.Latencies(workload.Status)
	_, _ = fmt.Fprintf(out, "%s: %d of %d status calls whole\n", name, len(t.routed), len(report.Results))
	printLatencies(out, "routed", t.routed)
	printLatencies(out, "direct", t.direct)
	return t, directErr
}

// config returns a load of requests of one kind.
func (m *measurement) config(k workload.Kind, rate float64, length time.Duration) load.Config {
	w := m.cfg.Workload
	w.Kinds = map[workload.Kind]workload.Weight{k: 1}
	return load.Config{
		Workload: w, Rate: rate, Seed: m.cfg.Seed, Duration: length, Keys: m.fleet.Keys,
		Instances: m.fleet.InUse, Timeout: callTimeout, Targets: load.DefaultTargets(),
	}
}

// directCalls sends status calls directly to a service at cfg.Rate.
func (m *measurement) directCalls(ctx context.Context) ([]time.Duration, error) {
	interval := time.Duration(float64(time.Second) / m.cfg.Rate)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var list []time.Duration
	for end := time.Now().Add(m.cfg.Length); time.Now().Before(end); {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return list, ctx.Err()
		}
		d, err := m.fleet.StatusDirectly(ctx, m.client)
		if err != nil {
			return list, err
		}
		list = append(list, d)
	}
	return list, nil
}

// printLatencies prints percentiles of latencies in milliseconds.
func printLatencies(out io.Writer, name string, list []time.Duration) {
	_, _ = fmt.Fprintf(out, "  %s: %d calls, 50th %.2f, 95th %.2f, 99th %.2f ms\n", name, len(list),
		milliseconds(load.Percentile(list, 50)), milliseconds(load.Percentile(list, 95)), milliseconds(load.Percentile(list, 99)))
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// ratio returns the 99th percentile of a divided by that of b.
func ratio(a, b []time.Duration) float64 {
	return float64(load.Percentile(a, 99)) / float64(max(1, load.Percentile(b, 99)))
}
