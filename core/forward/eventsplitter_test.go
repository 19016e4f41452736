package forward

import (
	"testing"
)

// TestEventInSmallPartsIsSplitInLinearTime guards against an event that arrives in small
// parts taking time that grows with the square of its size.
func TestEventInSmallPartsIsSplitInLinearTime(t *testing.T) {
	const (
		size      = 1 << 16
		factor    = 4
		tolerance = 1.1 // Of the growth of the work, beside that of the size.
	)
	small, large := splitInSmallParts(t, size), splitInSmallParts(t, factor*size)
	if limit := tolerance * factor * float64(small.searched); float64(large.searched) > limit {
		t.Errorf("%d bytes searched in %d parts and %d in %d, want at most %.0f", small.searched, size, large.searched, factor*size, limit)
	}
	if limit := tolerance * factor * float64(small.copied); float64(large.copied) > limit {
		t.Errorf("%d bytes copied in %d parts and %d in %d, want at most %.0f", small.copied, size, large.copied, factor*size, limit)
	}
}

// splitWork is what a splitter has done for an event.
type splitWork struct {
	searched int // Bytes in which the end of the event was searched.
	copied   int // Bytes moved to a larger buffer.
}

// splitInSmallParts feeds an event in parts of a byte and returns the work done.
func splitInSmallParts(t *testing.T, size int) (w splitWork) {
	t.Helper()
	s := eventSplitter{lastEnd: func(data []byte) int {
		w.searched += len(data)
		return LastEventEnd(data)
	}}
	for range size {
		before := cap(s.partial)
		if events := s.feed([]byte("x")); events != nil {
			t.Fatalf("%d bytes of an incomplete event were returned", len(events))
		}
		if cap(s.partial) != before {
			w.copied += len(s.partial)
		}
	}
	for _, part := range []string{"\n", "\nid: 7", "\n", "\ny"} {
		s.feed([]byte(part))
	}
	if s.lastID != "7" || string(s.partial) != "y" {
		t.Errorf("last id %q and %q left, want 7 and y", s.lastID, s.partial)
	}
	return w
}
