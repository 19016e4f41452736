package caller

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/membudget"
)

// waitingWrite is a write to a caller that reads nothing.
type waitingWrite struct {
	server *Server
	caller *net.TCPConn
	lines  *lineCounter
	result chan error // Receives the error of the write.
}

// newWaitingWrite starts a server and a write that waits. deadline is the time until the
// deadline of the request.
func newWaitingWrite(t *testing.T, deadline time.Duration) *waitingWrite {
	t.Helper()
	w := &waitingWrite{lines: &lineCounter{}, result: make(chan error, 1)}
	s := NewForwardingServer(func(f *ForwardedRequest) {
		f.SetDeadline(time.Now().Add(deadline))
		_ = f.x.conn.nbc.SetWriteBuffer(smallBuffer)
		f.WriteHeader(http.StatusOK, http.Header{}, 1<<20)
		err := f.Write(make([]byte, 1<<20))
		f.Abort()
		w.result <- err
	}, log.NewLogfmtLogger(w.lines), WithMemory(membudget.New(membudget.LimitFor(testMemoryMB))))
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.server = s
	w.caller = muteCaller(t, string(address), "/")
	eventually(t, "the write waits", 2*time.Second, func() bool { return s.metrics.waitingWrites.Count() > 0 })
	return w
}

// checkEnd checks that the write ends in time with an error of the given kind, that the caller
// does not get a whole answer, and that nothing is held any more.
func (w *waitingWrite) checkEnd(t *testing.T, within time.Duration, kind fault.Kind) {
	t.Helper()
	select {
	case err := <-w.result:
		if !fault.Is(err, kind) {
			t.Errorf("the write ended with %v, want kind %v", err, kind)
		}
	case <-time.After(within):
		t.Fatalf("the write still waits after %v", within)
	}
	eventually(t, "the memory is free", time.Second, func() bool { return w.server.memory.Held() == 0 })
	if n, err := io.Copy(io.Discard, w.caller); err == nil && n >= 1<<20 {
		t.Error("the answer looks complete")
	}
}

// TestWaitEndsAfterDeadline guards against a write that waits without end for a caller that
// reads nothing.
func TestWaitEndsAfterDeadline(t *testing.T) {
	t.Parallel()
	w := newWaitingWrite(t, 100*time.Millisecond)
	defer func() { _ = w.server.Close() }()
	w.checkEnd(t, maxPauseAfterDeadline+2*time.Second, fault.CallerGone)
	if n := w.lines.count(event.CallerEnded); n != 1 {
		t.Errorf("%d log lines, want 1", n)
	}
}

// TestWaitEndsWithConnection guards against a write that waits for a caller that has left.
func TestWaitEndsWithConnection(t *testing.T) {
	t.Parallel()
	w := newWaitingWrite(t, time.Hour)
	defer func() { _ = w.server.Close() }()
	_ = w.caller.SetLinger(0)
	_ = w.caller.Close()
	w.checkEnd(t, time.Second, fault.CallerGone)
}

// TestWaitEndsWithClose guards against a server that waits for a caller when the process stops.
func TestWaitEndsWithClose(t *testing.T) {
	t.Parallel()
	w := newWaitingWrite(t, time.Hour)
	started := time.Now()
	if err := w.server.Close(); err != nil {
		t.Error(err)
	}
	if took := time.Since(started); took > closeTimeout/2 {
		t.Errorf("Close took %v", took)
	}
	w.checkEnd(t, time.Second, fault.ShuttingDown)
}
