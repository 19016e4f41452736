package forward

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"
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

// TestPanicEndsPlainCalls guards against a call of a hedged request that continues, and may
// write to the caller, after the handler of the request has ended with a panic.
func TestPanicEndsPlainCalls(t *testing.T) {
	h := newHarness(t)
	var calls, ended atomic.Int64
	h.router.Calls.Send = func(ctx context.Context, _ Call, sink Sink) error {
		defer ended.Add(1)
		if calls.Add(1) == 2 {
			return sendAnswer(sink, 200, "A")
		}
		<-ctx.Done()
		time.Sleep(20 * time.Millisecond)
		return ctx.Err()
	}
	got := &reply{onWrite: func() { panic("defect") }}
	h.serveTo(t.Context(), got, "safe", func(*Request) {})
	if calls.Load() != 2 || ended.Load() != 2 {
		t.Errorf("%d of %d calls have ended when the handler returns, want 2 of 2", ended.Load(), calls.Load())
	}
}
