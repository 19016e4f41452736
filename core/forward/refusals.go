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
	// refusalWindow is the time in which refusals that are alike are counted.
	refusalWindow = time.Second
	// refusalLines is how many of them have a line of their own: enough to find most
	// callers' requests, and a bound for a loop that sends thousands.
	refusalLines = 20
)

// refusalKey is what refusals have in common that are counted together.
type refusalKey struct {
	kind         fault.Kind
	organisation ident.OrganisationID
	route        string
}

// refusals bounds the lines about refusals that are alike.
type refusals struct {
	log   log.Logger
	after func(time.Duration, func()) *time.Timer

	mu   sync.Mutex
	seen map[refusalKey]int // In the window of each.
}

// newRefusals returns a bound without refusals.
func newRefusals(logger log.Logger) *refusals {
	return &refusals{log: logger, after: time.AfterFunc, seen: make(map[refusalKey]int)}
}

// shown reports whether a refusal has a line of its own.
func (r *refusals) shown(k refusalKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen[k] == 0 {
		r.after(refusalWindow, func() { r.endWindow(k) })
	}
	r.seen[k]++
	return r.seen[k] <= refusalLines
}

// endWindow says how many refusals had no line.
func (r *refusals) endWindow(k refusalKey) {
	r.mu.Lock()
	hidden := r.seen[k] - refusalLines
	delete(r.seen, k)
	r.mu.Unlock()
	if hidden > 0 {
		_ = level.Info(r.log).Log("msg", event.RefusalsNotShown, "kind", k.kind, "organisation", k.organisation,
			"route", k.route, "count", hidden, "window_ms", refusalWindow.Milliseconds())
	}
}
