// Package overhead measures the latency that monsoonfork adds to a call, compared
// with direct calls to the same stand-ins in the same run, and the throughput of an
// instance on two cores.
package overhead

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"monsoonfork/io/standin/engine"
	"monsoonfork/lab/fleet"
	"monsoonfork/lab/load"
	"monsoonfork/lab/process"
	"monsoonfork/lab/workload"
)

// Parameters of a measurement.
const (
	startTimeout   = 2 * time.Minute
	outputTokens   = 5
	promptTokens   = 200
	twoCores       = "GOMAXPROCS=2"
	warmUpCalls    = 20
	idleConns      = 256
	coresAllowed   = 2
	maxSendRetries = 10
	// completionCallers is the number of concurrent callers of completions: fewer than
	// the slots of an engine, so that no request queues.
	completionCallers = 12
	longOutputTokens  = 50
)

// Config configures a measurement.
type Config struct {
	Seed        uint64
	Calls       int           // Latency samples of each kind; direct and routed calls alternate.
	Concurrency int           // Concurrent callers in the throughput measurement.
	Length      time.Duration // Duration of the throughput measurement of each kind of call.
}

// measurement holds the fleet and the clients of a measurement.
type measurement struct {
	cfg    Config
	fleet  *fleet.Fleet
	client *http.Client
	sender *load.Sender
}

// Run measures latency and throughput and prints them to out.
func Run(ctx context.Context, cfg Config, out io.Writer) (err error) {
	runner, err := process.NewRunner()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, runner.Close()) }()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, runner, fleetSpec(cfg))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	m := newMeasurement(cfg, f)
	defer m.sender.Close()
	if err := m.latency(ctx, out); err != nil {
		return err
	}
	return m.throughput(ctx, out)
}

// fleetSpec returns the specification of a fleet of one instance on two cores, one
// engine of each role and one endpoint of the plain service.
func fleetSpec(cfg Config) fleet.Spec {
	w := workload.Tatrasoft()
	w.Domains = w.Domains[:1]
	w.Prefill, w.Decode, w.PlainEndpoints = 1, 1, 1
	for i := range w.Organisations {
		// Rate limits must not affect the measurement.
		w.Organisations[i].Rate, w.Organisations[i].Burst = 1e9, 1e9
	}
	return fleet.Spec{Workload: w, Instances: 1, Env: []string{twoCores}, LogLevel: "warn", Seed: cfg.Seed}
}

func newMeasurement(cfg Config, f *fleet.Fleet) *measurement {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	return &measurement{
		cfg:    cfg,
		fleet:  f,
		client: &http.Client{Transport: transport},
		sender: load.NewSender(load.Config{
			Workload:  f.Spec.Workload,
			Keys:      f.Keys,
			Instances: f.InUse,
			Timeout:   time.Minute,
			Targets:   load.DefaultTargets(),
		}),
	}
}

// model returns the name of the model that completions use.
func (m *measurement) model() string { return string(m.fleet.Spec.Workload.Model) }

// engineAddresses returns the addresses of the two engines.
func (m *measurement) engineAddresses() (prefill, decode string) {
	for _, e := range m.fleet.Engines {
		if e.Role == engine.PrefillRole {
			prefill = e.Address
		} else {
			decode = e.Address
		}
	}
	return prefill, decode
}

// latency prints the added time to first token of completions and the added latency
// of plain calls. It discards the first warmUpCalls samples.
func (m *measurement) latency(ctx context.Context, out io.Writer) error {
	var directTokens, routedTokens, directPlain, routedPlain []time.Duration
	for n := range m.cfg.Calls + warmUpCalls {
		sample, err := m.measureSample(ctx, n)
		if err != nil {
			return err
		}
		if n < warmUpCalls {
			continue
		}
		directTokens = append(directTokens, sample.directFirstToken)
		routedTokens = append(routedTokens, sample.routedFirstToken)
		directPlain = append(directPlain, sample.directPlain)
		routedPlain = append(routedPlain, sample.routedPlain)
	}
	printAdded(out, "time to first token", directTokens, routedTokens)
	printAdded(out, "plain call", directPlain, routedPlain)
	return nil
}

// sample holds the latencies of one call of each kind: of completions the time to
// the first token, of plain calls the total latency.
type sample struct {
	directFirstToken, routedFirstToken, directPlain, routedPlain time.Duration
}

// measureSample makes one call of each kind. All prompts differ, so that no prefix
// cache speeds up the later call.
func (m *measurement) measureSample(ctx context.Context, n int) (s sample, err error) {
	name := m.fleet.Spec.Workload.Organisations[0].Name
	if s.directFirstToken, err = m.directCompletion(ctx, fmt.Sprintf("direct-%d", n), newPrompt("direct", n)); err != nil {
		return s, err
	}
	routed := m.send(ctx, workload.Request{
		Kind:         workload.Completion,
		Organisation: name,
		Prompt:       newPrompt("routed", n),
		MaxTokens:    outputTokens,
		Stream:       true,
	})
	if routed.Outcome() != load.Complete {
		return s, fmt.Errorf("routed completion: %+v", routed.Last())
	}
	s.routedFirstToken = routed.Last().FirstToken
	if s.directPlain, err = m.fleet.StatusDirectly(ctx, m.client); err != nil {
		return s, err
	}
	plain := m.send(ctx, workload.Request{Kind: workload.Status})
	if plain.Outcome() != load.Complete {
		return s, fmt.Errorf("routed plain call: %+v", plain.Last())
	}
	s.routedPlain = plain.Last().Latency
	return s, nil
}

// send sends a request and retries refusals that carry a retry delay: the budgets of
// a newly started instance are empty.
func (m *measurement) send(ctx context.Context, r workload.Request) load.Result {
	for n := 0; ; n++ {
		result := m.sender.Send(ctx, r)
		last := result.Last()
		if last.Outcome != load.NotRun || last.RetryAfter == 0 || n == maxSendRetries {
			return result
		}
		time.Sleep(last.RetryAfter)
	}
}

// newPrompt returns a prompt that is unique for kind and n.
func newPrompt(kind string, n int) string {
	prompt := fmt.Sprintf("%s%d", kind, n)
	for i := range promptTokens - 1 {
		prompt += fmt.Sprintf(" w%d", i)
	}
	return prompt
}

// printAdded prints the 50th and 99th percentiles of direct and routed calls
// and their differences.
func printAdded(out io.Writer, name string, direct, routed []time.Duration) {
	for _, p := range []float64{50, 99} {
		d, r := load.Percentile(direct, p), load.Percentile(routed, p)
		_, _ = fmt.Fprintf(out, "%s, %.0fth of %d: direct %.3f ms, routed %.3f ms, added %.3f ms\n",
			name, p, len(direct), milliseconds(d), milliseconds(r), milliseconds(r-d))
	}
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
