// Package process builds the programs of this repository and runs them as child
// processes for tests and experiments. A Runner kills every process it started
// when it is closed.
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

// module is the path of the Go module that Build builds programs from.
const module = "monsoonfork"

// Runner starts processes and owns the directory of their logs.
type Runner struct {
	dir           string
	keepFiles     bool
	startRequests chan func()
	launcherDone  chan struct{}

	mu           sync.Mutex
	processes    []*Process
	programPaths map[string]string // Paths of built executables by program name.
}

// Option configures a Runner.
type Option func(*Runner)

// WithKeptFiles makes Close keep the directory with the logs.
func WithKeptFiles() Option { return func(r *Runner) { r.keepFiles = true } }

// NewRunner returns a runner with a new temporary directory.
func NewRunner(options ...Option) (*Runner, error) {
	dir, err := os.MkdirTemp("", "monsoonlab-")
	if err != nil {
		return nil, err
	}
	r := &Runner{
		dir:           dir,
		startRequests: make(chan func()),
		launcherDone:  make(chan struct{}),
		programPaths:  make(map[string]string),
	}
	for _, option := range options {
		option(r)
	}
	go r.runLauncher()
	return r, nil
}

// runLauncher starts processes from one OS thread that lasts until Close: because
// of Pdeathsig the kernel kills a child when the thread that started it ends.
func (r *Runner) runLauncher() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(r.launcherDone)
	for f := range r.startRequests {
		f()
	}
}

// Dir returns the directory of the logs, built programs and written files.
func (r *Runner) Dir() string { return r.dir }

// Build returns the path of the executable of cmd/NAME, and builds it on the
// first call, with the race detector if this program has it. It runs the go
// command in the current directory.
func (r *Runner) Build(ctx context.Context, name string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if path, ok := r.programPaths[name]; ok {
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
	r.programPaths[name] = path
	return path, nil
}

// WriteFile writes a file into the runner's directory and returns its path.
func (r *Runner) WriteFile(name string, data []byte) (string, error) {
	path := filepath.Join(r.dir, name)
	return path, os.WriteFile(path, data, 0o600)
}

// Processes returns all processes that the runner started, exited ones included,
// in the order of their start.
func (r *Runner) Processes() []*Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Process(nil), r.processes...)
}

// Close kills all running processes, waits for them and removes the directory,
// unless the runner was created with WithKeptFiles.
func (r *Runner) Close() error {
	var failures []error
	for _, p := range r.Processes() {
		failures = append(failures, p.Kill())
	}
	close(r.startRequests)
	<-r.launcherDone
	if !r.keepFiles {
		failures = append(failures, os.RemoveAll(r.dir))
	}
	return errors.Join(failures...)
}
