package platformsoak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"monsoonfork/platform/standin"
)

// expectation is the outcome of a request that a change of the configuration must lead to.
type expectation struct {
	key, path string
	changedAt time.Time // When the change was written to the store.
	served    bool      // Whether the request must be served; otherwise it must be refused.
}

// allows reports whether a status agrees with the expectation. A refusal for a reason
// other than the configuration, such as overload, always does.
func (e expectation) allows(status int) bool {
	denied := status == http.StatusUnauthorized || status == http.StatusNotFound
	if e.served {
		return !denied
	}
	return status >= http.StatusBadRequest || status == 0
}

// expect adds an expectation. It replaces an earlier one for the same key and path.
func (r *run) expect(e expectation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expected == nil {
		r.expected = make(map[string]expectation)
	}
	r.expected[e.key+e.path] = e
}

// expectDuring replaces what is expected for a key and path: nothing while a change is
// being written, then e.
func (r *run) expectDuring(e expectation, change func() error) error {
	r.unexpect(e.key, e.path)
	err := change()
	e.changedAt = time.Now()
	r.expect(e)
	return err
}

// unexpect removes what is expected for a key and path.
func (r *run) unexpect(key, path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.expected, key+path)
}

// isExpected reports whether an expectation is still in force.
func (r *run) isExpected(e expectation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.expected[e.key+e.path] == e
}

// expectations returns a copy of the current expectations.
func (r *run) expectations() []expectation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []expectation
	for _, e := range r.expected {
		list = append(list, e)
	}
	return list
}

// probeChanges checks the expectations at every instance until ctx ends.
func (r *run) probeChanges(ctx context.Context) {
	c := standin.NewCaller()
	defer c.Close()
	seen := make(map[string]bool) // Changes seen in force, by process and expectation.
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, 200*time.Millisecond)
		for _, i := range r.testbed.instances {
			for _, e := range r.expectations() {
				n++
				r.probeInstance(c, i, e, n, seen)
			}
		}
	}
}

// probeInstance sends one request to an instance and checks its status. Until applyTime
// after a change the old and the new status are both allowed, but not the old one after
// the new one.
func (r *run) probeInstance(c *standin.Caller, i *instance, e expectation, n int, seen map[string]bool) {
	p := i.currentProcess()
	at := time.Now()
	answer := c.Do(context.Background(), string(i.settings.CallerAddress), standin.Request{
		ID: fmt.Sprintf("probe-%d-%d", r.cfg.Seed, n), Host: routeHost, Path: e.path, Key: e.key, Timeout: plainTimeout,
	})
	if p != i.currentProcess() || !r.isExpected(e) || answer.Status == 0 || answer.Status >= http.StatusTooManyRequests {
		return
	}
	state := fmt.Sprint(p.Name, e.key, e.path, e.served, e.changedAt.UnixNano())
	if e.allows(answer.Status) {
		seen[state] = true
		return
	}
	if seen[state] {
		r.addFinding(ChangesAreInForce, "%s reverted a change: %s with key %s has status %d", p.Name, e.path, e.key, answer.Status)
		return
	}
	if at.Sub(e.changedAt) > applyTime && r.faultFree(i.name, e.changedAt, at) && r.faultFree(storeName, e.changedAt, at) {
		r.addFinding(ChangesAreInForce, "%s lacks a change after %.1fs: %s with key %s has status %d", p.Name, at.Sub(e.changedAt).Seconds(), e.path, e.key, answer.Status)
	}
}
