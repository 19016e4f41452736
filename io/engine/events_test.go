package engine

import (
	"strings"
	"testing"
	"time"
)

// TestLongLineInSmallParts guards against a line that arrives in small parts taking time
// that grows with the square of its size.
func TestLongLineInSmallParts(t *testing.T) {
	var r eventReader
	started := time.Now()
	for range 1 << 19 {
		if err := r.feed([]byte("x"), func([]byte) error { return nil }); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("took %v, want under 1 s", took)
	}
	var got []string
	for _, part := range []string{"\ndata: a\nda", "ta: b\r", "\n"} {
		if err := r.feed([]byte(part), func(data []byte) error { got = append(got, string(data)); return nil }); err != nil {
			t.Fatal(err)
		}
	}
	if strings.Join(got, ",") != "a,b" {
		t.Errorf("got %q, want a and b", got)
	}
}
