package platformsoak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"monsoonfork/platform/standin"
)

// expectation is what a change makes of a request.
type expectation struct {
	key, path string
	since     time.Time // When the store took the change.
	served    bool      // Else it is refused.
}

// allows reports whether a status is what is expected. A refusal that says nothing
// of the configuration is.
func (e expectation) allows(status int) bool {
	denied := status == http.StatusUnauthorized || status == http.StatusNotFound
	if e.served {
		return !denied
	}
	return status >= http.StatusBadRequest || status == 0
}

// expect adds an expectation. A later one for the same request takes its place.
func (r *run) expect(e expectation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expected == nil {
		r.expected = make(map[string]expectation)
	}
	r.expected[e.key+e.path] = e
}

// expectations returns the expectations.
func (r *run) expectations() []expectation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []expectation
	for _, e := range r.expected {
		list = append(list, e)
	}
	return list
}

// probe asks every instance for what was changed, until ctx ends.
func (r *run) probe(ctx context.Context) {
	c := standin.NewCaller()
	defer c.Close()
	seen := make(map[string]bool) // By process and request: the change was in force.
	for n := 0; ctx.Err() == nil; n++ {
		wait(ctx, 200*time.Millisecond)
		for _, i := range r.world.instances {
			for _, e := range r.expectations() {
				n++
				r.probeOne(c, i, e, n, seen)
			}
		}
	}
}

// probeOne asks one instance and checks the answer. Within the time that a change
// has, either answer is right, but not the old one after the new one.
func (r *run) probeOne(c *standin.Caller, i *instance, e expectation, n int, seen map[string]bool) {
	p := i.current()
	at := time.Now()
	answer := c.Do(context.Background(), string(i.settings.CallerAddress), standin.Request{
		ID: fmt.Sprintf("probe-%d-%d", r.cfg.Seed, n), Host: host, Path: e.path, Key: e.key, Timeout: plainWait,
	})
	if p != i.current() || answer.Status == 0 || answer.Status >= http.StatusTooManyRequests {
		return
	}
	state := fmt.Sprint(p.Name, e.key, e.path, e.served)
	if e.allows(answer.Status) {
		seen[state] = true
		return
	}
	if seen[state] {
		r.find(ChangesAreInForce, "%s went back: %s with %s has status %d", p.Name, e.path, e.key, answer.Status)
		return
	}
	if at.Sub(e.since) > applyTime && r.calm(i.name, e.since, at) && r.calm(storeName, e.since, at) {
		r.find(ChangesAreInForce, "%s %.1fs after the change: %s with %s has status %d", p.Name, at.Sub(e.since).Seconds(), e.path, e.key, answer.Status)
	}
}
