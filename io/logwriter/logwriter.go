// Package logwriter writes log lines asynchronously, so that logging never blocks.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 2048
	// maxQueuedBytes bounds their size: a line may have a long path of a caller.
	maxQueuedBytes = 2 << 20
	// maxBatchBytes is the size at which no more lines are added to one write.
	maxBatchBytes = 16 << 10
	// closeTimeout bounds how long Close waits for the queued lines to be written.
	closeTimeout = 500 * time.Millisecond
)

// Writer is an io.Writer that queues lines and never blocks. Each call of Write
// passes one complete line.
type Writer struct {
	out             io.Writer
	queue           chan []byte
	queuedBytes     atomic.Int64 // Size of the lines in the queue.
	unreportedDrops atomic.Int64 // Dropped lines not yet reported in the log.
	totalDrops      atomic.Int64 // All dropped lines.

	closeOnce sync.Once
	stop      chan struct{}
	done      chan struct{}
}

// New returns a Writer to out and starts its goroutine, which Close stops.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of line, or drops the line if the queue is full. It never
// returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.enqueue(line) {
		w.unreportedDrops.Add(1)
		w.totalDrops.Add(1)
	}
	return len(line), nil
}

// enqueue queues a copy of line, and reports whether the queue had room for it.
func (w *Writer) enqueue(line []byte) bool {
	n := int64(len(line))
	if w.queuedBytes.Add(n) > maxQueuedBytes {
		w.queuedBytes.Add(-n)
		return false
	}
	select {
	case w.queue <- append([]byte(nil), line...):
		return true
	default:
		w.queuedBytes.Add(-n)
		return false
	}
}

// Dropped returns the total number of dropped lines.
func (w *Writer) Dropped() int64 { return w.totalDrops.Load() }

// Close writes the queued lines and stops the writer. If the output blocks, it
// returns after closeTimeout.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

// run writes queued lines until Close is called.
func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.writeBatch(line)
		case <-w.stop:
			w.drain()
			return
		}
	}
}

// drain writes all queued lines.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.queue:
			w.writeBatch(line)
		default:
			return
		}
	}
}

// writeBatch writes a line and further queued lines in one call. If lines were
// dropped since the last report, it appends a log line with their number.
func (w *Writer) writeBatch(batch []byte) {
	w.queuedBytes.Add(-int64(len(batch)))
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.queue:
			w.queuedBytes.Add(-int64(len(line)))
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if n := w.unreportedDrops.Swap(0); n > 0 {
		batch = append(batch, fmt.Sprintf("level=warn ts=%s msg=\"log lines dropped\" lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n)...)
	}
	// The error is ignored, as there is no other output to report it on.
	_, _ = w.out.Write(batch)
}
