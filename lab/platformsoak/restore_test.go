package platformsoak

import (
	"testing"
	"time"

	"monsoonfork/platform/standin"
)

// TestRemovedEngineIsCheckedDespiteTheStore guards against a check that lets requests to a removed engine
// pass since the store was away after the removal, and against one that reports what an instance could not
// know: the store was away at the removal, or the instance was disturbed since.
func TestRemovedEngineIsCheckedDespiteTheStore(t *testing.T) {
	removed := time.Now()
	sent := removed.Add(drainTime + learnTime + 2*measurementSlack)
	for name, c := range map[string]struct {
		fault    string
		from     time.Duration
		sentAt   time.Time
		findings int
	}{
		"store away later":         {storeName, 2 * learnTime, sent, 1},
		"store away at removal":    {storeName, learnTime / 2, sent, 0},
		"instance disturbed since": {"front", 2 * learnTime, sent, 0},
		"within the drain time":    {storeName, 2 * learnTime, removed.Add(drainTime), 0},
	} {
		r := &run{faultSpans: map[string][]faultSpan{c.fault: {{from: removed.Add(c.from), to: removed.Add(c.from + learnTime)}}}}
		a := &request{instance: "front", process: "front-1", sentAt: c.sentAt}
		arrival := standin.Arrival{Request: "1", Engine: "e", At: c.sentAt, RemovedSince: removed}
		r.checkRemoved(map[string]*request{"1": a}, []standin.Arrival{arrival})
		if len(r.findings) != c.findings {
			t.Errorf("%s: findings %v, want %d", name, r.findings, c.findings)
		}
	}
}
