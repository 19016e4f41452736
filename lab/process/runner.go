// Package process starts the programs of this repository as real processes for
// tests and experiments, and ends all that it started.
package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
)

// module is the module that programs are built from.
const module = "monsoonfork"

// Runner starts processes and owns the directory in which they leave their
// logs.
type Runner struct {
	dir      string
	keep     bool
	launches chan func()
	stopped  chan struct{}

	mu        sync.Mutex
	processes []*Process
	programs  map[string]string // Path by name.
}

// Option sets up a Runner.
type Option func(*Runner)

// WithKeptFiles leaves the directory with logs in place when the runner closes.
func WithKeptFiles() Option { return func(r *Runner) { r.keep = true } }

// NewRunner returns a runner with an empty directory of its own.
func NewRunner(options ...Option) (*Runner, error) {
	dir, err := os.MkdirTemp("", "monsoonlab-")
	if err != nil {
		return nil, err
	}
	r := &Runner{
		dir:      dir,
		launches: make(chan func()),
		stopped:  make(chan struct{}),
		programs: make(map[string]string),
	}
	for _, option := range options {
		option(r)
	}
	go r.launch()
	return r, nil
}

// launch starts processes from one thread that lives as long as the runner:
// the kernel ends a child when the thread that started it ends.
func (r *Runner) launch() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(r.stopped)
	for f := range r.launches {
		f()
	}
}

// Dir returns the directory for files of the experiment.
func (r *Runner) Dir() string { return r.dir }

// Build builds the program cmd/NAME of this repository once, and returns its
// path. It runs the go command in the current directory.
func (r *Runner) Build(ctx context.Context, name string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if path, ok := r.programs[name]; ok {
		return path, nil
	}
	path := filepath.Join(r.dir, name)
	args := []string{"build", "-o", path}
	if raceEnabled {
		args = append(args, "-race")
	}
	cmd := exec.CommandContext(ctx, "go", append(args, module+"/cmd/"+name)...)
	if output, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build %s: %w: %s", name, err, output)
	}
	r.programs[name] = path
	return path, nil
}

// WriteFile writes a file into the directory and returns its path.
func (r *Runner) WriteFile(name string, data []byte) (string, error) {
	path := filepath.Join(r.dir, name)
	return path, os.WriteFile(path, data, 0o600)
}

// Processes returns all processes that were started, in order.
func (r *Runner) Processes() []*Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Process(nil), r.processes...)
}

// Close kills all processes that still run, waits for them and removes the
// directory.
func (r *Runner) Close() error {
	var failures []error
	for _, p := range r.Processes() {
		failures = append(failures, p.Kill())
	}
	close(r.launches)
	<-r.stopped
	if !r.keep {
		failures = append(failures, os.RemoveAll(r.dir))
	}
	return errors.Join(failures...)
}
