package forward

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"

	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
)

// deadlyPart is a part of a prompt under which simulated engines crash.
const deadlyPart = ident.PartID("dead")

// newCrashHarness returns a harness whose decode engines crash as they begin to answer a
// prompt with deadlyPart, and serve all others. Crashed engines are started again at once, so
// that there is always one to send to.
func newCrashHarness(t *testing.T) (h *harness, crashes *atomic.Int64) {
	t.Helper()
	h = newStallHarness(t, 2)
	crashes = &atomic.Int64{}
	h.isDown = func(engines.Entry) bool { return true }
	h.send = func(_ int, c Call, sink Sink) error {
		if slices.Contains(c.Request.Parts, deadlyPart) {
			crashes.Add(1)
			return errBroken
		}
		return sendStream(c, sink, 0, 0)
	}
	return h, crashes
}

// withParts returns a change of a request that sets the parts of its prompt.
func withParts(parts ...ident.PartID) func(*Request) {
	return func(q *Request) { q.Parts = parts }
}

// TestPartThatCrashesEnginesIsNotSentOn guards against requests whose prompts share a part that
// crashes engines being sent to one engine after the other. Sound requests that share their
// other parts must be served meanwhile.
func TestPartThatCrashesEnginesIsNotSentOn(t *testing.T) {
	const maxCrashes = 5
	for _, route := range []string{"stream", "resume"} {
		h, crashes := newCrashHarness(t)
		for i := range 30 {
			own := ident.PartID(fmt.Sprintf("%x", i))
			h.serveRequest(context.Background(), route, withParts("first", deadlyPart, own))
			got := h.serveRequest(context.Background(), route, withParts("first", own))
			if got.err != nil || got.aborted {
				t.Errorf("%s: sound request %d: error %v, aborted %v", route, i, got.err, got.aborted)
			}
		}
		if n := crashes.Load(); n > maxCrashes {
			t.Errorf("%s: %d engines crashed, want at most %d", route, n, maxCrashes)
		}
	}
}
