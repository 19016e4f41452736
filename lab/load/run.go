// Package load is an open-loop load generator: it sends the requests of a
// workload at their scheduled times whether or not earlier ones were answered,
// checks every answer token by token and counts the outcomes.
package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/io/standin/engine"
	"monsoonfork/lab/workload"
)

// maxIdleConns is the maximum number of idle connections kept to each instance.
const maxIdleConns = 512

// Config configures a run or a sender.
type Config struct {
	Workload       workload.Workload
	Rate           float64 // Requests per second, before TrafficFactors apply.
	Seed           uint64
	Duration       time.Duration
	TrafficFactors map[ident.OrganisationID]float64 // Factors on the traffic of single organisations; a missing factor counts as 1.
	Keys           map[ident.OrganisationID]string  // API keys.
	Instances      func() []string                  // Returns the caller addresses that the simulated balancer uses at present.
	Timeout        time.Duration                    // Timeout of one attempt; 0 means none.
	MaxRetries     int                              // Maximum number of retries of a call of unknown outcome.
	Targets        Targets
}

// Sender sends single requests and checks their answers.
type Sender struct {
	OnText func(text string) // Called with each text fragment of a completion's answer, if set.

	cfg             Config
	client          *http.Client
	noReuseClient   *http.Client // Opens a connection for each call: on a reused one net/http may itself retry a call that has an Idempotency-Key.
	instanceCounter atomic.Int64
}

// NewSender returns a sender, which must be closed after use.
func NewSender(cfg Config) *Sender {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	fresh := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return &Sender{cfg: cfg, client: &http.Client{Transport: transport}, noReuseClient: &http.Client{Transport: fresh}}
}

// Close closes the idle connections.
func (s *Sender) Close() { s.client.CloseIdleConnections() }

// Run sends the requests of the workload until cfg.Duration has passed or ctx
// ends, waits for all answers and returns the report.
func Run(ctx context.Context, cfg Config) *Report {
	sender := NewSender(cfg)
	defer sender.Close()
	generator := workload.NewGenerator(cfg.Workload, cfg.Rate, cfg.Seed, cfg.TrafficFactors)
	report := &Report{Workload: cfg.Workload.Name, Seed: cfg.Seed, Targets: cfg.Targets, Elapsed: cfg.Duration}
	for _, o := range cfg.Workload.Organisations {
		report.Organisations = append(report.Organisations, o.Name)
	}
	var (
		mu      sync.Mutex
		pending sync.WaitGroup
	)
	start := time.Now()
	for ctx.Err() == nil {
		r := generator.Next()
		if r.At > cfg.Duration || sleepUntil(ctx, start.Add(r.At)) != nil {
			break
		}
		pending.Go(func() {
			result := sender.Send(ctx, r)
			mu.Lock()
			defer mu.Unlock()
			report.Results = append(report.Results, result)
		})
	}
	pending.Wait()
	return report
}

// sleepUntil waits until the given time. It returns an error if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Send sends one request. It retries a call that must be executed at most once
// while its outcome is unknown, at most cfg.MaxRetries times.
func (s *Sender) Send(ctx context.Context, r workload.Request) Result {
	result := Result{
		Number:       r.Number,
		Kind:         r.Kind,
		Organisation: r.Organisation,
		Reference:    r.Reference,
		PromptTokens: r.PromptTokens,
		MaxTokens:    r.MaxTokens,
		Stream:       r.Stream,
		Started:      time.Now(),
	}
	if r.Kind == workload.Completion {
		result.PromptHash = engine.WordsPrompt(r.Prompt).Hash()
	}
	for {
		attempt := s.sendAttempt(ctx, r)
		result.Attempts = append(result.Attempts, attempt)
		if !s.shouldRetry(r, result) || ctx.Err() != nil {
			break
		}
	}
	result.Latency = time.Since(result.Started)
	return result
}

// shouldRetry reports whether the request is to be sent again: it must be
// executed at most once, its outcome is unknown and retries are left.
func (s *Sender) shouldRetry(r workload.Request, result Result) bool {
	if len(result.Attempts) > s.cfg.MaxRetries {
		return false
	}
	if !r.Kind.AtMostOnce() {
		return false
	}
	outcome := result.Outcome()
	return outcome == MayHaveRun || outcome == NoAnswer
}

// nextInstance returns the address of the instance for the next attempt, chosen
// round robin. It returns false if the balancer uses no instance.
func (s *Sender) nextInstance() (string, bool) {
	instances := s.cfg.Instances()
	if len(instances) == 0 {
		return "", false
	}
	return instances[int(s.instanceCounter.Add(1))%len(instances)], true
}
