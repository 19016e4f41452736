package logwriter

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// gate is an output that nobody reads until it is opened.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
	buf    bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.opened
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

func (g *gate) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

// TestNobodyReads writes far more lines than there is room for.
func TestNobodyReads(t *testing.T) {
	g := &gate{opened: make(chan struct{})}
	w := New(g)
	const lines = 10 * maxLines
	started := time.Now()
	for range lines {
		if _, err := w.Write([]byte("msg=refused kind=Overloaded\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("%d lines took %v: a logger waited for its reader", lines, took)
	}
	if w.Dropped() < lines-2*maxLines {
		t.Errorf("%d lines dropped of %d", w.Dropped(), lines)
	}
	close(g.opened)
	_ = w.Close()
	if out := g.String(); !strings.Contains(out, "log lines dropped") {
		t.Error("nothing says that lines were dropped")
	}
	written := strings.Count(g.String(), "msg=refused")
	if got := int64(written) + w.Dropped(); got != lines {
		t.Errorf("%d written and %d dropped of %d", written, w.Dropped(), lines)
	}
}

// TestCloseReturnsUnread closes a writer that nobody reads.
func TestCloseReturnsUnread(t *testing.T) {
	g := &gate{opened: make(chan struct{})}
	defer close(g.opened)
	w := New(g)
	_, _ = w.Write([]byte("msg=last\n"))
	started := time.Now()
	_ = w.Close()
	if took := time.Since(started); took > 2*closeTime {
		t.Errorf("Close took %v", took)
	}
}
