// Package platformsoak runs the real programs as they run on the platform, each a
// process of its own, under a load and a random succession of faults that are made
// from outside, and checks what callers and engines see against what must hold.
package platformsoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"monsoonfork/lab/process"
	"monsoonfork/platform/standin"
)

// Times of a run.
const (
	startTimeout = 30 * time.Second
	quietAtEnd   = 12 * time.Second // Faults have ended; what follows must be served.
	settleTime   = 3 * time.Second  // From the last request until engines must be idle.
)

// Config says what to run.
type Config struct {
	Seed      uint64
	Length    time.Duration
	Rate      float64 // Requests a second.
	Instances int
	Faults    []string // Names of the faults to draw from; none means all.
	Keep      bool     // Keep the logs of the processes.
}

// Verdict is the outcome of a run.
type Verdict struct {
	Findings []Finding
	Faults   []string // What was done, one line each.
	Answers  map[int]int
	Dir      string // Directory of the logs, when kept.
}

// run is one run.
type run struct {
	cfg   Config
	out   io.Writer
	world *world
	start time.Time

	mu       sync.Mutex
	asks     map[string]*ask
	faults   []string
	busy     map[string]bool
	touched  map[string][]span // Faults by the name of what they touch.
	expected map[string]expectation
	stops    map[string]time.Time // Of planned stops, by process.
	findings []Finding
}

// span is the time of a fault.
type span struct {
	from, to time.Time // to is zero while it lasts.
}

// Run makes one run and prints its faults to out.
func Run(ctx context.Context, cfg Config, out io.Writer) (verdict Verdict, err error) {
	var options []process.Option
	if cfg.Keep {
		options = append(options, process.WithKeptFiles())
	}
	runner, err := process.NewRunner(options...)
	if err != nil {
		return verdict, err
	}
	defer func() { err = errors.Join(err, runner.Close()) }()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	w, err := newWorld(startCtx, runner, cfg.Instances)
	if err != nil {
		return verdict, err
	}
	defer w.close()
	r := &run{
		cfg: cfg, out: out, world: w, start: time.Now(),
		asks: make(map[string]*ask), busy: make(map[string]bool), touched: make(map[string][]span),
		stops: make(map[string]time.Time),
	}
	r.underFaults(ctx)
	time.Sleep(settleTime)
	r.check()
	return Verdict{Findings: r.findings, Faults: r.faults, Answers: r.answers(), Dir: runner.Dir()}, nil
}

// underFaults sends requests while faults come and go.
func (r *run) underFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Length)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() { r.world.balance(ctx) })
	work.Go(func() { r.watch(ctx) })
	work.Go(func() { r.schedule(ctx) })
	work.Go(func() { r.probe(ctx) })
	r.load(ctx)
	work.Wait()
}

// watch finds instances that end by themselves.
func (r *run) watch(ctx context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, i := range r.world.instances {
			if p := i.endedByItself(); p != nil {
				r.find(ProcessesLive, "%s ended by itself", p.Name)
			}
		}
	}
}

// note prints what is done and keeps it for the verdict.
func (r *run) note(format string, args ...any) {
	line := fmt.Sprintf("%6.1fs %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, line)
	// What can't be printed is in the verdict.
	_, _ = fmt.Fprintln(r.out, line)
}

// touch notes that a fault on something begins, and returns its end.
func (r *run) touch(names ...string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := make([]int, len(names))
	for n, name := range names {
		at[n] = len(r.touched[name])
		r.touched[name] = append(r.touched[name], span{from: time.Now()})
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for n, name := range names {
			r.touched[name][at[n]].to = time.Now()
		}
	}
}

// calm reports whether no fault touched something from one time to another, nor for
// a while before.
func (r *run) calm(name string, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.touched[name] {
		if s.from.Before(to) && (s.to.IsZero() || s.to.Add(stability).After(from)) {
			return false
		}
	}
	return true
}

// stability is how long after a fault bounds of time hold again.
const stability = 4 * time.Second

// random returns the choices of one part of a run.
func (r *run) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(r.cfg.Seed, part)) }

// answers counts the answers by status.
func (r *run) answers() map[int]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := make(map[int]int)
	for _, a := range r.asks {
		count[a.answer.Status]++
	}
	return count
}

// asked returns the requests that were made.
func (r *run) asked() map[string]*ask {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]*ask, len(r.asks))
	for id, a := range r.asks {
		all[id] = a
	}
	return all
}

// ask is a request and what came of it.
type ask struct {
	standin.Request
	instance string
	process  string // Of the instance.
	once     bool   // It may run once at most.
	org      string // Whose key came with it; empty on the open route.
	at       time.Time
	left     time.Time // When the caller left; zero if it did not.
	ended    time.Time
	answer   standin.Answer
}
