package logwriter

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockableOutput is an output whose writes block until unblocked is closed.
type blockableOutput struct {
	mu        sync.Mutex
	unblocked chan struct{}
	buf       bytes.Buffer
}

func (g *blockableOutput) Write(b []byte) (int, error) {
	<-g.unblocked
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

func (g *blockableOutput) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

// TestBlockedOutputDropsLines writes far more lines than the queue holds while the
// output blocks: Write must not block, and every line must be written or counted as
// dropped.
func TestBlockedOutputDropsLines(t *testing.T) {
	g := &blockableOutput{unblocked: make(chan struct{})}
	w := New(g)
	const lines = 10 * maxQueuedLines
	started := time.Now()
	for range lines {
		if _, err := w.Write([]byte("msg=refused kind=Overloaded\n")); err != nil {
			t.Fatal(err)
		}
	}
	if elapsed := time.Since(started); elapsed > time.Second {
		t.Errorf("%d lines took %v: Write blocked on the output", lines, elapsed)
	}
	if w.Dropped() < lines-2*maxQueuedLines {
		t.Errorf("%d of %d lines were dropped, want more", w.Dropped(), lines)
	}
	close(g.unblocked)
	_ = w.Close()
	if out := g.String(); !strings.Contains(out, "log lines dropped") {
		t.Error("output does not report the dropped lines")
	}
	written := strings.Count(g.String(), "msg=refused")
	if got := int64(written) + w.Dropped(); got != lines {
		t.Errorf("%d lines written and %d dropped, want %d in total", written, w.Dropped(), lines)
	}
}

// TestCloseReturnsWithBlockedOutput closes a writer whose output blocks: Close must
// return after its timeout.
func TestCloseReturnsWithBlockedOutput(t *testing.T) {
	g := &blockableOutput{unblocked: make(chan struct{})}
	defer close(g.unblocked)
	w := New(g)
	_, _ = w.Write([]byte("msg=last\n"))
	started := time.Now()
	_ = w.Close()
	if elapsed := time.Since(started); elapsed > 2*closeTimeout {
		t.Errorf("Close took %v, which is longer than its timeout allows", elapsed)
	}
}

// TestLongLinesAreBoundedInSum writes lines with the longest paths that callers may send while
// the output blocks. A limit for the number of lines alone would let them use up the memory.
func TestLongLinesAreBoundedInSum(t *testing.T) {
	g := &blockableOutput{unblocked: make(chan struct{})}
	w := New(g)
	line := []byte(strings.Repeat("x", 64<<10) + "\n")
	for range maxQueuedLines {
		_, _ = w.Write(line)
	}
	queued := int64(maxQueuedLines) - w.Dropped()
	if held := queued * int64(len(line)); held > 4<<20 {
		t.Errorf("%d lines are queued, %d bytes", queued, held)
	}
	close(g.unblocked)
	_ = w.Close()
	if _, err := w.Write([]byte("msg=after\n")); err != nil || w.queuedBytes.Load() > int64(len("msg=after\n")) {
		t.Errorf("%d bytes are counted as queued after all were written, %v", w.queuedBytes.Load(), err)
	}
}
