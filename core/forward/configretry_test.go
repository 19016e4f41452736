package forward

import (
	"testing"
	"time"

	"monsoonfork/core/catalog"
	"monsoonfork/core/fault"
)

// TestRefusalWithoutConfigurationTellsWhenItIsExpected guards against callers that use up their
// retries while all instances start: their Retry-After ended sooner than any configuration can
// be there.
func TestRefusalWithoutConfigurationTellsWhenItIsExpected(t *testing.T) {
	h := newHarness(t)
	now := time.Now()
	h.router.now = func() time.Time { return now }
	h.router.Catalog = func() *catalog.Catalog { return nil }
	for _, c := range []struct {
		listed time.Duration // When this instance lists the store.
		want   time.Duration
	}{{0, noConfigRetryAfter}, {time.Second, time.Second + listTime}, {-time.Second, noConfigRetryAfter}} {
		h.router.ConfigBy = func() time.Time { return now.Add(c.listed) }
		f := fault.From(h.serve("stream").err)
		if got := f.RetryAfter.Sub(now); f.Ran != fault.NotRun || got != c.want {
			t.Errorf("store listed in %v: retry after %v, ran %v; want %v, not run", c.listed, got, f.Ran, c.want)
		}
	}
}
