// Package logwriter writes log lines without making the logger wait.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxLines bounds the lines that wait.
	maxLines = 2048
	// maxBatch bounds the bytes of one write.
	maxBatch = 16 << 10
	// closeTime bounds the wait for the last lines.
	closeTime = 500 * time.Millisecond
)

// Writer is an io.Writer of whole lines that never blocks.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64

	closeOnce sync.Once
	stop      chan struct{}
	done      chan struct{}
}

// New returns a writer to out. Close ends it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line. It never fails: a line that finds no room is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// Close writes the lines that wait and ends the writer. If nobody reads them, it
// returns after a time.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTime):
	}
	return nil
}

// run writes lines until Close.
func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.stop:
			w.rest()
			return
		}
	}
}

// rest writes the lines that wait.
func (w *Writer) rest() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write writes a line and those that wait behind it in one call, and says how many
// were dropped before them.
func (w *Writer) write(batch []byte) {
	for len(batch) < maxBatch {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if n := w.dropped.Swap(0); n > 0 {
		batch = append(batch, fmt.Sprintf("level=warn ts=%s msg=\"log lines dropped\" lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n)...)
	}
	// There is no other place to say that standard output is gone.
	_, _ = w.out.Write(batch)
}
