package forward

import (
	"testing"

	"monsoonfork/core/catalog"
)

// TestAtMostOnceIsNotResumed has an engine fall silent on a route whose requests may run only
// once and which is marked as resumable. The request must not be sent to a second engine.
func TestAtMostOnceIsNotResumed(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	route, _ := h.router.Catalog().Route("h", "/resume/x")
	route.Kind = catalog.AtMostOnce
	h.send = func(_ int, c Call, sink Sink) error { return sendStream(c, sink, silentAfter, silence) }
	checkComplete(t, h.serve("resume"))
	if len(h.sent) != 1 {
		t.Errorf("%d calls of an at-most-once route, want 1", len(h.sent))
	}
}
