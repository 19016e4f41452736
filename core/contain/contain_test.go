package contain

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/fault"
)

// TestRunReportsPanics checks that a panic becomes an error, a count and a log line that
// shows where it was, and that a step without one leaves none of them.
func TestRunReportsPanics(t *testing.T) {
	var logged bytes.Buffer
	b := Boundary{Log: log.NewLogfmtLogger(&logged), Panics: metrics.NewCounter()}
	if err := b.Run("sound", func() {}); err != nil || b.Panics.Count() != 0 || logged.Len() != 0 {
		t.Errorf("a step without a panic: %v, %d panics, %q", err, b.Panics.Count(), logged.String())
	}
	err := b.Run("odd", func() { panic("odd answer") })
	if !fault.Is(err, fault.Internal) || fault.From(err).Ran != fault.MayHaveRun || b.Panics.Count() != 1 {
		t.Errorf("a step with a panic: %v, %d panics", err, b.Panics.Count())
	}
	for _, want := range []string{"panic contained", "step=odd", "odd answer", "contain_test.go"} {
		if !strings.Contains(logged.String(), want) {
			t.Errorf("the log line lacks %q: %s", want, logged.String())
		}
	}
}

// TestLoopGoesOnAfterPanic guards against a panic that ends the process or a loop, and against
// a loop that is run again after it has ended by itself or its context has.
func TestLoopGoesOnAfterPanic(t *testing.T) {
	b := Boundary{Log: log.NewNopLogger(), Panics: metrics.NewCounter()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	runs := 0
	b.Loop(ctx, "returns", func(context.Context) {
		if runs++; runs == 1 {
			panic("odd entry")
		}
	})
	if runs != 2 || b.Panics.Count() != 1 {
		t.Errorf("%d runs, %d panics; want 2 and 1", runs, b.Panics.Count())
	}
	b.Loop(ctx, "ends", func(context.Context) {
		runs++
		cancel()
		panic("odd end")
	})
	if runs != 3 {
		t.Errorf("%d runs, want 3: none after the end of the context", runs)
	}
}
