// Package load sends the requests of a workload at the times of an open loop,
// checks every answer token by token and counts what became of them.
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

// maxIdleConns is the number of idle connections kept to each instance.
const maxIdleConns = 512

// Config says what to send and where.
type Config struct {
	Workload  workload.Workload
	Rate      float64 // Requests a second.
	Seed      uint64
	Length    time.Duration
	Factors   map[ident.OrganisationID]float64 // Multiplies the traffic of organisations.
	Keys      map[ident.OrganisationID]string
	Instances func() []string // Caller addresses that the balancer uses now.
	Timeout   time.Duration   // Of one attempt.
	Repeats   int             // Times that a caller repeats a call of unknown outcome.
	Targets   Targets
}

// Sender sends single requests.
type Sender struct {
	OnText func(text string) // Called with each piece of a completion's answer, if set.

	cfg    Config
	client *http.Client
	fresh  *http.Client // Makes a connection for each call, so that it never repeats a call by itself.
	turn   atomic.Int64
}

// NewSender returns a sender.
func NewSender(cfg Config) *Sender {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	fresh := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return &Sender{cfg: cfg, client: &http.Client{Transport: transport}, fresh: &http.Client{Transport: fresh}}
}

// Close closes idle connections.
func (s *Sender) Close() { s.client.CloseIdleConnections() }

// Run sends the requests of the workload and waits for all answers.
func Run(ctx context.Context, cfg Config) *Report {
	sender := NewSender(cfg)
	defer sender.Close()
	generator := workload.NewGenerator(cfg.Workload, cfg.Rate, cfg.Seed, cfg.Factors)
	report := &Report{Workload: cfg.Workload.Name, Seed: cfg.Seed, Targets: cfg.Targets, Elapsed: cfg.Length}
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
		if r.At > cfg.Length || sleepUntil(ctx, start.Add(r.At)) != nil {
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

// sleepUntil waits for a time, or until ctx ends.
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

// Send sends one request, and repeats it when its outcome is not known.
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
		attempt := s.attempt(ctx, r)
		result.Attempts = append(result.Attempts, attempt)
		if !s.repeats(r, result) || ctx.Err() != nil {
			break
		}
	}
	result.Took = time.Since(result.Started)
	return result
}

// repeats reports whether a caller would send the call again.
func (s *Sender) repeats(r workload.Request, result Result) bool {
	if len(result.Attempts) > s.cfg.Repeats {
		return false
	}
	if !r.Kind.Once() {
		return false
	}
	outcome := result.Outcome()
	return outcome == MayHaveRun || outcome == NoAnswer
}

// next returns the instance for the next attempt.
func (s *Sender) next() (string, bool) {
	instances := s.cfg.Instances()
	if len(instances) == 0 {
		return "", false
	}
	return instances[int(s.turn.Add(1))%len(instances)], true
}
