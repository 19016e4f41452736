package forward

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/fault"
)

// TestRefusalsAreBounded has one organisation refused 10,000 times within a second,
// and another one once.
func TestRefusalsAreBounded(t *testing.T) {
	var out bytes.Buffer
	var ends []func()
	r := newRefusals(log.NewLogfmtLogger(&out))
	r.after = func(d time.Duration, f func()) *time.Timer {
		if d != refusalWindow {
			t.Errorf("a window of %v", d)
		}
		ends = append(ends, f)
		return nil
	}
	loud, quiet := refusalKey{fault.RateExceeded, "loud", "r"}, refusalKey{fault.RateExceeded, "quiet", "r"}
	lines := 0
	for range 10_000 {
		if r.shown(loud) {
			lines++
		}
	}
	if lines != refusalLines || !r.shown(quiet) {
		t.Errorf("%d lines about the loud organisation, want %d", lines, refusalLines)
	}
	if len(ends) != 2 {
		t.Fatalf("%d windows, want 2", len(ends))
	}
	for _, end := range ends {
		end()
	}
	want := `msg="refusals not shown" kind=RateExceeded organisation=loud route=r count=9980`
	if got := out.String(); !strings.Contains(got, want) || strings.Count(got, "\n") != 1 {
		t.Errorf("logged %q, want one line with %s", got, want)
	}
	if !r.shown(loud) || len(r.seen) != 1 {
		t.Error("a window does not end")
	}
}
