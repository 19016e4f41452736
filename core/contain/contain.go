// Package contain keeps a panic in work on data from outside from ending the process.
package contain

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/sleep"
)

// Panic describes a panic.
type Panic struct {
	Cause string // What panic was called with.
	Stack string
}

// Call calls f and returns its panic, or nil. A *Panic of another goroutine that f panics
// with is returned as it is.
func Call(f func()) (p *Panic) {
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case *Panic:
			p = cause
		default:
			p = &Panic{Cause: fmt.Sprintf("%.200v", cause), Stack: string(debug.Stack())}
		}
	}()
	f()
	return nil
}

// Boundary contains the panics of steps.
type Boundary struct {
	Log    log.Logger
	Panics metrics.Counter // Number of panics.
}

// Run runs a step. A panic in it ends only the step: it is logged and counted, and returned as
// an error of kind Internal, which states that a request may have run.
func (b Boundary) Run(step string, f func()) error {
	p := Call(f)
	if p == nil {
		return nil
	}
	b.Panics.Inc(1)
	_ = level.Error(b.Log).Log("msg", event.PanicContained, "step", step, "err", p.Cause, "stack", p.Stack)
	return fault.New(fault.Internal, "internal error")
}

// loopPause is the pause after a panic in a loop.
const loopPause = 500 * time.Millisecond

// Loop calls run, which works until ctx ends. A panic in it ends only the current round: it is
// logged and counted, and run is called again after a pause.
func (b Boundary) Loop(ctx context.Context, step string, run func(context.Context)) {
	for b.Run(step, func() { run(ctx) }) != nil && ctx.Err() == nil {
		sleep.For(ctx, loopPause)
	}
}
