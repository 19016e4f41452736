// Package platformsoak runs the real daemons as on the platform, each as a separate
// process, under load and randomly drawn faults that are injected from outside, and
// checks the promises of monsoonfork against what callers and engines see.
package platformsoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"monsoonfork/lab/process"
	"monsoonfork/platform/standin"
)

// Timing of a run.
const (
	startTimeout  = 30 * time.Second
	faultFreeTail = 12 * time.Second // Time without faults at the end of a run, in which requests must be served again.
	settleTime    = 3 * time.Second  // From the end of the last request until engines must be idle.
)

// Config configures a run.
type Config struct {
	Seed      uint64
	Length    time.Duration
	Rate      float64 // Requests per second.
	Instances int
	Faults    []string // Names of the faults to draw from; none means all.
	KeepLogs  bool     // Keep the logs of the processes.
}

// Verdict is the result of a run.
type Verdict struct {
	Findings        []Finding
	Log             []string // Faults of the run, one line each.
	AnswersByStatus map[int]int
	Unanswered      map[Excuse]int // Requests without a complete answer, by excuse.
	LogDir          string         // Directory of the processes' logs, if kept.
}

// run is the state of one run.
type run struct {
	cfg     Config
	output  io.Writer
	testbed *testbed
	start   time.Time

	mu           sync.Mutex
	requests     map[string]*request
	log          []string
	targetsInUse map[string]bool
	faultSpans   map[string][]faultSpan // Times of faults, by the name of the component.
	expected     map[string]expectation
	plannedStops map[string]time.Time   // Times of planned stops, by process.
	interrupted  map[string][]time.Time // When a fault killed, paused or resumed a process, by its name.
	findings     []Finding
	deadly       deadlyPart
}

// faultSpan is the time during which a component had a fault.
type faultSpan struct {
	from, to time.Time // to is zero while the fault lasts.
}

// Run makes one run and prints its faults to out.
func Run(ctx context.Context, cfg Config, out io.Writer) (verdict Verdict, err error) {
	var options []process.Option
	if cfg.KeepLogs {
		options = append(options, process.WithKeptFiles())
	}
	runner, err := process.NewRunner(options...)
	if err != nil {
		return verdict, err
	}
	defer func() { err = errors.Join(err, runner.Close()) }()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	w, err := newTestbed(startCtx, runner, cfg.Instances)
	if err != nil {
		return verdict, err
	}
	defer w.stop()
	r := &run{
		cfg: cfg, output: out, testbed: w, start: time.Now(),
		requests: make(map[string]*request), targetsInUse: make(map[string]bool), faultSpans: make(map[string][]faultSpan),
		plannedStops: make(map[string]time.Time), interrupted: make(map[string][]time.Time),
	}
	r.drawDeadlyPart()
	r.runUnderFaults(ctx)
	time.Sleep(settleTime)
	r.check()
	arrivals, _ := w.engines.Recorder.Arrivals()
	return Verdict{
		Findings: r.findings, Log: r.log, AnswersByStatus: r.answersByStatus(), Unanswered: r.excusesOfUnanswered(arrivals), LogDir: runner.Dir(),
	}, nil
}

// runUnderFaults sends requests while faults are injected.
func (r *run) runUnderFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Length)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() { r.testbed.runBalancer(ctx) })
	work.Go(func() { r.watchProcesses(ctx) })
	work.Go(func() { r.runFaults(ctx) })
	work.Go(func() { r.probeChanges(ctx) })
	work.Go(func() { r.holdConnections(ctx) })
	r.sendRequests(ctx)
	work.Wait()
	r.deadly.restarts.Wait()
}

// watchProcesses reports instances that exit without a fault on them, and those that use
// too much memory.
func (r *run) watchProcesses(ctx context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	tooLarge := make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, i := range r.testbed.instances {
			p := i.currentProcess()
			// A process that has exited has no usage.
			usage, err := p.Usage()
			if err == nil && !tooLarge[p.Name] {
				tooLarge[p.Name] = r.checkMemory(p.Name, usage.ResidentBytes)
			}
			if p := i.unexpectedExit(); p != nil {
				r.addFinding(ProcessesLive, "%s exited unexpectedly", p.Name)
			}
		}
	}
}

// interrupt records that a fault kills, pauses or resumes a process now.
func (r *run) interrupt(process string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interrupted[process] = append(r.interrupted[process], time.Now())
}

// isInterrupted reports whether a process was killed, paused or resumed between two instants.
func (r *run) isInterrupted(process string, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.interrupted[process], func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// logf prints a line about the run with its time and adds it to the log of the verdict.
func (r *run) logf(format string, args ...any) {
	line := fmt.Sprintf("%6.1fs %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log = append(r.log, line)
	// A failed print is ignored: the verdict has the line too.
	_, _ = fmt.Fprintln(r.output, line)
}

// beginFault records that a fault on components begins, and returns the function that
// records its end.
func (r *run) beginFault(names ...string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := make([]int, len(names))
	for n, name := range names {
		at[n] = len(r.faultSpans[name])
		r.faultSpans[name] = append(r.faultSpans[name], faultSpan{from: time.Now()})
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for n, name := range names {
			r.faultSpans[name][at[n]].to = time.Now()
		}
	}
}

// faultFree reports whether a component had no fault between two instants, nor within
// recoveryTime before.
func (r *run) faultFree(name string, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.faultSpans[name] {
		if s.from.Before(to) && (s.to.IsZero() || s.to.Add(recoveryTime).After(from)) {
			return false
		}
	}
	return true
}

// recoveryTime is the time after a fault from which on the time bounds must hold again.
const recoveryTime = 4 * time.Second

// randomSource returns the generator of one part of a run, so that the parts draw
// independently.
func (r *run) randomSource(part uint64) *rand.Rand { return rand.New(rand.NewPCG(r.cfg.Seed, part)) }

// answersByStatus counts the answers by HTTP status; 0 stands for no answer.
func (r *run) answersByStatus() map[int]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := make(map[int]int)
	for _, a := range r.requests {
		count[a.answer.Status]++
	}
	return count
}

// requestsSent returns a copy of the map of all requests sent so far, by id.
func (r *run) requestsSent() map[string]*request {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]*request, len(r.requests))
	for id, a := range r.requests {
		all[id] = a
	}
	return all
}

// request is a request and its outcome.
type request struct {
	standin.Request
	instance       string
	process        string // Name of the instance's process that received the request.
	atMostOnce     bool   // Whether the request may run at most once.
	organisation   string // Organisation of the key; empty on the open route.
	sentAt         time.Time
	disconnectedAt time.Time // When the caller disconnected early; zero if it did not.
	endedAt        time.Time
	deadly         bool // Its prompt has the part that crashes engines.
	held           bool // Sent in two parts on a connection that is held open.
	answer         standin.Answer
}
