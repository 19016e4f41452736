package platformsoak

import (
	"errors"
	"testing"
	"time"

	"monsoonfork/platform/standin"
)

// TestCheckHeld checks a whole request on a held connection without an answer: it is a
// finding unless the close may have crossed it, or its engine, deadline or process excuses it.
func TestCheckHeld(t *testing.T) {
	for name, c := range map[string]struct {
		alter func(r *run, a *request)
		want  int
	}{
		"answered": {func(_ *run, a *request) { a.answer.Err = nil }, 0},
		"closed":   {func(*run, *request) {}, 1},
		"crossed":  {func(_ *run, a *request) { a.endedAt = a.sentAt.Add(closeCrossing) }, 0},
		"not held": {func(_ *run, a *request) { a.held = false }, 0},
		"stopping": {func(r *run, a *request) { r.plannedStops[a.process] = a.sentAt.Add(-time.Second) }, 1},
		"at limit": {func(r *run, a *request) { r.plannedStops[a.process] = a.sentAt.Add(-stopTime) }, 0},
		"killed":   {func(r *run, a *request) { r.interrupted[a.process] = []time.Time{a.endedAt} }, 0},
		"expired":  {func(_ *run, a *request) { a.Timeout = time.Second }, 0},
		"engine": {func(r *run, a *request) {
			r.testbed.replicas = []*replica{{name: "plain-0", engineIDs: []string{"e"}}}
			r.faultSpans["plain-0"] = []faultSpan{{from: a.sentAt}}
		}, 0},
	} {
		r := newTestRun()
		a, runs := goodRequest(r)
		a.held, a.Timeout, a.endedAt, a.answer = true, 3*time.Second, a.sentAt.Add(time.Second), standin.Answer{Err: errors.New("EOF")}
		c.alter(r, a)
		r.checkHeld(a, runs)
		if got := r.findingCounts()[HeldRequestsAreAnswered]; got != c.want {
			t.Errorf("%s: found %v, want %d", name, r.findings, c.want)
		}
	}
}
