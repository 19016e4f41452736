package process

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// Spec describes a process to start.
type Spec struct {
	Name string   // Base name of the log file; must be unique within the runner.
	Path string   // Executable.
	Args []string // Arguments.
	Env  []string // Variables added to the environment of this process, as NAME=VALUE.
}

// Process is a child process started by a Runner.
type Process struct {
	Name string

	cmd       *exec.Cmd
	log       *os.File
	firstLine *firstLineWriter
	ended     chan struct{}

	mu     sync.Mutex
	paused bool
	err    error
}

// Start starts a process and writes its stdout and stderr to a log file. The
// kernel kills the process if the runner's launcher thread ends.
func (r *Runner) Start(spec Spec) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(r.dir, spec.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	p := &Process{
		Name:      spec.Name,
		log:       log,
		firstLine: newFirstLineWriter(log),
		ended:     make(chan struct{}),
		cmd:       exec.Command(spec.Path, spec.Args...),
	}
	p.cmd.Env = append(os.Environ(), spec.Env...)
	p.cmd.Stdout = p.firstLine
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	r.startRequests <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", spec.Name, err), log.Close())
	}
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	go p.wait()
	return p, nil
}

// wait reaps the process, records its exit error and closes ended.
func (p *Process) wait() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = errors.Join(err, p.log.Close())
	p.mu.Unlock()
	close(p.ended)
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Ended returns a channel that is closed when the process has exited.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// FirstLine waits for the first complete line of the process's stdout and returns
// it. It fails if the process exits first or ctx ends.
func (p *Process) FirstLine(ctx context.Context) (string, error) {
	select {
	case <-p.firstLine.complete:
		return p.firstLine.line, nil
	case <-p.ended:
		return "", fmt.Errorf("%s exited before printing a line: %s", p.Name, p.Log())
	case <-ctx.Done():
		return "", fmt.Errorf("%s printed no complete line: %w", p.Name, ctx.Err())
	}
}

// Log returns the stdout and stderr of the process so far, or the error of
// reading the log file.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Pause suspends the process (SIGSTOP) until Resume.
func (p *Process) Pause() error {
	p.setPaused(true)
	return p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a paused process (SIGCONT).
func (p *Process) Resume() error {
	p.setPaused(false)
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// setPaused sets the value that Paused returns.
func (p *Process) setPaused(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = paused
}

// Paused reports whether the process is paused.
func (p *Process) Paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

// Kill sends SIGKILL and waits until the process has exited. It does nothing if
// the process has already exited.
func (p *Process) Kill() error {
	err := p.cmd.Process.Kill()
	<-p.ended
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Terminate requests a graceful shutdown (SIGTERM) without waiting for it.
func (p *Process) Terminate() error {
	return p.cmd.Process.Signal(syscall.SIGTERM)
}

// Hangup sends SIGHUP, upon which a daemon reloads its settings.
func (p *Process) Hangup() error {
	return p.cmd.Process.Signal(syscall.SIGHUP)
}

// Wait waits until the process has exited and returns its exit error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-ctx.Done():
		return fmt.Errorf("%s is still running: %w", p.Name, ctx.Err())
	}
}

// firstLineWriter copies everything written to a file and keeps the first line.
type firstLineWriter struct {
	out      *os.File
	buffer   bytes.Buffer
	line     string
	complete chan struct{}
}

// newFirstLineWriter returns a firstLineWriter that copies to out.
func newFirstLineWriter(out *os.File) *firstLineWriter {
	return &firstLineWriter{out: out, complete: make(chan struct{})}
}

// Write implements io.Writer.
func (c *firstLineWriter) Write(data []byte) (int, error) {
	if c.line == "" {
		c.buffer.Write(data)
		if line, _, found := bytes.Cut(c.buffer.Bytes(), []byte("\n")); found {
			c.line = string(line)
			close(c.complete)
		}
	}
	return c.out.Write(data)
}
