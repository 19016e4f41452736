package forward

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

const (
	// refusalWindow is the time in which refusals with the same key are counted.
	refusalWindow = time.Second
	// maxRefusalLines is how many refusals with the same key are logged in a window: enough
	// to find the requests of most callers, and a limit for a client that sends thousands
	// in a loop.
	maxRefusalLines = 20
)

// refusalKey identifies refusals that are counted together.
type refusalKey struct {
	kind         fault.Kind
	organisation ident.OrganisationID
	route        string
}

// refusalLog limits the log lines about refusals with the same key.
type refusalLog struct {
	log       log.Logger
	afterFunc func(time.Duration, func()) *time.Timer

	mu     sync.Mutex
	counts map[refusalKey]int // Refusals in the current window of each key.
}

// newRefusalLog returns a refusal log that has counted no refusals.
func newRefusalLog(logger log.Logger) *refusalLog {
	return &refusalLog{log: logger, afterFunc: time.AfterFunc, counts: make(map[refusalKey]int)}
}

// shouldLog counts a refusal and reports whether it is to be logged.
func (r *refusalLog) shouldLog(k refusalKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[k] == 0 {
		r.afterFunc(refusalWindow, func() { r.endWindow(k) })
	}
	r.counts[k]++
	return r.counts[k] <= maxRefusalLines
}

// endWindow ends the window of a key and logs how many refusals were not logged.
func (r *refusalLog) endWindow(k refusalKey) {
	r.mu.Lock()
	suppressed := r.counts[k] - maxRefusalLines
	delete(r.counts, k)
	r.mu.Unlock()
	if suppressed > 0 {
		_ = level.Info(r.log).Log("msg", event.RefusalsSuppressed, "kind", k.kind, "organisation", k.organisation,
			"route", k.route, "count", suppressed, "window_ms", refusalWindow.Milliseconds())
	}
}
