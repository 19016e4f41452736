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

// Spec says what to start.
type Spec struct {
	Name string   // Name of the log file; unique for each start.
	Path string   // Program.
	Args []string // Arguments.
	Env  []string // Environment besides that of this process, as NAME=VALUE.
}

// Process is a process that a Runner started.
type Process struct {
	Name string

	cmd       *exec.Cmd
	log       *os.File
	firstLine *lineCatcher
	ended     chan struct{}

	mu     sync.Mutex
	paused bool
	err    error
}

// Start starts a process. Its output goes to a log file.
func (r *Runner) Start(spec Spec) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(r.dir, spec.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	p := &Process{
		Name:      spec.Name,
		log:       log,
		firstLine: newLineCatcher(log),
		ended:     make(chan struct{}),
		cmd:       exec.Command(spec.Path, spec.Args...),
	}
	p.cmd.Env = append(os.Environ(), spec.Env...)
	p.cmd.Stdout = p.firstLine
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	r.launches <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", spec.Name, err), log.Close())
	}
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	go p.wait()
	return p, nil
}

// wait notes the end of the process.
func (p *Process) wait() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = errors.Join(err, p.log.Close())
	p.mu.Unlock()
	close(p.ended)
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// FirstLine waits for the first line that the process prints.
func (p *Process) FirstLine(ctx context.Context) (string, error) {
	select {
	case <-p.firstLine.caught:
		return p.firstLine.line, nil
	case <-p.ended:
		return "", fmt.Errorf("%s ended: %s", p.Name, p.Log())
	case <-ctx.Done():
		return "", fmt.Errorf("%s printed nothing: %w", p.Name, ctx.Err())
	}
}

// Log returns all that the process has printed.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Pause stops the process (SIGSTOP) until Resume.
func (p *Process) Pause() error {
	p.setPaused(true)
	return p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume lets a paused process go on (SIGCONT).
func (p *Process) Resume() error {
	p.setPaused(false)
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// setPaused notes whether the process is paused.
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

// Kill ends the process at once (SIGKILL) and waits for it. It does nothing
// when the process has ended.
func (p *Process) Kill() error {
	err := p.cmd.Process.Kill()
	<-p.ended
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Terminate asks the process to end (SIGTERM).
func (p *Process) Terminate() error {
	return p.cmd.Process.Signal(syscall.SIGTERM)
}

// Wait waits until the process has ended and returns how.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-ctx.Done():
		return fmt.Errorf("%s still runs: %w", p.Name, ctx.Err())
	}
}

// lineCatcher passes on what is written, and keeps the first line.
type lineCatcher struct {
	out    *os.File
	buffer bytes.Buffer
	line   string
	caught chan struct{}
}

// newLineCatcher returns a catcher that writes to out.
func newLineCatcher(out *os.File) *lineCatcher {
	return &lineCatcher{out: out, caught: make(chan struct{})}
}

// Write implements io.Writer.
func (c *lineCatcher) Write(data []byte) (int, error) {
	if c.line == "" {
		c.buffer.Write(data)
		if line, _, found := bytes.Cut(c.buffer.Bytes(), []byte("\n")); found {
			c.line = string(line)
			close(c.caught)
		}
	}
	return c.out.Write(data)
}
