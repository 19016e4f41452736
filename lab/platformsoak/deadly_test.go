package platformsoak

import (
	"testing"
	"time"

	"monsoonfork/platform/standin"
)

// TestCheckDeadly guards against the check passing over requests that were sent on, or counting
// those of instances that could not know.
func TestCheckDeadly(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		crashes, late int
		faulty        bool
		want          int
	}{
		"too few crashes":       {deadlyCrashLimit - 1, 10, false, 0},
		"as many as allowed":    {deadlyCrashLimit, maxDeadlySent, false, 0},
		"more":                  {deadlyCrashLimit, maxDeadlySent + 1, false, 1},
		"instance with a fault": {deadlyCrashLimit, maxDeadlySent + 1, true, 0},
	} {
		r := &run{start: start, faultSpans: make(map[string][]faultSpan)}
		for range c.crashes {
			r.deadly.crashes = append(r.deadly.crashes, start)
		}
		if c.faulty {
			r.faultSpans["i"] = []faultSpan{{from: start}}
		}
		requests := map[string]*request{"d": {instance: "i", deadly: true}, "s": {instance: "i"}}
		var arrivals []standin.Arrival
		for range c.late {
			at := start.Add(deadlyWindow + time.Second)
			arrivals = append(arrivals, standin.Arrival{Request: "d", At: at}, standin.Arrival{Request: "s", At: at}, standin.Arrival{Request: "d", At: start})
		}
		r.checkDeadly(requests, arrivals)
		if len(r.findings) != c.want {
			t.Errorf("%s: %v, want %d findings", name, r.findings, c.want)
		}
	}
}
