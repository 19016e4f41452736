package forward

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/fault"
	"monsoonfork/core/loglimit"
)

// TestRefusalLogIsBounded refuses one organisation 10,000 times within a window and
// another one once. The second must still be logged.
func TestRefusalLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	var ends []func()
	r := newRefusalLog(log.NewLogfmtLogger(&out))
	r.AfterFunc = func(d time.Duration, f func()) *time.Timer {
		if d != loglimit.Window {
			t.Errorf("window of %v, want loglimit.Window", d)
		}
		ends = append(ends, f)
		return nil
	}
	frequent, rare := refusalKey{fault.RateExceeded, "frequent", "r"}, refusalKey{fault.RateExceeded, "rare", "r"}
	lines := 0
	for range 10_000 {
		if r.Allow(frequent) {
			lines++
		}
	}
	if lines != loglimit.MaxLines || !r.Allow(rare) {
		t.Errorf("%d lines about the frequent organisation, want %d", lines, loglimit.MaxLines)
	}
	if len(ends) != 2 {
		t.Fatalf("%d windows, want 2", len(ends))
	}
	for _, end := range ends {
		end()
	}
	want := `msg="refusals suppressed" kind=RateExceeded organisation=frequent route=r count=9980`
	if got := out.String(); !strings.Contains(got, want) || strings.Count(got, "\n") != 1 {
		t.Errorf("logged %q, want one line with %s", got, want)
	}
	if !r.Allow(frequent) || len(ends) != 3 {
		t.Error("the window did not end")
	}
}
