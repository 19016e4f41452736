package forward

import (
	"strings"
	"testing"
)

// TestHedgeDoesNotWriteIntoAnswer has the slower of two calls get a large answer while that of
// the faster one is written. The caller must get the bytes of one engine only.
func TestHedgeDoesNotWriteIntoAnswer(t *testing.T) {
	h := newHarness(t)
	small := make(chan struct{})
	large := make(chan struct{})
	h.send = func(n int, _ Call, sink Sink) error {
		if n == 1 {
			<-small
			_ = sendAnswer(sink, 200, strings.Repeat("B", maxBufferedAnswer+1))
			close(large)
			return nil
		}
		return sendAnswer(sink, 200, "A")
	}
	got := &reply{}
	first := true
	got.onWrite = func() {
		if first {
			first = false
			close(small)
			<-large
		}
	}
	h.serveTo(t.Context(), got, "safe", func(*Request) {})
	if got.body.String() != "A" {
		t.Errorf("the answer has %d bytes, want 1", got.body.Len())
	}
}
