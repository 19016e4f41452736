// Package status measures how long status calls take while completions fill
// the engines, against an idle fleet.
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

// Settings of a measurement.
const (
	startTimeout  = 2 * time.Minute
	callTimeout   = time.Minute
	fillTime      = 6 * time.Second // Until the engines are full.
	instanceCount = 8
	unlimited     = 1e9 // Tokens; the limits of organisations are not what is measured.
)

// Config says what to measure.
type Config struct {
	Workload    workload.Workload
	Seed        uint64
	Length      time.Duration // Of each of the two parts.
	Rate        float64       // Status calls a second.
	Completions float64       // Completions a second that fill the engines.
}

// measurement is one measurement.
type measurement struct {
	cfg    Config
	fleet  *fleet.Fleet
	client *http.Client
}

// Run makes a measurement and prints it to out.
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

// run makes both parts of the measurement.
func (m *measurement) run(ctx context.Context, out io.Writer) error {
	idle, err := m.part(ctx, out, "idle")
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
	full, err := m.part(ctx, out, "engines full")
	if err != nil {
		return err
	}
	report := <-filled
	_, err = fmt.Fprintf(out, "99th of status calls, full over idle: routed %.2f, direct %.2f; completions: %d of %d whole\n",
		ratio(full.routed, idle.routed), ratio(full.direct, idle.direct),
		report.Count(workload.Completion, load.Whole), len(report.Results))
	return err
}

// times are the times of the calls of one part.
type times struct {
	routed, direct []time.Duration
}

// part sends status calls through the fleet and straight to a service.
func (m *measurement) part(ctx context.Context, out io.Writer, name string) (times, error) {
	var t times
	var directErr error
	var wg sync.WaitGroup
	wg.Go(func() { t.direct, directErr = m.direct(ctx) })
	report := load.Run(ctx, m.config(workload.Status, m.cfg.Rate, m.cfg.Length))
	wg.Wait()
	t.routed = report.Took(workload.Status)
	_, _ = fmt.Fprintf(out, "%s: %d of %d status calls whole\n", name, len(t.routed), len(report.Results))
	printTimes(out, "routed", t.routed)
	printTimes(out, "direct", t.direct)
	return t, directErr
}

// config returns the load of one kind.
func (m *measurement) config(k workload.Kind, rate float64, length time.Duration) load.Config {
	w := m.cfg.Workload
	w.Kinds = map[workload.Kind]workload.Share{k: 1}
	return load.Config{
		Workload: w, Rate: rate, Seed: m.cfg.Seed, Length: length, Keys: m.fleet.Keys,
		Instances: m.fleet.InUse, Timeout: callTimeout, Targets: load.DefaultTargets(),
	}
}

// direct calls a service at a steady rate, without the fleet.
func (m *measurement) direct(ctx context.Context) ([]time.Duration, error) {
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
		d, err := m.directCall(ctx)
		if err != nil {
			return list, err
		}
		list = append(list, d)
	}
	return list, nil
}

// directCall makes one status call to a service.
func (m *measurement) directCall(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	url := "http://" + m.fleet.Services[0].Address + "/status"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := m.client.Do(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return time.Since(start), errors.Join(err, response.Body.Close())
}

// printTimes writes the percentiles of some times in milliseconds.
func printTimes(out io.Writer, name string, list []time.Duration) {
	_, _ = fmt.Fprintf(out, "  %s: %d calls, 50th %.2f, 95th %.2f, 99th %.2f ms\n", name, len(list),
		milliseconds(load.Percentile(list, 50)), milliseconds(load.Percentile(list, 95)), milliseconds(load.Percentile(list, 99)))
}

// milliseconds returns a duration as a number.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// ratio returns the quotient of two 99th percentiles.
func ratio(a, b []time.Duration) float64 {
	return float64(load.Percentile(a, 99)) / float64(max(1, load.Percentile(b, 99)))
}
