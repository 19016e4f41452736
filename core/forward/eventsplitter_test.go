package forward

import (
	"testing"
	"time"
)

// TestEventInSmallPartsIsSplitInLinearTime guards against an event that arrives in small
// parts taking time that grows with the square of its size.
func TestEventInSmallPartsIsSplitInLinearTime(t *testing.T) {
	const size = 1 << 18
	var s eventSplitter
	started := time.Now()
	for range size {
		if events := s.feed([]byte("x")); events != nil {
			t.Fatalf("%d bytes of an incomplete event were returned", len(events))
		}
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("%d parts took %v, want under 1 s", size, took)
	}
	for _, part := range []string{"\n", "\nid: 7", "\n", "\ny"} {
		s.feed([]byte(part))
	}
	if s.lastID != "7" || string(s.partial) != "y" {
		t.Errorf("last id %q and %q left, want 7 and y", s.lastID, s.partial)
	}
}
