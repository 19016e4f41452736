// Package quickstart is a demonstration: it starts a small fleet for each of the two
// workloads, sends a few requests, and prints the responses and the endpoints that
// ran them.
package quickstart

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"monsoonfork/lab/fleet"
	"monsoonfork/lab/load"
	"monsoonfork/lab/process"
	"monsoonfork/lab/workload"
)

// Sizes and timeouts of a demonstration.
const (
	instances      = 4
	prefillEngines = 2
	decodeEngines  = 4
	services       = 2
	requests       = 6
	maxShownTokens = 12
	maxRetries     = 5
	startTimeout   = 40 * time.Second
	requestTimeout = 10 * time.Second
)

// Run starts a fleet for each workload, sends requests and prints the progress to
// out.
func Run(ctx context.Context, out io.Writer) error {
	runner, err := process.NewRunner()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out, "Building monsoonfork ...")
	if _, err := runner.Build(ctx, "monsoonfork"); err != nil {
		return errors.Join(err, runner.Close())
	}
	for _, w := range workload.All() {
		if err := showWorkload(ctx, out, runner, w); err != nil {
			return errors.Join(err, runner.Close())
		}
	}
	return runner.Close()
}

// showWorkload runs the demonstration of one workload.
func showWorkload(ctx context.Context, out io.Writer, runner *process.Runner, w workload.Workload) error {
	w.Prefill, w.Decode, w.PlainEndpoints = prefillEngines, decodeEngines, services
	w.Domains = w.Domains[:2]
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, runner, fleet.Spec{Workload: w, Instances: instances, InProcess: true, Seed: 1})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "\n== %s: %d instances in %d failure domains, %d engines, %d endpoints of the plain service\n",
		w.Name, len(f.Instances), len(w.Domains), len(f.Engines), len(f.Services))
	failure := showText(ctx, out, f)
	if failure == nil {
		failure = showRequests(ctx, out, f)
	}
	if failure == nil {
		failure = showStatus(ctx, out, f)
	}
	return errors.Join(failure, f.Close())
}

// showRequests sends the requests and prints the response and the endpoints of each.
func showRequests(ctx context.Context, out io.Writer, f *fleet.Fleet) error {
	sender := load.NewSender(load.Config{
		Workload:  f.Spec.Workload,
		Keys:      f.Keys,
		Instances: f.InUse,
		Timeout:   requestTimeout,
		Targets:   load.DefaultTargets(),
	})
	defer sender.Close()
	for _, r := range pickRequests(f.Spec.Workload) {
		_, _ = fmt.Fprintf(out, "\n%s asks: %s\n", r.Organisation, describeRequest(f.Spec.Workload, r))
		sender.OnText = func(text string) { _, _ = io.WriteString(out, text) }
		last := sendWithRetry(ctx, out, sender, r)
		_, _ = fmt.Fprintf(out, "\n  %s in %d ms by way of %s\n", last.Outcome, last.Latency.Milliseconds(), instanceAt(f, last.Target))
		if last.Outcome != load.Complete {
			return fmt.Errorf("request %d: %s: %s", r.Number, last.Outcome, last.Detail)
		}
		places, err := endpointsThatRan(ctx, f, r)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "  ran on: %s\n", strings.Join(places, ", "))
	}
	return nil
}

// sendWithRetry sends a request and retries refusals that carry a retry delay.
func sendWithRetry(ctx context.Context, out io.Writer, sender *load.Sender, r workload.Request) *load.Attempt {
	for n := 0; ; n++ {
		_, _ = io.WriteString(out, "  answer:")
		result := sender.Send(ctx, r)
		last := result.Last()
		if last.Outcome != load.NotRun || last.RetryAfter == 0 || n == maxRetries {
			return last
		}
		_, _ = fmt.Fprintf(out, " not run: %s; again in %s\n", last.Detail, last.RetryAfter)
		select {
		case <-time.After(last.RetryAfter):
		case <-ctx.Done():
			return last
		}
	}
}

// pickRequests returns generated requests, one of each kind and streaming mode.
func pickRequests(w workload.Workload) []workload.Request {
	generator := workload.NewGenerator(w, 1, 1, nil)
	seen := make(map[string]bool)
	var picked []workload.Request
	for len(picked) < requests {
		r := generator.Next()
		kind := fmt.Sprint(r.Kind, r.Stream)
		if seen[kind] {
			continue
		}
		seen[kind] = true
		r.MaxTokens = min(r.MaxTokens, maxShownTokens)
		picked = append(picked, r)
	}
	return picked
}

// describeRequest returns the method, path and main parameters of a request.
func describeRequest(w workload.Workload, r workload.Request) string {
	switch r.Kind {
	case workload.Completion:
		form := "whole"
		if r.Stream {
			form = "streamed"
		}
		return fmt.Sprintf("POST /v1/completions, model %s, a prompt of %d tokens, %d tokens of answer, %s", w.Model, r.PromptTokens, r.MaxTokens, form)
	case workload.Create:
		return fmt.Sprintf("POST %s, reference %s", w.CreatePath, r.Reference)
	case workload.Cancel:
		return "DELETE /bookings/" + r.Reference
	case workload.Lookup:
		return "GET /addresses/" + r.Reference
	default:
		return "GET /status"
	}
}

// instanceAt returns the name and domain of the instance with a caller address, or
// the address if there is none.
func instanceAt(f *fleet.Fleet, address string) string {
	for _, i := range f.Instances {
		if string(i.Settings.CallerAddress) == address {
			return fmt.Sprintf("%s (%s)", i.Name, i.Settings.Domain)
		}
	}
	return address
}

// showStatus prints the output of monsoonfork status.
func showStatus(ctx context.Context, out io.Writer, f *fleet.Fleet) error {
	status, err := f.RunCommand(ctx, "status", "--operator", string(f.Instances[0].Settings.OperatorAddress))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "\nIn force (monsoonfork status):\n%s", status)
	return err
}
