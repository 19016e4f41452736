// Package quickstart shows monsoonfork at work: a small fleet for each of the
// two workloads, a handful of requests, what was answered and where it ran.
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

// Sizes of the fleets.
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

// Run starts the fleets, sends the requests and prints to out what happens.
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
		if err := show(ctx, out, runner, w); err != nil {
			return errors.Join(err, runner.Close())
		}
	}
	return runner.Close()
}

// show runs one workload.
func show(ctx context.Context, out io.Writer, runner *process.Runner, w workload.Workload) error {
	w.Prefill, w.Decode, w.Services = prefillEngines, decodeEngines, services
	w.Domains = w.Domains[:2]
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, runner, fleet.Spec{Workload: w, Instances: instances, Embedded: true, Seed: 1})
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

// showRequests sends the requests and says where each ran.
func showRequests(ctx context.Context, out io.Writer, f *fleet.Fleet) error {
	sender := load.NewSender(load.Config{
		Workload:  f.Spec.Workload,
		Keys:      f.Keys,
		Instances: f.InUse,
		Timeout:   requestTimeout,
		Targets:   load.DefaultTargets(),
	})
	defer sender.Close()
	for _, r := range pick(f.Spec.Workload) {
		_, _ = fmt.Fprintf(out, "\n%s asks: %s\n", r.Organisation, asked(f.Spec.Workload, r))
		sender.OnText = func(text string) { _, _ = io.WriteString(out, text) }
		last := ask(ctx, out, sender, r)
		_, _ = fmt.Fprintf(out, "\n  %s in %d ms by way of %s\n", last.Outcome, last.Took.Milliseconds(), instanceAt(f, last.Target))
		if last.Outcome != load.Whole {
			return fmt.Errorf("request %d: %s: %s", r.Number, last.Outcome, last.Detail)
		}
		places, err := ranOn(ctx, f, r)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "  ran on: %s\n", strings.Join(places, ", "))
	}
	return nil
}

// ask sends a request. As callers do, it sends a refused one again when the
// refusal says when.
func ask(ctx context.Context, out io.Writer, sender *load.Sender, r workload.Request) *load.Attempt {
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

// pick returns a handful of requests with each kind among them.
func pick(w workload.Workload) []workload.Request {
	generator := workload.NewGenerator(w, 1, 1, nil)
	seen := make(map[string]bool)
	var picked []workload.Request
	for len(picked) < requests {
		r := generator.Next()
		sort := fmt.Sprint(r.Kind, r.Stream)
		if seen[sort] {
			continue
		}
		seen[sort] = true
		r.MaxTokens = min(r.MaxTokens, maxShownTokens)
		picked = append(picked, r)
	}
	return picked
}

// asked describes a request.
func asked(w workload.Workload, r workload.Request) string {
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

// instanceAt returns the name and domain of the instance with a caller address.
func instanceAt(f *fleet.Fleet, address string) string {
	for _, i := range f.Instances {
		if string(i.Settings.CallerAddress) == address {
			return fmt.Sprintf("%s (%s)", i.Name, i.Settings.Domain)
		}
	}
	return address
}

// showStatus prints the plan in force, as operators see it.
func showStatus(ctx context.Context, out io.Writer, f *fleet.Fleet) error {
	status, err := f.Operate(ctx, "status", "--operator", string(f.Instances[0].Settings.OperatorAddress))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "\nIn force (monsoonfork status):\n%s", status)
	return err
}
