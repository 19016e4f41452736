package forward

import (
	"testing"
	"time"

	"monsoonfork/core/fault"
)

// TestStreamEndsWhileMoveIsRefused guards against a stream whose engine fails while it is ordered to stop
// the run lasting until its deadline.
func TestStreamEndsWhileMoveIsRefused(t *testing.T) {
	ended := make(chan struct{})
	noSuchRun := fault.New(fault.NotFound, "no such run")
	h := newMoveHarness(t, func(m Move) (MoveReply, error) {
		if m.Last {
			close(ended)
			time.Sleep(50 * time.Millisecond)
			return MoveReply{}, noSuchRun
		}
		select {
		case <-ended:
			return MoveReply{}, noSuchRun
		default:
			return complete(m)
		}
	}, nil)
	send := h.send
	h.send = func(n int, c Call, sink Sink) error {
		if n == 1 {
			go func() { <-ended; close(h.stopped) }()
		}
		return send(n, c, sink)
	}
	began := time.Now()
	got := h.serve("stream")
	if took := time.Since(began); took > 700*time.Millisecond {
		t.Errorf("the stream ended after %v, aborted %v, %d calls for moves", took, got.aborted, len(h.moves))
	}
}
