// Package matrix runs the table of request states and events: requests are brought into each
// state of their life at a real instance, an event happens, and what becomes of each request
// is compared with what the rules allow.
package matrix

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"monsoonfork/lab/process"
	"monsoonfork/platform/standin"
)

// Time limits of a run.
const (
	reachTimeout = 20 * time.Second // For the fleet to start and for all requests to get into their states.
	eventTimeout = 20 * time.Second
	endTimeout   = 20 * time.Second
	logTimeout   = 2 * time.Second // For the log lines of requests that have ended.
	stateTimeout = 3 * time.Second // For one request to get into its state.
	exitSlack    = time.Second     // After the time limit of a stop.
)

// exitLogLines is how many lines of an instance's log are shown if it has not ended as it should.
const exitLogLines = 30

// maxPrepareTries is how many requests may be sent to bring one into the state of a row.
const maxPrepareTries = 5

// Run brings a request into each state, lets the event happen, and returns the cells.
func Run(ctx context.Context, runner *process.Runner, e Event) ([]Cell, error) {
	return run(ctx, runner, e.String(), Events{e}, func(ctx context.Context, f *fleet, calls []*call) error {
		return f.runEvent(ctx, e, calls)
	})
}

// run starts a fleet, brings a request into each state, calls happen, which lets the events
// happen, and returns the cells.
func run(ctx context.Context, runner *process.Runner, name string, events Events, happen func(context.Context, *fleet, []*call) error) (cells []Cell, err error) {
	program, err := runner.Build(ctx, "monsoonfork")
	if err != nil {
		return nil, err
	}
	startCtx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	f, err := startFleet(startCtx, runner, program, name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.close()) }()
	calls, err := f.prepareAll(startCtx)
	if err != nil {
		return nil, err
	}
	eventCtx, cancelEvent := context.WithTimeout(ctx, eventTimeout)
	defer cancelEvent()
	if err := happen(eventCtx, f, calls); err != nil {
		return nil, err
	}
	endCtx, cancelEnd := context.WithTimeout(ctx, endTimeout)
	defer cancelEnd()
	return f.finish(endCtx, events, calls)
}

// prepareAll brings a request into the state of each row, those first that make an earlier
// request, so that the others are in their states for a short time when the event begins.
func (f *fleet) prepareAll(ctx context.Context) ([]*call, error) {
	var used, others []Row
	for _, r := range Rows() {
		if r.State == KeptIdle {
			used = append(used, r)
		} else {
			others = append(others, r)
		}
	}
	calls, err := f.prepareRows(ctx, used)
	if err != nil {
		return nil, err
	}
	more, err := f.prepareRows(ctx, others)
	f.calls = slices.Concat(calls, more)
	return f.calls, err
}

// prepareRows brings a request into the state of each of the rows.
func (f *fleet) prepareRows(ctx context.Context, rows []Row) ([]*call, error) {
	calls, failures := make([]*call, len(rows)), make([]error, len(rows))
	var preparing sync.WaitGroup
	for i, r := range rows {
		preparing.Go(func() {
			calls[i], failures[i] = f.prepareRow(ctx, r)
		})
	}
	preparing.Wait()
	return calls, errors.Join(failures...)
}

// prepareRow brings a request into the state of a row. One that is refused before, or is not in
// its state in time, as on a busy machine, is followed by another.
func (f *fleet) prepareRow(ctx context.Context, r Row) (c *call, err error) {
	for try := range maxPrepareTries {
		c, err = f.prepare(ctx, r, fmt.Sprintf("%d-%s", try, r.id()))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", r, err)
		}
		f.awaitState(ctx, c)
		if c.reached || c.hasEnded() && !c.answer.StatesNotRun() {
			break
		}
		c.conn.Close()
	}
	return c, nil
}

// runEvent lets the event happen, sends what is missing of the requests, and lets the engines
// continue.
func (f *fleet) runEvent(ctx context.Context, e Event, calls []*call) error {
	s := e.eventSteps()
	if err := s.begin(ctx, f); err != nil {
		return err
	}
	for _, c := range calls {
		c.sendRest()
	}
	if s.enginesFirst {
		f.releaseEngines(calls)
	}
	if s.end != nil {
		if err := s.end(f); err != nil {
			return err
		}
	}
	if !s.enginesFirst {
		f.releaseEngines(calls)
	}
	return nil
}

// releaseEngines lets the engines continue, and the callers read that did not.
func (f *fleet) releaseEngines(calls []*call) {
	f.engines.Holds.Release()
	for _, e := range f.full {
		e.SetBehaviour(standin.Correct)
	}
	for _, c := range calls {
		if c.row.State == Unacknowledged {
			go c.receive()
		}
	}
}

// awaitCalls waits until all calls have ended, or ctx does.
func awaitCalls(ctx context.Context, calls []*call) {
	for _, c := range calls {
		select {
		case <-c.done:
		case <-ctx.Done():
		}
		c.conn.Close()
		<-c.done
	}
}

// checkExit checks that the instance ends in time without an error.
func (f *fleet) checkExit(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopS*time.Second+exitSlack)
	defer cancel()
	if err := f.process.Wait(ctx); err != nil {
		return fmt.Errorf("stop: %w; end of the log: %s", err, lastLines(f.process.Log(), exitLogLines))
	}
	return nil
}

// lastLines returns the last n lines of a log.
func lastLines(log string, n int) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// finish waits until all calls have ended, and a stopping instance too, and returns the cells.
func (f *fleet) finish(ctx context.Context, events Events, calls []*call) ([]Cell, error) {
	awaitCalls(ctx, calls)
	var err error
	if events.stopsInTime() {
		err = f.checkExit(ctx)
	}
	return f.cells(ctx, events, calls), err
}

// cells returns the cells of the calls.
func (f *fleet) cells(ctx context.Context, events Events, calls []*call) []Cell {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	var cells []Cell
	for _, c := range calls {
		cell := Cell{Events: events, Row: c.row}
		await(ctx, func() bool {
			log := f.process.Log()
			runs := f.engines.Recorder.Runs()[c.request.ID]
			cell.Outcome, cell.Detail = c.classify(events, runs, log), c.describe(runs)+"\n"+linesOf(log, c.request.ID)
			return cell.Outcome != Unlogged
		})
		cells = append(cells, cell)
	}
	return cells
}
