package contain

import (
	"bytes"
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
